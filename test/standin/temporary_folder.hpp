#pragma once

#include <string>

namespace waxwingvale::standin {

// A folder for the files of one test, removed with all in it at the end.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string file(const std::string& name) const;
    // Writes the text and returns the file's name.
    std::string write(const std::string& name, const std::string& text) const;

private:
    std::string path_;
};

} // namespace waxwingvale::standin
