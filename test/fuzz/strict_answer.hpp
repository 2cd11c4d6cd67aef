#pragma once

#include <cstddef>
#include <string>

// What an answer is by the grammar of RFC 9110 and RFC 9112, written down once
// more without the product's code or the library behind it.
class strict_answer {
public:
    // Reads the bytes of a connection that ended in order, from a GET's answer
    // on.
    explicit strict_answer(const std::string& input);

    // A whole final answer stands at the front.
    bool whole() const { return whole_; }
    unsigned status() const { return status_; }
    const std::string& body() const { return body_; }

private:
    bool read();
    bool read_head();
    bool read_status_line();
    bool read_field();
    bool note_field(const std::string& name, const std::string& value);
    bool note_length(const std::string& value);
    bool note_codings(const std::string& value);
    bool read_body();
    bool read_chunks();
    bool read_chunk_size(std::size_t& size);
    bool read_extensions();
    bool read_quoted();
    bool read_trailer();

    bool take(const std::string& text);
    std::string take_token();
    void skip_blanks();
    bool at_end() const { return at_ >= input_.size(); }

    const std::string& input_;
    std::size_t at_ = 0;
    bool is_1_1_ = false;
    bool has_length_ = false;
    std::string length_;
    std::size_t codings_ = 0;
    bool only_chunked_ = true;
    unsigned status_ = 0;
    std::string body_;
    bool whole_ = false;
};
