#include "io/link_frame.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "io/cbor_reading.hpp"

namespace waxwingvale::io {

namespace {

using nlohmann::json;

// One letter each: they are paid on every message.
constexpr const char* version_field = "v";
constexpr const char* kind_field = "k";
constexpr const char* sequence_field = "s";
constexpr const char* payload_field = "p";
constexpr const char* name_field = "n";
constexpr const char* nonce_field = "r";

error malformed(const std::string& detail) {
    return {error_code::malformed, "decode link frame", "", detail};
}

std::string bytes_to_string(const json::binary_t& bytes) {
    return std::string(bytes.begin(), bytes.end());
}

json string_to_bytes(const std::string& text) {
    return json::binary(link_bytes(text.begin(), text.end()));
}

bool is_binary(const json& object, const char* field) {
    return object.contains(field) && object[field].is_binary();
}

} // namespace

link_bytes encode_link_frame(const link_frame& frame) {
    json object = {{version_field, link_frame_version},
                   {kind_field, frame.kind},
                   {sequence_field, frame.sequence},
                   {payload_field, json::binary(frame.payload)}};
    if (!frame.name.empty()) {
        object[name_field] = frame.name;
        object[nonce_field] = string_to_bytes(frame.nonce);
    }
    return json::to_cbor(object);
}

result<link_frame> decode_link_frame(const std::uint8_t* bytes,
                                     std::size_t size) {
    json object;
    try {
        object = parse_cbor(bytes, size);
    } catch (const json::exception& problem) {
        return malformed(problem.what());
    }
    if (!object.is_object()) {
        return malformed("not a CBOR map");
    }
    const auto version = object.find(version_field);
    if (version == object.end() || *version != link_frame_version) {
        return malformed("version not known");
    }
    if (!object.contains(kind_field) || !object[kind_field].is_string() ||
        !object.contains(sequence_field) ||
        !object[sequence_field].is_number_unsigned() ||
        !is_binary(object, payload_field)) {
        return malformed("a field is missing or of another type");
    }
    link_frame frame;
    frame.kind = object[kind_field].get<std::string>();
    frame.sequence = object[sequence_field].get<std::uint64_t>();
    frame.payload = std::move(object[payload_field].get_binary());
    if (object.contains(name_field) && object[name_field].is_string()) {
        frame.name = object[name_field].get<std::string>();
    }
    if (is_binary(object, nonce_field)) {
        frame.nonce = bytes_to_string(object[nonce_field].get_binary());
    }
    return frame;
}

} // namespace waxwingvale::io
