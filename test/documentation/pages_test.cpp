#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>
#include <vector>

namespace fs = std::filesystem;

namespace {

const fs::path root = WAXWING_SOURCE;

std::string read(const fs::path& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

// What the pattern's first group matches anywhere in the sources of a folder.
std::set<std::string> found_in(const fs::path& folder,
                               const std::string& pattern) {
    std::set<std::string> found;
    const std::regex wanted(pattern);
    for (const auto& entry : fs::recursive_directory_iterator(folder)) {
        if (entry.path().extension() != ".cpp") {
            continue;
        }
        const auto text = read(entry.path());
        for (std::sregex_iterator at(text.begin(), text.end(), wanted), end;
             at != end; ++at) {
            found.insert((*at)[1]);
        }
    }
    return found;
}

std::vector<std::string> headings(const fs::path& page) {
    std::vector<std::string> found;
    std::ifstream file(page);
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("## ", 0) == 0) {
            found.push_back(line.substr(3));
        }
    }
    return found;
}

void check_headings(const fs::path& folder,
                    const std::vector<std::string>& expected,
                    const std::set<std::string>& other_pages) {
    for (const auto& entry : fs::directory_iterator(folder)) {
        if (other_pages.count(entry.path().filename().string()) == 0) {
            INFO(entry.path().filename().string());
            CHECK(headings(entry.path()) == expected);
        }
    }
}

// All pages of a folder, one after another.
std::string pages_of(const fs::path& folder) {
    std::string text;
    for (const auto& entry : fs::directory_iterator(folder)) {
        text += read(entry.path());
    }
    return text;
}

} // namespace

TEST_CASE("pages of one kind have the same headings in the same order") {
    check_headings(
        root / "docs/commands",
        {"Name", "Synopsis", "Description", "Options", "Output", "Exit status"},
        {"exit-codes.md"});
    const std::vector<std::string> fields{"Purpose", "Example", "Fields",
                                          "Effect", "Errors"};
    check_headings(root / "docs/settings", fields, {"index.md"});
    check_headings(root / "docs/configuration", fields, {"index.md"});
}

TEST_CASE("every metric and log event of the programs is on its page") {
    const auto metrics = read(root / "docs/operations/metrics.md");
    for (const auto& name : found_in(root / "src", "\"(waxwing_[a-z_]+)\"")) {
        INFO(name);
        CHECK(metrics.find("`" + name + "`") != std::string::npos);
    }
    const auto lines = read(root / "docs/operations/log-lines.md");
    for (const auto& name :
         found_in(root / "src", "log_(?:change|warning)\\(\\s*\"([a-z_]+)\"")) {
        INFO(name);
        CHECK(lines.find("`" + name + "`") != std::string::npos);
    }
}

TEST_CASE("every field of configuration and settings is on a page") {
    const auto check_fields = [](const char* source, const char* folder) {
        const auto pages = pages_of(root / folder);
        const std::regex read_field("\\.[a-z_]+\\(\\s*\"([a-z_]+)\"");
        const auto text = read(root / source);
        for (std::sregex_iterator at(text.begin(), text.end(), read_field), end;
             at != end; ++at) {
            const std::string field = (*at)[1];
            INFO(field);
            CHECK(pages.find(field) != std::string::npos);
        }
    };
    check_fields("src/model/configuration_file.cpp", "docs/configuration");
    check_fields("src/program/settings.cpp", "docs/settings");
}
