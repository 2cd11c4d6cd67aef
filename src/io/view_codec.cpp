#include <waxwingvale/io/view_codec.hpp>

#include <utility>

#include "io/model_codec.hpp"

namespace waxwingvale::io {

namespace {

using nlohmann::json;

constexpr const char* decode_step = "decode view";
constexpr const char* file_name = "configuration";

// A view's map as it travels, before the configuration is parsed.
struct received_view {
    view value;
    bool has_text = false;
};

json write_members(const std::vector<member>& members) {
    json list = json::array();
    for (const auto& each : members) {
        list.push_back(write_member(each));
    }
    return list;
}

json write_beliefs(const std::vector<backend_belief>& beliefs, time_point now) {
    json list = json::array();
    for (const auto& each : beliefs) {
        list.push_back(write_belief(each, now));
    }
    return list;
}

received_view read_view(const json& from, time_point now) {
    received_view received;
    auto& value = received.value;
    value.control_incarnation =
        read_number<std::uint64_t>(from.at("control_incarnation"));
    value.serial = read_number<std::uint64_t>(from.at("serial"));
    value.self = read_member(from.at("self"));
    for (const auto& each : from.at("members")) {
        value.members.push_back(read_member(each));
    }
    for (const auto& each : from.at("beliefs")) {
        value.beliefs.push_back(read_belief(each, now));
    }
    for (const auto& each : from.at("quarantined")) {
        value.quarantined.push_back(read_number<std::uint64_t>(each));
    }
    value.fresh = from.at("fresh").get<bool>();
    value.answers = read_number_or<std::uint64_t>(from, "answers", 0);
    value.published.revision = read_number<std::uint64_t>(from.at("revision"));
    received.has_text = from.contains("text");
    if (received.has_text) {
        value.published.text = from.at("text").get<std::string>();
    }
    return received;
}

} // namespace

view_bytes encode_view(const view& value, configuration_part part,
                       time_point now) {
    json object = {{"control_incarnation", value.control_incarnation},
                   {"serial", value.serial},
                   {"self", write_member(value.self)},
                   {"members", write_members(value.members)},
                   {"beliefs", write_beliefs(value.beliefs, now)},
                   {"quarantined", value.quarantined},
                   {"fresh", value.fresh},
                   {"answers", value.answers},
                   {"revision", value.published.revision}};
    if (part == configuration_part::included && value.published.revision > 0) {
        object["text"] = value.published.text;
    }
    return json::to_cbor(object);
}

view_decoder::view_decoder(parser parse) : parse_(std::move(parse)) {}

result<view_ptr> view_decoder::decode(const view_bytes& bytes, time_point now) {
    auto received = decode_guarded<received_view>(
        bytes, decode_step,
        [now](const json& from) { return read_view(from, now); });
    if (!received) {
        return received.error();
    }
    auto& value = received.value().value;
    const auto revision = value.published.revision;
    if (received.value().has_text) {
        const auto taken = take_configuration(std::move(value.published));
        if (!taken) {
            return taken.error();
        }
    } else if (revision != published_.revision) {
        return error{error_code::stale, decode_step, "",
                     "configuration revision " + std::to_string(revision) +
                         " was never received"};
    }
    value.config = config_;
    value.published = published_;
    return view_ptr(std::make_shared<const view>(std::move(value)));
}

result<void> view_decoder::take_configuration(configuration_text published) {
    if (published == published_) {
        return success();
    }
    auto parsed = parse_(published.text, file_name, published.revision);
    if (!parsed) {
        return parsed.error();
    }
    config_ = std::make_shared<const configuration>(std::move(parsed.value()));
    published_ = std::move(published);
    return success();
}

} // namespace waxwingvale::io
