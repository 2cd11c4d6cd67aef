#include "entry/grant_message.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "io/cbor_reading.hpp"

namespace waxwingvale::entry {

namespace {

using nlohmann::json;

constexpr const char* step = "decode grant message";

// More requests than one instance lets wait, so that a peer can't fill ours.
constexpr std::size_t requests_limit = 10000;

json write_load(const backend_load& load) {
    return {{"running", load.running},
            {"waiting", load.waiting},
            {"slots", load.slots},
            {"slowness", load.slowness}};
}

backend_load read_load(const json& from) {
    backend_load load;
    load.running = io::read_number<unsigned>(from.at("running"));
    load.waiting = io::read_number<unsigned>(from.at("waiting"));
    load.slots = io::read_number<unsigned>(from.at("slots"));
    load.slowness = io::read_factor(from.at("slowness"));
    return load;
}

json write_request(const decision::waiting_request& request) {
    json written = {{"request", request.request},
                    {"tenant", request.tenant},
                    {"class", request.request_class},
                    {"left_us", request.time_left.count()},
                    {"nature", static_cast<unsigned>(request.nature)},
                    {"priority", request.priority},
                    {"attempt", request.attempt}};
    if (request.target_left) {
        written["target_us"] = request.target_left->count();
    }
    if (!request.excluded.empty()) {
        written["excluded"] = request.excluded;
    }
    if (request.isolated) {
        written["isolated"] = true;
    }
    if (request.only_if_spare) {
        written["spare"] = true;
    }
    return written;
}

decision::waiting_request read_request(const json& from) {
    decision::waiting_request request;
    request.request = io::read_number<decision::request_id>(from.at("request"));
    from.at("tenant").get_to(request.tenant);
    from.at("class").get_to(request.request_class);
    request.time_left = io::read_urgency(from.at("left_us"));
    const auto nature = io::read_number<unsigned>(from.at("nature"));
    request.nature = nature == 0 ? request_nature::retriable
                                 : request_nature::at_most_once;
    request.priority = io::read_number<std::uint8_t>(from.at("priority"));
    request.attempt = io::read_number<unsigned>(from.at("attempt"));
    if (from.contains("target_us")) {
        request.target_left = io::read_urgency(from.at("target_us"));
    }
    if (from.contains("excluded")) {
        from.at("excluded").get_to(request.excluded);
    }
    request.isolated = from.value("isolated", false);
    request.only_if_spare = from.value("spare", false);
    return request;
}

// Writes each action under its type's name, with the fields a peer needs.
struct action_writer {
    json& into;

    void operator()(const decision::ask_slots& a) const {
        into["type"] = "ask";
        into["whole"] = a.whole;
        into["waiting"] = json::array();
        for (const auto& request : a.waiting) {
            into["waiting"].push_back(write_request(request));
        }
        if (!a.withdrawn.empty()) {
            into["withdrawn"] = a.withdrawn;
        }
    }
    void operator()(const decision::answer_ask& a) const {
        into["type"] = "answer";
        into["idle"] = a.idle;
        into["owner"] = a.is_owner;
        into["declined"] = json::array();
        for (const auto& declined : a.declined) {
            into["declined"].push_back(
                {{"request", declined.request},
                 {"come_back_us", declined.come_back_in.count()}});
        }
    }
    void operator()(const decision::give_grant& a) const {
        into["type"] = "give";
        into["grant"] = a.grant;
        into["request"] = a.request;
        into["backend_server"] = a.backend_server;
        into["lease_us"] = a.lease.count();
    }
    void operator()(const decision::return_grant& a) const {
        into["type"] = "return";
        into["grant"] = a.grant;
        if (!a.use) {
            return;
        }
        into["verdict"] = static_cast<unsigned>(a.use->verdict);
        into["service_us"] = a.use->service_time.count();
        into["bytes"] = a.use->answer_bytes;
        if (a.use->load) {
            into["load"] = write_load(*a.use->load);
        }
    }
};

decision::scheduler_event read_ask(const std::string& peer, const json& from) {
    decision::slots_asked asked;
    asked.peer = peer;
    from.at("whole").get_to(asked.whole);
    for (const auto& request :
         io::read_list(from.at("waiting"), requests_limit)) {
        asked.waiting.push_back(read_request(request));
    }
    if (from.contains("withdrawn")) {
        for (const auto& request :
             io::read_list(from.at("withdrawn"), requests_limit)) {
            asked.withdrawn.push_back(
                io::read_number<decision::request_id>(request));
        }
    }
    return asked;
}

decision::scheduler_event read_answer(const std::string& peer,
                                      const json& from) {
    decision::ask_answered answer;
    answer.peer = peer;
    answer.idle = io::read_number<unsigned>(from.at("idle"));
    from.at("owner").get_to(answer.is_owner);
    for (const auto& declined :
         io::read_list(from.at("declined"), requests_limit)) {
        answer.declined.push_back(
            {io::read_number<decision::request_id>(declined.at("request")),
             io::read_wait(declined.at("come_back_us"))});
    }
    return answer;
}

decision::scheduler_event read_give(const std::string& peer, const json& from) {
    decision::grant_received given;
    given.peer = peer;
    given.grant = io::read_number<decision::grant_id>(from.at("grant"));
    given.request = io::read_number<decision::request_id>(from.at("request"));
    from.at("backend_server").get_to(given.backend_server);
    given.lease = io::read_wait(from.at("lease_us"));
    return given;
}

decision::attempt_verdict read_verdict(const json& from) {
    const auto number = io::read_number<unsigned>(from.at("verdict"));
    constexpr auto last =
        static_cast<unsigned>(decision::attempt_verdict::cancelled);
    return number > last ? decision::attempt_verdict::cancelled
                         : static_cast<decision::attempt_verdict>(number);
}

decision::scheduler_event read_return(const std::string& peer,
                                      const json& from) {
    decision::grant_returned returned;
    returned.peer = peer;
    returned.grant = io::read_number<decision::grant_id>(from.at("grant"));
    if (!from.contains("verdict")) {
        return returned;
    }
    decision::grant_use use;
    use.verdict = read_verdict(from);
    use.service_time = io::read_wait(from.at("service_us"));
    use.answer_bytes = io::read_number<std::size_t>(from.at("bytes"));
    if (from.contains("load")) {
        use.load = read_load(from.at("load"));
    }
    returned.use = use;
    return returned;
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
