#include "waxwing_entry/entry_program.hpp"

using namespace waxwingvale;

int main(int argc, char** argv) {
    program::program_description description;
    description.name = "waxwing-entry";
    description.summary = "Takes callers' requests and has them run.";
    description.drain_timeout = [](const program::settings& of) {
        return of.entry.drain_timeout;
    };
    description.create = [](const program::program_environment& environment) {
        return std::make_unique<entry::entry_program>(environment);
    };
    return program::run_program(argc, argv, description);
}
