#include "io/model_codec.hpp"
#include <waxwingvale/io/platform_client.hpp>

namespace waxwingvale::io {

namespace {

using membership::listed_backend_server;
using membership::listed_member;
using membership::platform_list;
using nlohmann::json;

constexpr const char* read_step = "read platform's list";

bool is_leaving(const json& from) {
    return from.value("state", std::string("live")) == "leaving";
}

listed_member read_listed_member(const json& from) {
    listed_member value;
    value.name = from.at("name").get<std::string>();
    value.data_centre = from.at("data_centre").get<std::string>();
    value.addresses.host = from.at("host").get<std::string>();
    value.addresses.caller_port = from.at("caller_port").get<std::uint16_t>();
    value.addresses.steer_port = from.at("steer_port").get<std::uint16_t>();
    value.addresses.control_port = from.at("control_port").get<std::uint16_t>();
    value.addresses.entry_port = from.at("entry_port").get<std::uint16_t>();
    value.leaving = is_leaving(from);
    return value;
}

listed_backend_server read_listed_backend_server(const json& from) {
    listed_backend_server value;
    value.name = from.at("name").get<std::string>();
    value.incarnation = from.value("incarnation", std::uint64_t{0});
    value.leaving = is_leaving(from);
    return value;
}

// What is missing counts as an empty list, which says nothing of anybody.
const json& list_in(const json& from, const char* field) {
    static const json empty = json::array();
    const auto found = from.find(field);
    return found == from.end() ? empty : *found;
}

} // namespace

result<platform_list> parse_platform_list(const platform_reading& reading) {
    try {
        const auto document = json::parse(reading.body);
        platform_list list;
        list.revision = reading.revision;
        for (const auto& each : list_in(document, "entry_instances")) {
            list.members.push_back(read_listed_member(each));
        }
        for (const auto& each : list_in(document, "backend_servers")) {
            list.backend_servers.push_back(read_listed_backend_server(each));
        }
        return list;
    } catch (const json::exception& problem) {
        return error{error_code::malformed, read_step, reading.value_name,
                     problem.what()};
    }
}

} // namespace waxwingvale::io
