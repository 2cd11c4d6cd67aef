#include <waxwingvale/io/control_messages.hpp>

#include "io/model_codec.hpp"

namespace waxwingvale::io {

using nlohmann::json;

message_bytes encode(const entry_life& message) {
    return json::to_cbor(
        {{"incarnation", message.incarnation}, {"ask", message.ask}});
}

message_bytes encode(const in_force_report& message) {
    return json::to_cbor({{"revision", message.revision}});
}

message_bytes encode(const belief_report& message, time_point now) {
    json list = json::array();
    for (const auto& each : message.beliefs) {
        list.push_back(write_belief(each, now));
    }
    return json::to_cbor({{"beliefs", list}});
}

message_bytes encode(const suspect_report& message) {
    return json::to_cbor({{"fingerprint", message.fingerprint},
                          {"backend_server", message.backend_server},
                          {"incarnation", message.incarnation},
                          {"alone", message.alone}});
}

message_bytes encode(const quarantine_report& message) {
    return json::to_cbor({{"fingerprint", message.fingerprint}});
}

result<entry_life> decode_entry_life(const message_bytes& bytes) {
    return decode_guarded<entry_life>(
        bytes, "decode entry life", [](const json& from) {
            return entry_life{
                read_number<std::uint64_t>(from.at("incarnation")),
                read_number_or<std::uint64_t>(from, "ask", 0)};
        });
}

result<in_force_report> decode_in_force(const message_bytes& bytes) {
    return decode_guarded<in_force_report>(
        bytes, "decode revision in force", [](const json& from) {
            return in_force_report{
                read_number<std::uint64_t>(from.at("revision"))};
        });
}

result<belief_report> decode_beliefs(const message_bytes& bytes,
                                     time_point now) {
    return decode_guarded<belief_report>(
        bytes, "decode beliefs", [now](const json& from) {
            belief_report report;
            for (const auto& each : from.at("beliefs")) {
                report.beliefs.push_back(read_belief(each, now));
            }
            return report;
        });
}

result<suspect_report> decode_suspect(const message_bytes& bytes) {
    return decode_guarded<suspect_report>(
        bytes, "decode suspect", [](const json& from) {
            suspect_report report;
            report.fingerprint =
                read_number<std::uint64_t>(from.at("fingerprint"));
            report.backend_server =
                from.at("backend_server").get<std::string>();
            report.incarnation =
                read_number<std::uint64_t>(from.at("incarnation"));
            report.alone = from.at("alone").get<bool>();
            return report;
        });
}

result<quarantine_report> decode_quarantine(const message_bytes& bytes) {
    return decode_guarded<quarantine_report>(
        bytes, "decode quarantine", [](const json& from) {
            return quarantine_report{
                read_number<std::uint64_t>(from.at("fingerprint"))};
        });
}

} // namespace waxwingvale::io
