#include "standin/temporary_folder.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace waxwingvale::standin {

temporary_folder::temporary_folder()
    : path_((std::filesystem::temp_directory_path() / "waxwing-XXXXXX")
                .string()) {
    if (mkdtemp(path_.data()) == nullptr) {
        throw std::runtime_error("cannot make " + path_);
    }
}

temporary_folder::~temporary_folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string temporary_folder::file(const std::string& name) const {
    return path_ + "/" + name;
}

std::string temporary_folder::write(const std::string& name,
                                    const std::string& text) const {
    auto full = file(name);
    std::ofstream(full) << text;
    return full;
}

} // namespace waxwingvale::standin
