#include "arbitrary_configuration.hpp"

#include <rapidcheck.h>
#include <string>
#include <vector>

namespace {

using namespace waxwingvale;

// Drawn from `least` to `most`, both included.
unsigned number(unsigned least, unsigned most) {
    return *rc::gen::inRange(least, most + 1);
}

duration milliseconds(unsigned least, unsigned most) {
    return std::chrono::milliseconds(number(least, most));
}

double hundredths(unsigned most) {
    constexpr double in_one = 100.;
    return number(0, most) / in_one;
}

// The number makes the name unique, the rest makes it odd.
std::string name(std::size_t index) {
    const auto tail = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("abz059-")));
    constexpr std::size_t tail_limit = 20;
    return std::to_string(index) + "-" + tail.substr(0, tail_limit);
}

// Every class has a method that none before it has, so that all can match.
request_class arbitrary_class(std::size_t index) {
    request_class made;
    made.name = name(index);
    made.methods = {std::string(index + 1, 'M')};
    if (*rc::gen::arbitrary<bool>()) {
        made.methods.emplace_back("GET");
    }
    made.path_prefix = "/" + std::to_string(number(0, 9));
    made.nature = *rc::gen::element(request_nature::retriable,
                                    request_nature::at_most_once);
    made.deadline = milliseconds(1, 600'000);
    made.queue_limit = number(0, 100'000);
    return made;
}

backend_server arbitrary_backend_server(std::size_t index,
                                        const std::string& data_centre) {
    constexpr std::size_t hosts = 250;
    constexpr std::uint16_t first_port = 9000;
    backend_server made;
    made.name = name(index);
    made.host = "10.0." + std::to_string(index / hosts) + "." +
                std::to_string(index % hosts);
    made.port = static_cast<std::uint16_t>(first_port + number(0, 99));
    made.data_centre = data_centre;
    made.slots = number(1, 1024);
    made.connections = number(1, 65'535);
    return made;
}

service arbitrary_service(std::size_t index, const configuration& so_far) {
    constexpr std::size_t servers_apart = 100;
    service made;
    made.name = name(index);
    for (std::size_t i = 0; i <= number(0, 4); ++i) {
        made.classes.push_back(arbitrary_class(i));
    }
    for (std::size_t i = 0; i <= number(0, 6); ++i) {
        const auto& centre = *rc::gen::elementOf(so_far.data_centres);
        made.backend_servers.push_back(
            arbitrary_backend_server(index * servers_apart + i, centre.name));
    }
    made.budgets = {hundredths(100), hundredths(100), hundredths(1000)};
    made.owners = number(0, 64);
    made.typical_time = milliseconds(1, 600'000);
    for (const auto& one : so_far.tenants) {
        if (*rc::gen::arbitrary<bool>()) {
            made.tenants.push_back(one.name);
        }
    }
    return made;
}

} // namespace

waxwingvale::configuration arbitrary_configuration() {
    configuration made;
    made.revision = number(1, 1000);
    for (std::size_t i = 0; i <= number(0, 4); ++i) {
        made.data_centres.push_back(
            {name(i), name(i), *rc::gen::arbitrary<bool>()});
    }
    for (std::size_t i = 0; i < number(0, 4); ++i) {
        made.tenants.push_back({name(i), number(1, 1000)});
    }
    for (std::size_t i = 0; i < number(0, 3); ++i) {
        made.services.push_back(arbitrary_service(i, made));
    }
    made.key_lifetime = milliseconds(600'000, 86'400'000);
    made.key_limit = number(1, 10'000'000);
    made.address_keep_min = milliseconds(100, 10'000);
    made.address_keep_max = milliseconds(10'000, 3'600'000);
    return made;
}
