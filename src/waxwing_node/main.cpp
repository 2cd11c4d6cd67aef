#include <waxwingvale/node/node_program.hpp>

using namespace waxwingvale;

int main(int argc, char** argv) {
    program::program_description description;
    description.name = "waxwing-node";
    description.summary = "One entry instance: takes callers' requests, has "
                          "them run, and tells callers where to go.";
    description.create = [](const program::program_environment& environment) {
        return std::make_unique<node::node_program>(environment,
                                                    node::own_protocols());
    };
    return program::run_program(argc, argv, description);
}
