#include "entry/grant_message.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "io/cbor_reading.hpp"
#include <waxwingvale/entry/caller_call.hpp>

namespace waxwingvale::entry {

namespace {

using nlohmann::json;

constexpr const char* step = "decode grant message";

// More requests than one instance lets wait, so that a peer can't fill ours.
constexpr std::size_t requests_limit = 10000;

// One letter each: three messages are paid for every request that is run on
// another instance's slot.
namespace field {
constexpr const char* service = "s";
constexpr const char* type = "t";
constexpr const char* complete = "w";
constexpr const char* answer_required = "W";
constexpr const char* waiting = "q";
constexpr const char* withdrawn = "x";
constexpr const char* request = "r";
constexpr const char* tenant = "n";
constexpr const char* request_class = "c";
constexpr const char* time_left = "l";
constexpr const char* target_left = "a";
constexpr const char* nature = "k";
constexpr const char* priority = "p";
constexpr const char* attempt = "m";
constexpr const char* excluded = "e";
constexpr const char* data_centres = "D";
constexpr const char* isolated = "i";
constexpr const char* only_if_spare = "o";
constexpr const char* idle = "f";
constexpr const char* is_owner = "y";
constexpr const char* declined = "d";
constexpr const char* retry_after = "b";
constexpr const char* grant = "g";
constexpr const char* backend_server = "h";
constexpr const char* lease = "z";
constexpr const char* slow_after = "i";
constexpr const char* verdict = "v";
constexpr const char* service_time = "j";
constexpr const char* time_unknown = "U"; // true, or not there
constexpr const char* answer_bytes = "u";
constexpr const char* load = "o";
constexpr const char* terms = "T";
constexpr const char* repeat_paid = "P";
constexpr const char* round = "N";
constexpr const char* amount = "A";
} // namespace field

// What most requests have in common goes without saying.
const decision::waiting_request& usual_request() {
    static const decision::waiting_request usual = [] {
        decision::waiting_request made;
        made.tenant = default_tenant;
        made.nature = request_nature::retriable;
        return made;
    }();
    return usual;
}

json write_load(const backend_load& load) {
    return json::array({load.running, load.waiting, load.slots, load.slowness});
}

backend_load read_load(const json& from) {
    backend_load load;
    load.running = io::read_number<unsigned>(from.at(0));
    load.waiting = io::read_number<unsigned>(from.at(1));
    load.slots = io::read_number<unsigned>(from.at(2));
    load.slowness = io::read_factor(from.at(3));
    return load;
}

// The limit, or null for terms without one, whether the server leaves, and the
// rest that it asks for in microseconds, or null.
json write_terms(const backend_terms& terms) {
    const auto& limit = terms.requests_per_second;
    const auto& rest = terms.rest;
    return json::array({limit ? json(*limit) : json(nullptr), terms.leaving,
                        rest ? json(rest->count()) : json(nullptr)});
}

backend_terms read_terms(const json& from) {
    backend_terms terms;
    const auto& limit = from.at(0);
    if (!limit.is_null()) {
        terms.requests_per_second = io::read_rate(limit);
    }
    from.at(1).get_to(terms.leaving);
    const auto& rest = from.at(2);
    if (!rest.is_null()) {
        terms.rest = io::read_wait(rest);
    }
    return terms;
}

json write_request(const decision::waiting_request& request) {
    const auto& usual = usual_request();
    json written = {{field::request, request.request},
                    {field::request_class, request.request_class},
                    {field::time_left, request.time_left.count()}};
    if (request.tenant != usual.tenant) {
        written[field::tenant] = request.tenant;
    }
    if (request.target_left) {
        written[field::target_left] = request.target_left->count();
    }
    if (request.nature != usual.nature) {
        written[field::nature] = static_cast<unsigned>(request.nature);
    }
    if (request.priority != usual.priority) {
        written[field::priority] = request.priority;
    }
    if (request.attempt != usual.attempt) {
        written[field::attempt] = request.attempt;
    }
    if (!request.excluded.empty()) {
        written[field::excluded] = request.excluded;
    }
    if (request.data_centres) {
        written[field::data_centres] = *request.data_centres;
    }
    if (request.isolated) {
        written[field::isolated] = true;
    }
    if (request.repeat_paid) {
        written[field::repeat_paid] = true;
    }
    if (request.only_if_spare) {
        written[field::only_if_spare] = true;
    }
    return written;
}

decision::waiting_request read_request(const json& from) {
    decision::waiting_request request = usual_request();
    request.request =
        io::read_number<decision::request_id>(from.at(field::request));
    from.at(field::request_class).get_to(request.request_class);
    request.time_left = io::read_urgency(from.at(field::time_left));
    request.tenant = from.value(field::tenant, request.tenant);
    if (from.contains(field::target_left)) {
        request.target_left = io::read_urgency(from.at(field::target_left));
    }
    if (io::read_number_or(from, field::nature, 0U) != 0) {
        request.nature = request_nature::at_most_once;
    }
    request.priority =
        io::read_number_or(from, field::priority, request.priority);
    request.attempt = io::read_number_or(from, field::attempt, request.attempt);
    request.excluded = from.value(field::excluded, request.excluded);
    if (from.contains(field::data_centres)) {
        request.data_centres =
            from.at(field::data_centres).get<std::vector<std::string>>();
    }
    request.isolated = from.value(field::isolated, false);
    request.repeat_paid = from.value(field::repeat_paid, false);
    request.only_if_spare = from.value(field::only_if_spare, false);
    return request;
}

// Writes each action under its type's letter, with the fields a peer needs.
struct action_writer {
    json& into;

