#include "io/model_codec.hpp"

#include <algorithm>

namespace waxwingvale::io {

using nlohmann::json;

json write_member_id(const member_id& value) {
    return json::array({value.name, value.incarnation});
}

member_id read_member_id(const json& from) {
    return {from.at(0).get<std::string>(),
            read_number<std::uint64_t>(from.at(1))};
}

json write_member(const member& value) {
    const auto& at = value.addresses;
    return json::array({value.id.name, value.id.incarnation, value.data_centre,
                        at.host, at.caller_port, at.steer_port, at.control_port,
                        static_cast<unsigned>(value.state),
                        value.capacity.cpu_permille, value.capacity.link_mbps});
}

member read_member(const json& from) {
    member value;
    value.id = read_member_id(from);
    value.data_centre = from.at(2).get<std::string>();
    value.addresses.host = from.at(3).get<std::string>();
    value.addresses.caller_port = read_number<std::uint16_t>(from.at(4));
    value.addresses.steer_port = read_number<std::uint16_t>(from.at(5));
    value.addresses.control_port = read_number<std::uint16_t>(from.at(6));
    value.state = read_enum(from.at(7), member_state::gone);
    value.capacity.cpu_permille = read_number<unsigned>(from.at(8));
    value.capacity.link_mbps = read_number<unsigned>(from.at(9));
    return value;
}

json write_belief(const backend_belief& value, time_point now) {
    return json::array({value.backend_server, value.incarnation,
                        static_cast<unsigned>(value.state),
                        static_cast<unsigned>(value.source), value.observer,
                        age_of(value.since, now)});
}

backend_belief read_belief(const json& from, time_point now) {
    backend_belief value;
    value.backend_server = from.at(0).get<std::string>();
    value.incarnation = read_number<std::uint64_t>(from.at(1));
    value.state = read_enum(from.at(2), backend_state::dead);
    value.source = read_enum(from.at(3), belief_source::peer);
    value.observer = from.at(4).get<std::string>();
    value.since = moment_of(read_age(from.at(5)), now);
    return value;
}

std::int64_t age_of(time_point moment, time_point now) {
    return (now - moment).count();
}

time_point moment_of(std::int64_t age, time_point now) {
    return now - duration(std::max<std::int64_t>(age, 0));
}

} // namespace waxwingvale::io
