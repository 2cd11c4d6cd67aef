#include "entry/key_message_codec.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "io/cbor_reading.hpp"

namespace waxwingvale::entry {

namespace {

using nlohmann::json;

constexpr const char* step = "decode key message";

json write(const member_id& id) {
    return {{"name", id.name}, {"incarnation", id.incarnation}};
}

member_id read_member(const json& from) {
    return {from.at("name").get<std::string>(),
            io::read_number<std::uint64_t>(from.at("incarnation"))};
}

json write(const decision::whole_answer& answer) {
    json headers = json::array();
    for (const auto& header : answer.headers) {
        headers.push_back({header.name, header.value});
    }
    const std::vector<std::uint8_t> body(answer.body.begin(),
                                         answer.body.end());
    return {{"status", answer.status},
            {"headers", std::move(headers)},
            {"body", json::binary(body)}};
}

decision::answer_ptr read_answer(const json& from) {
    decision::whole_answer answer;
    answer.status = io::read_number<unsigned>(from.at("status"));
    for (const auto& header : from.at("headers")) {
        answer.headers.push_back(
            {header.at(0).get<std::string>(), header.at(1).get<std::string>()});
    }
    const auto& body = from.at("body").get_binary();
    answer.body.assign(body.begin(), body.end());
    return std::make_shared<const decision::whole_answer>(std::move(answer));
}

json write(const decision::hand_over_request& message) {
    return {{"type", "request"},
            {"from", write(message.from)},
            {"to", write(message.to)},
            {"key", message.key},
            {"fingerprint", message.fingerprint.value},
            {"ask_id", message.hand_over_id}};
}

json write(const decision::hand_over_reply& message) {
    json written = {{"type", "reply"},
                    {"from", write(message.from)},
                    {"to", write(message.to)},
                    {"key", message.key},
                    {"ask_id", message.hand_over_id},
                    {"kind", decision::to_string(message.kind)}};
    if (message.answer) {
        written["answer"] = write(*message.answer);
    }
    if (message.kind == decision::hand_over_kind::moved) {
        written["moved_to"] = write(message.moved_to);
    }
    return written;
}

decision::key_message read_request(const json& from) {
    return decision::hand_over_request{
        read_member(from.at("from")),
        read_member(from.at("to")),
        from.at("key").get<std::string>(),
        {io::read_number<std::uint64_t>(from.at("fingerprint"))},
        io::read_number<std::uint64_t>(from.at("ask_id"))};
}

constexpr std::array<decision::hand_over_kind, 7> kinds = {
    decision::hand_over_kind::granted,  decision::hand_over_kind::in_flight,
    decision::hand_over_kind::answered, decision::hand_over_kind::moved,
    decision::hand_over_kind::unknown,  decision::hand_over_kind::mismatch,
    decision::hand_over_kind::expired};

decision::hand_over_kind read_kind(const json& from) {
    const auto word = from.at("kind").get<std::string>();
    const auto found = std::find_if(kinds.begin(), kinds.end(), [&](auto kind) {
        return word == decision::to_string(kind);
    });
    // A kind of a later release: what it means is not known here, and
    // "unknown" never lets anything run.
    return found == kinds.end() ? decision::hand_over_kind::unknown : *found;
}

decision::key_message read_reply(const json& from) {
    decision::hand_over_reply reply;
    reply.from = read_member(from.at("from"));
    reply.to = read_member(from.at("to"));
    reply.key = from.at("key").get<std::string>();
    reply.hand_over_id = io::read_number<std::uint64_t>(from.at("ask_id"));
    reply.kind = read_kind(from);
    if (from.contains("answer")) {
        reply.answer = read_answer(from.at("answer"));
    }
    if (from.contains("moved_to")) {
        reply.moved_to = read_member(from.at("moved_to"));
    }
    return reply;
}

} // namespace

std::vector<std::uint8_t> encode(const decision::key_message& message) {
    return std::visit([](const auto& one) { return json::to_cbor(write(one)); },
                      message);
}

result<decision::key_message>
decode_key_message(const std::vector<std::uint8_t>& bytes) {
    try {
        const auto read = io::parse_cbor(bytes.data(), bytes.size());
        const auto type = read.at("type").get<std::string>();
        if (type == "request") {
            return read_request(read);
        }
        if (type == "reply") {
            return read_reply(read);
        }
        return error{error_code::malformed, step, "", "type " + type};
    } catch (const json::exception& problem) {
        return error{error_code::malformed, step, "", problem.what()};
    }
}

} // namespace waxwingvale::entry
