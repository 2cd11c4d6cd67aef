#include "waxwing_control/control_process.hpp"

using namespace waxwingvale;

int main(int argc, char** argv) {
    program::program_description description;
    description.name = "waxwing-control";
    description.summary = "exchanges configuration, members and beliefs about "
                          "backend servers with the other entry instances";
    description.drain_timeout = [](const program::settings& settings) {
        return settings.control.drain_timeout;
    };
    description.create = [](const program::program_environment& environment) {
        return std::make_unique<control::control_process>(environment);
    };
    return program::run_program(argc, argv, description);
}
