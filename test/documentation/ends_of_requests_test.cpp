#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace fs = std::filesystem;

namespace {

const fs::path root = WAXWING_SOURCE;

// What ends a request, its connection or its record.
const std::regex
    ending("socket_\\.(close|reset|end_writing)\\(|::close\\(|break_off\\("
           "|abandon_exchange\\(|exchange_\\.reset\\(|[^a-z_]close\\(\\)"
           "|[^a-z_]drop\\(|close_record\\(|[^a-z_]finish\\(|->answer\\("
           "|->end_answer\\(|cut_answer\\(|end_relay\\(|calls_\\.erase\\("
           "|connections\\.erase\\(|end_writing\\(");
// Definitions begin in the first column; names of types come before.
const std::regex function_begin("^[a-z].*?([~a-z_0-9]+)\\(");
const std::regex method_begin("^[a-z_]+::(?:[a-z_]+::)*([~a-z_0-9]+)\\(");
const std::regex structure_begin("^(?:struct|class) (?:[a-z_]+::)*([a-z_]+)");

void take_name(const std::string& line, std::string& function) {
    std::smatch found;
    if (std::regex_search(line, found, structure_begin) ||
        std::regex_search(line, found, method_begin) ||
        std::regex_search(line, found, function_begin)) {
        function = found[1];
    }
}

void find_ends(const fs::path& file, std::set<std::string>& functions) {
    std::ifstream lines(file);
    std::string function;
    for (std::string line; std::getline(lines, line);) {
        take_name(line, function);
        const bool is_code = line.find("//") != line.find_first_not_of(' ');
        const bool is_inside = !line.empty() && line.front() == ' ';
        if (is_inside && is_code && std::regex_search(line, ending)) {
            functions.insert(function);
        }
    }
}

std::set<std::string> functions_that_end() {
    std::set<std::string> functions;
    for (const char* folder : {"src/forwarding", "src/entry"}) {
        for (const auto& entry : fs::directory_iterator(root / folder)) {
            const auto name = entry.path().filename().string();
            const bool wanted =
                name.rfind("caller_", 0) == 0 || name.rfind("call_", 0) == 0;
            if (wanted && entry.path().extension() == ".cpp") {
                find_ends(entry.path(), functions);
            }
        }
    }
    return functions;
}

} // namespace

// Guards against a new way to end a request that nobody thinks of when callers
// lose some.
TEST_CASE("each place that ends a request is in the inventory") {
    std::ifstream page(root / "docs/design/ends-of-requests.md");
    const std::string text{std::istreambuf_iterator<char>(page), {}};
    const auto functions = functions_that_end();
    CHECK(functions.size() > 20);
    for (const auto& name : functions) {
        INFO(name);
        CHECK(std::regex_search(text, std::regex("[`:]" + name + "`")));
    }
}