    void operator()(const decision::ask_slots& a) const {
        into[field::type] = "a";
        if (a.complete) {
            into[field::complete] = true;
        }
        if (a.answer_required) {
            into[field::answer_required] = true;
        }
        into[field::waiting] = json::array();
        for (const auto& request : a.waiting) {
            into[field::waiting].push_back(write_request(request));
        }
        if (!a.withdrawn.empty()) {
            into[field::withdrawn] = a.withdrawn;
        }
    }
    void operator()(const decision::answer_ask& a) const {
        into[field::type] = "w";
        into[field::idle] = a.idle;
        into[field::is_owner] = a.is_owner;
        into[field::declined] = json::array();
        for (const auto& declined : a.declined) {
            into[field::declined].push_back(
                {{field::request, declined.request},
                 {field::retry_after, declined.retry_after.count()}});
        }
    }
    void operator()(const decision::give_grant& a) const {
        into[field::type] = "g";
        into[field::grant] = a.grant;
        into[field::request] = a.request;
        into[field::backend_server] = a.backend_server;
        into[field::lease] = a.lease.count();
        into[field::slow_after] = a.slow_after.count();
    }
    void operator()(const decision::return_grant& a) const {
        into[field::type] = "r";
        into[field::grant] = a.grant;
        if (!a.use) {
            return;
        }
        into[field::verdict] = static_cast<unsigned>(a.use->verdict);
        into[field::service_time] = a.use->service_time.count();
        if (!a.use->time_known) {
            into[field::time_unknown] = true;
        }
        into[field::answer_bytes] = a.use->answer_bytes;
        if (a.use->load) {
            into[field::load] = write_load(*a.use->load);
        }
        if (a.use->terms) {
            into[field::terms] = write_terms(*a.use->terms);
        }
    }
    void operator()(const decision::ask_repeats& a) const {
        into[field::type] = "c";
        into[field::round] = a.round;
        into[field::amount] = a.wanted;
    }
    void operator()(const decision::give_repeats& a) const {
        into[field::type] = "C";
        into[field::round] = a.round;
        into[field::amount] = a.amount;
    }
};

decision::scheduler_event read_ask(const std::string& peer, const json& from) {
    decision::slots_asked asked;
    asked.peer = peer;
    asked.complete = from.value(field::complete, false);
    asked.answer_required = from.value(field::answer_required, false);
    for (const auto& request :
         io::read_list(from.at(field::waiting), requests_limit)) {
        asked.waiting.push_back(read_request(request));
    }
    if (from.contains(field::withdrawn)) {
        for (const auto& request :
             io::read_list(from.at(field::withdrawn), requests_limit)) {
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
    answer.idle = io::read_number<unsigned>(from.at(field::idle));
    from.at(field::is_owner).get_to(answer.is_owner);
    for (const auto& declined :
         io::read_list(from.at(field::declined), requests_limit)) {
        answer.declined.push_back(
            {io::read_number<decision::request_id>(declined.at(field::request)),
             io::read_wait(declined.at(field::retry_after))});
    }
    return answer;
}

decision::scheduler_event read_give(const std::string& peer, const json& from) {
    decision::grant_received given;
    given.peer = peer;
    given.grant = io::read_number<decision::grant_id>(from.at(field::grant));
    given.request =
        io::read_number<decision::request_id>(from.at(field::request));
    from.at(field::backend_server).get_to(given.backend_server);
    given.lease = io::read_wait(from.at(field::lease));
    if (from.contains(field::slow_after)) {
        given.slow_after = io::read_wait(from.at(field::slow_after));
    }
    return given;
}

decision::attempt_verdict read_verdict(const json& from) {
    const auto number = io::read_number<unsigned>(from.at(field::verdict));
    constexpr auto last =
        static_cast<unsigned>(decision::attempt_verdict::cancelled);
    return number > last ? decision::attempt_verdict::cancelled
                         : static_cast<decision::attempt_verdict>(number);
}

decision::scheduler_event read_return(const std::string& peer,
                                      const json& from) {
    decision::grant_returned returned;
    returned.peer = peer;
    returned.grant = io::read_number<decision::grant_id>(from.at(field::grant));
    if (!from.contains(field::verdict)) {
        return returned;
    }
    decision::grant_use use;
    use.verdict = read_verdict(from);
    use.service_time = io::read_wait(from.at(field::service_time));
    use.time_known = !from.value(field::time_unknown, false);
    use.answer_bytes =
        io::read_number<std::size_t>(from.at(field::answer_bytes));
    if (from.contains(field::load)) {
        use.load = read_load(from.at(field::load));
    }
    if (from.contains(field::terms)) {
        use.terms = read_terms(from.at(field::terms));
    }
    returned.use = use;
    return returned;
}

decision::scheduler_event read_repeats_asked(const std::string& peer,
                                             const json& from) {
    return decision::repeats_asked{
        peer, io::read_number<std::uint64_t>(from.at(field::round)),
        io::read_rate(from.at(field::amount))};
}

decision::scheduler_event read_repeats_given(const std::string& peer,
                                             const json& from) {
    return decision::repeats_given{
        peer, io::read_number<std::uint64_t>(from.at(field::round)),
        io::read_rate(from.at(field::amount))};
}

struct event_reader {
    const char* type;
    decision::scheduler_event (*read)(const std::string&, const json&);
};

constexpr std::array<event_reader, 6> event_readers = {{
    {"a", read_ask},
    {"w", read_answer},
    {"g", read_give},
    {"r", read_return},
    {"c", read_repeats_asked},
    {"C", read_repeats_given},
}};

} // namespace

const std::string& peer_of(const outgoing_grant_message& message) {
    return std::visit(
        [](const auto& action) -> const std::string& { return action.peer; },
        message.action);
}

std::vector<std::uint8_t> encode(const outgoing_grant_message& message) {
    json written = {{field::service, message.service}};
    std::visit(action_writer{written}, message.action);
    return json::to_cbor(written);
}

result<incoming_grant_message>
decode_grant_message(const std::string& peer,
                     const std::vector<std::uint8_t>& bytes) {
    try {
        const auto read = io::parse_cbor(bytes.data(), bytes.size());
        const auto type = read.at(field::type).get<std::string>();
        for (const auto& reader : event_readers) {
            if (type == reader.type) {
                return incoming_grant_message{
                    read.at(field::service).get<std::string>(),
                    reader.read(peer, read)};
            }
        }
        return error{error_code::malformed, step, peer, "type " + type};
    } catch (const json::exception& problem) {
        return error{error_code::malformed, step, peer, problem.what()};
    }
}

} // namespace waxwingvale::entry
