#include <iostream>

#include "waxwingctl/command_line.hpp"

int main(int argc, char** argv) {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return waxwingvale::ctl::run_command_line(arguments,
                                              {std::cout, std::cerr});
}
