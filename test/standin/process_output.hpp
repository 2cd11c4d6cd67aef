#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace waxwingvale::standin {

// What a process writes to its standard output. It is read all the while, so
// that no line is kept out because nobody reads, and kept until it is asked
// for. Lines of instances are also handed to the request_ends of this process.
class process_output {
public:
    using time_point = std::chrono::steady_clock::time_point;

    // Takes over the descriptor.
    explicit process_output(int descriptor);
    // Waits for the end of the output: of a process that has ended.
    ~process_output();
    process_output(const process_output&) = delete;
    process_output& operator=(const process_output&) = delete;

    // The next line; nothing when none comes in time or the output ends.
    std::optional<std::string> next_line(time_point until);
    // All further output up to its end, or what came in time.
    std::string rest(time_point until);
    // Waits until it has been read to its end; false: not in time.
    bool wait_for_end(time_point until);

private:
    void read_on();
    void take(const char* bytes, std::size_t size);

    int descriptor_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::string kept_;
    std::string line_; // the one that is coming in
    bool at_end_ = false;
    std::thread reader_; // last: it uses the rest
};

} // namespace waxwingvale::standin
