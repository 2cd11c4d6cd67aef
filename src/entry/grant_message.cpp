#include "entry/grant_message.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "io/cbor_reading.hpp"

namespace waxwingvale::entry {

namespace {

using nlohmann::json;

constexpr const char* step = "decode grant message";

decision::attempt_verdict read_verdict(const json& from) {
    const auto number = io::read_number<unsigned>(from.at("verdict"));
    constexpr auto last =
        static_cast<unsigned>(decision::attempt_verdict::cancelled);
    return number > last ? decision::attempt_verdict::cancelled
                         : static_cast<decision::attempt_verdict>(number);
}

// Writes each action under its type's name, with the fields a peer needs.
struct action_writer {
    json& into;

    void operator()(const decision::ask_grants& a) const {
        into["type"] = "ask";
        into["count"] = a.count;
        into["urgency_us"] = a.urgency.count();
    }
    void operator()(const decision::answer_ask& a) const {
        into["type"] = "answer";
        into["idle"] = a.idle;
        into["declined"] = a.declined;
        into["come_back_us"] = a.come_back_in.count();
        into["interval_us"] = a.come_back_interval.count();
    }
    void operator()(const decision::give_grant& a) const {
        into["type"] = "give";
        into["grant"] = a.grant;
        into["backend_server"] = a.backend_server;
        into["lease_us"] = a.lease.count();
    }
    void operator()(const decision::return_grant& a) const {
        into["type"] = "return";
        into["grant"] = a.grant;
        into["unused"] = a.unused;
        into["verdict"] = static_cast<unsigned>(a.verdict);
        into["class"] = a.request_class;
        into["service_us"] = a.service_time.count();
    }
};

decision::scheduler_event read_ask(const std::string& peer, const json& from) {
    return decision::grants_asked{peer,
                                  io::read_number<unsigned>(from.at("count")),
                                  io::read_urgency(from.at("urgency_us"))};
}

decision::scheduler_event read_answer(const std::string& peer,
                                      const json& from) {
    return decision::ask_answered{
        peer, io::read_number<unsigned>(from.at("idle")),
        io::read_number<unsigned>(from.at("declined")),
        io::read_wait(from.at("come_back_us")),
        from.contains("interval_us") ? io::read_wait(from.at("interval_us"))
                                     : duration::zero()};
}

decision::scheduler_event read_give(const std::string& peer, const json& from) {
    return decision::grant_received{
        peer, io::read_number<decision::grant_id>(from.at("grant")),
        from.at("backend_server").get<std::string>(),
        io::read_wait(from.at("lease_us"))};
}

decision::scheduler_event read_return(const std::string& peer,
                                      const json& from) {
    return decision::grant_returned{
        peer,
        io::read_number<decision::grant_id>(from.at("grant")),
        from.at("unused").get<bool>(),
        read_verdict(from),
        from.at("class").get<std::string>(),
        io::read_wait(from.at("service_us"))};
}

struct event_reader {
    const char* type;
    decision::scheduler_event (*read)(const std::string&, const json&);
};

constexpr std::array<event_reader, 4> event_readers = {{
    {"ask", read_ask},
    {"answer", read_answer},
    {"give", read_give},
    {"return", read_return},
}};

} // namespace

const std::string& peer_of(const outgoing_grant_message& message) {
    return std::visit(
        [](const auto& action) -> const std::string& { return action.peer; },
        message.action);
}

std::vector<std::uint8_t> encode(const outgoing_grant_message& message) {
    json written = {{"service", message.service}};
    std::visit(action_writer{written}, message.action);
    return json::to_cbor(written);
}

result<incoming_grant_message>
decode_grant_message(const std::string& peer,
                     const std::vector<std::uint8_t>& bytes) {
    try {
        const auto read = io::parse_cbor(bytes.data(), bytes.size());
        const auto type = read.at("type").get<std::string>();
        for (const auto& reader : event_readers) {
            if (type == reader.type) {
                return incoming_grant_message{
                    read.at("service").get<std::string>(),
                    reader.read(peer, read)};
            }
        }
        return error{error_code::malformed, step, peer, "type " + type};
    } catch (const json::exception& problem) {
        return error{error_code::malformed, step, peer, problem.what()};
    }
}

} // namespace waxwingvale::entry
