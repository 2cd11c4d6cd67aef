#include "waxwing_replay/trace_codec.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "waxwing_replay/trace_times.hpp"
#include "waxwing_replay/trace_view_codec.hpp"

namespace waxwingvale::replay {

namespace {

using namespace decision;
using nlohmann::json;

json encode(const view_changed& event) {
    return encode_view(event);
}

json encode(const peer_reachability& event) {
    return {{"event", "peer_reachability"},
            {"peer", event.peer},
            {"reachable", event.reachable}};
}

scheduler_event decode_reachability(const json& from) {
    return peer_reachability{from.at("peer").get<std::string>(),
                             from.at("reachable").get<bool>()};
}

json encode_load(const std::optional<backend_load>& load) {
    if (!load) {
        return nullptr;
    }
    return json::array(
        {load->running, load->waiting, load->slots, load->slowness});
}

std::optional<backend_load> decode_load(const json& from) {
    if (from.is_null()) {
        return std::nullopt;
    }
    return backend_load{from.at(0).get<unsigned>(), from.at(1).get<unsigned>(),
                        from.at(2).get<unsigned>(), from.at(3).get<double>()};
}

// Traces of before have no terms, and neither have answers without a head.
void encode_terms(const std::optional<backend_terms>& terms, json& into) {
    if (!terms) {
        return;
    }
    const auto& limit = terms->requests_per_second;
    into["terms"] = {{"limit", limit ? json(*limit) : json(nullptr)},
                     {"leaving", terms->leaving}};
    if (terms->rest) {
        into["terms"]["rest"] = count(*terms->rest);
    }
}

std::optional<backend_terms> decode_terms(const json& from) {
    if (!from.contains("terms")) {
        return std::nullopt;
    }
    backend_terms terms;
    const auto& limit = from.at("terms").at("limit");
    if (!limit.is_null()) {
        terms.requests_per_second = limit.get<double>();
    }
    from.at("terms").at("leaving").get_to(terms.leaving);
    if (from.at("terms").contains("rest")) {
        terms.rest = duration_in(from.at("terms"), "rest");
    }
    return terms;
}

json encode_needs(const request_needs& of) {
    return {{"tenant", of.tenant},
            {"class", of.request_class},
            {"nature", static_cast<int>(of.nature)},
            {"priority", of.priority},
            {"attempt", of.attempt},
            {"excluded", of.excluded},
            {"isolated", of.isolated},
            {"only_if_spare", of.only_if_spare}};
}

void decode_needs(const json& from, request_needs& into) {
    from.at("tenant").get_to(into.tenant);
    from.at("class").get_to(into.request_class);
    into.nature = static_cast<request_nature>(from.at("nature").get<int>());
    from.at("priority").get_to(into.priority);
    from.at("attempt").get_to(into.attempt);
    from.at("excluded").get_to(into.excluded);
    from.at("isolated").get_to(into.isolated);
    from.at("only_if_spare").get_to(into.only_if_spare);
}

json encode(const request_arrived& event) {
    json line = encode_needs(event);
    line["event"] = "request_arrived";
    line["request"] = event.request;
    line["deadline"] = count(event.deadline);
    if (event.target) {
        line["target"] = count(*event.target);
    }
    return line;
}

scheduler_event decode_arrival(const json& from) {
    request_arrived made;
    decode_needs(from, made);
    from.at("request").get_to(made.request);
    made.deadline = time_in(from, "deadline");
    if (from.contains("target")) {
        made.target = time_in(from, "target");
    }
    return made;
}

json encode_use(const grant_use& use) {
    json line = {{"verdict", static_cast<int>(use.verdict)},
                 {"service_time", count(use.service_time)},
                 {"load", encode_load(use.load)},
                 {"bytes", use.answer_bytes}};
    encode_terms(use.terms, line);
    return line;
}

grant_use decode_use(const json& from) {
    grant_use use;
    use.verdict = static_cast<attempt_verdict>(from.at("verdict").get<int>());
    use.service_time = duration_in(from, "service_time");
    use.load = decode_load(from.at("load"));
    from.at("bytes").get_to(use.answer_bytes);
    use.terms = decode_terms(from);
    return use;
}

json encode(const request_finished& event) {
    json line = encode_use({event.verdict, event.service_time, event.load,
                            event.answer_bytes, event.terms});
    line["event"] = "request_finished";
    line["request"] = event.request;
    return line;
}

scheduler_event decode_finish(const json& from) {
    const grant_use use = decode_use(from);
    return request_finished{from.at("request").get<request_id>(),
                            use.verdict,
                            use.service_time,
                            use.load,
                            use.answer_bytes,
                            use.terms};
}

json encode(const answer_begun& event) {
    json line = {{"event", "answer_begun"}, {"request", event.request}};
    encode_terms(event.terms, line);
    return line;
}

scheduler_event decode_begin(const json& from) {
    return answer_begun{from.at("request").get<request_id>(),
                        decode_terms(from).value_or(backend_terms())};
}

json encode(const request_cancelled& event) {
    return {{"event", "request_cancelled"}, {"request", event.request}};
}

scheduler_event decode_cancellation(const json& from) {
    return request_cancelled{from.at("request").get<request_id>()};
}

json encode_waiting(const waiting_request& waiting) {
    json line = encode_needs(waiting);
    line["request"] = waiting.request;
    line["time_left"] = count(waiting.time_left);
    if (waiting.target_left) {
        line["target_left"] = count(*waiting.target_left);
    }
    if (waiting.repeat_paid) {
        line["repeat_paid"] = true;
    }
    return line;
}

waiting_request decode_waiting(const json& from) {
    waiting_request made;
    decode_needs(from, made);
    from.at("request").get_to(made.request);
    made.time_left = duration_in(from, "time_left");
    if (from.contains("target_left")) {
        made.target_left = duration_in(from, "target_left");
    }
    made.repeat_paid = from.value("repeat_paid", false);
    return made;
}

json encode(const slots_asked& event) {
    json waiting = json::array();
    for (const waiting_request& each : event.waiting) {
        waiting.push_back(encode_waiting(each));
    }
    return {{"event", "slots_asked"},  {"peer", event.peer},
            {"waiting", waiting},      {"withdrawn", event.withdrawn},
            {"whole", event.complete}, {"wants_word", event.answer_required}};
}

scheduler_event decode_ask(const json& from) {
    slots_asked made;
    from.at("peer").get_to(made.peer);
    for (const json& each : from.at("waiting")) {
        made.waiting.push_back(decode_waiting(each));
    }
    from.at("withdrawn").get_to(made.withdrawn);
    from.at("whole").get_to(made.complete);
    made.answer_required = from.value("wants_word", false);
    return made;
}

json encode(const ask_answered& event) {
    json declined = json::array();
    for (const declined_request& each : event.declined) {
        declined.push_back({{"request", each.request},
                            {"come_back_in", count(each.retry_after)}});
    }
    return {{"event", "ask_answered"},
            {"peer", event.peer},
            {"idle", event.idle},
            {"is_owner", event.is_owner},
            {"declined", declined}};
}

scheduler_event decode_answer(const json& from) {
    ask_answered made;
    from.at("peer").get_to(made.peer);
    from.at("idle").get_to(made.idle);
    from.at("is_owner").get_to(made.is_owner);
    for (const json& each : from.at("declined")) {
        made.declined.push_back({each.at("request").get<request_id>(),
                                 duration_in(each, "come_back_in")});
    }
    return made;
}

json encode(const grant_received& event) {
    return {{"event", "grant_received"},
            {"peer", event.peer},
            {"grant", event.grant},
            {"request", event.request},
            {"backend_server", event.backend_server},
            {"lease", count(event.lease)},
            {"slow_after", count(event.slow_after)}};
}

scheduler_event decode_grant(const json& from) {
    return grant_received{from.at("peer").get<std::string>(),
                          from.at("grant").get<grant_id>(),
                          from.at("request").get<request_id>(),
                          from.at("backend_server").get<std::string>(),
                          duration_in(from, "lease"),
                          duration_in(from, "slow_after")};
}

json encode(const grant_returned& event) {
    json line = event.use ? encode_use(*event.use) : json::object();
    line["event"] = "grant_returned";
    line["peer"] = event.peer;
    line["grant"] = event.grant;
    return line;
}

scheduler_event decode_return(const json& from) {
    grant_returned made;
    from.at("peer").get_to(made.peer);
    from.at("grant").get_to(made.grant);
    if (from.contains("verdict")) {
        made.use = decode_use(from);
    }
    return made;
}

json encode(const repeats_asked& event) {
    return {{"event", "repeats_asked"},
            {"peer", event.peer},
            {"round", event.round},
            {"wanted", event.wanted}};
}

scheduler_event decode_repeats_asked(const json& from) {
    return repeats_asked{from.at("peer").get<std::string>(),
                         from.at("round").get<std::uint64_t>(),
                         from.at("wanted").get<double>()};
}

json encode(const repeats_given& event) {
    return {{"event", "repeats_given"},
            {"peer", event.peer},
            {"round", event.round},
            {"amount", event.amount}};
}

scheduler_event decode_repeats_given(const json& from) {
    return repeats_given{from.at("peer").get<std::string>(),
                         from.at("round").get<std::uint64_t>(),
                         from.at("amount").get<double>()};
}

json encode(const probe_ended& event) {
    json line = {{"event", "probe_ended"},
                 {"backend_server", event.backend_server},
                 {"answered", event.answered},
                 {"load", encode_load(event.load)}};
    encode_terms(event.terms, line);
    return line;
}

scheduler_event decode_probe(const json& from) {
    return probe_ended{from.at("backend_server").get<std::string>(),
                       from.at("answered").get<bool>(),
                       decode_load(from.at("load")), std::nullopt,
                       decode_terms(from)};
}

json encode(const probe_started& event) {
    return {{"event", "probe_started"},
            {"backend_server", event.backend_server}};
}

scheduler_event decode_probe_start(const json& from) {
    return probe_started{from.at("backend_server").get<std::string>()};
}

json encode(const time_passed& /*event*/) {
    return {{"event", "time_passed"}};
}

scheduler_event decode_time(const json& /*from*/) {
    return time_passed{};
}

using decoder = scheduler_event (*)(const json&);

const std::map<std::string, decoder>& decoders() {
    static const std::map<std::string, decoder> known = {
        {"view_changed", decode_view},
        {"peer_reachability", decode_reachability},
        {"request_arrived", decode_arrival},
        {"answer_begun", decode_begin},
        {"request_finished", decode_finish},
        {"request_cancelled", decode_cancellation},
        {"slots_asked", decode_ask},
        {"ask_answered", decode_answer},
        {"grant_received", decode_grant},
        {"grant_returned", decode_return},
        {"repeats_asked", decode_repeats_asked},
        {"repeats_given", decode_repeats_given},
        {"probe_started", decode_probe_start},
        {"probe_ended", decode_probe},
        {"time_passed", decode_time}};
    return known;
}

} // namespace

json encode_event(const traced_event& traced) {
    json line = std::visit([](const auto& known) { return encode(known); },
                           traced.event);
    line["instance"] = traced.instance;
    line["at"] = count(traced.at);
    return line;
}

result<traced_event> decode_event(const json& line) {
    try {
        const auto kind = line.at("event").get<std::string>();
        const auto found = decoders().find(kind);
        if (found == decoders().end()) {
            return error{error_code::malformed,
                         "read trace",
                         {},
                         "event: unknown kind " + kind};
        }
        traced_event traced;
        line.at("instance").get_to(traced.instance);
        traced.at = time_in(line, "at");
        traced.event = found->second(line);
        return traced;
    } catch (const json::exception& wrong) {
        return error{error_code::malformed, "read trace", {}, wrong.what()};
    }
}

} // namespace waxwingvale::replay
