#include "waxwing_steer/steer_program.hpp"

using namespace waxwingvale;

int main(int argc, char** argv) {
    program::program_description description;
    description.name = "waxwing-steer";
    description.summary = "Tells callers which addresses to use.";
    description.drain_timeout = [](const program::settings& of) {
        return of.steer.drain_timeout;
    };
    description.create = [](const program::program_environment& environment) {
        return std::make_unique<steer::steer_program>(environment);
    };
    return program::run_program(argc, argv, description);
}
