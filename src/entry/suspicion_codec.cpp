#include "entry/suspicion_codec.hpp"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "io/cbor_reading.hpp"

namespace waxwingvale::entry {

namespace {

using decision::run_verdict;
using decision::suspicion_state;
using decision::suspicion_update;
using decision::told_run;
using nlohmann::json;

constexpr const char* runs_name = "runs";

constexpr const char* trial_name = "trial_us";
constexpr const char* variant_name = "variant";
constexpr const char* unreached_name = "unreached";
constexpr const char* registrars_name = "registrars";
constexpr const char* for_all_name = "for_all";
constexpr const char* asks_name = "asks";

json write(const told_run& run) {
    json written = {{"backend_server", run.process.backend_server},
                    {"incarnation", run.process.incarnation},
                    {"seen_by", run.seen_by},
                    {"number", run.number},
                    {"alone", run.alone},
                    {"verdict", static_cast<unsigned>(run.verdict)},
                    {"age_us", run.age.count()}};
    if (run.variant != 0) {
        written[variant_name] = run.variant;
    }
    return written;
}

json write(const suspicion_update& word) {
    json written = {{"fingerprint", word.fingerprint.value},
                    {"state", static_cast<unsigned>(word.state)},
                    {"tester", word.tester},
                    {"backend_server", word.last_crashed.backend_server},
                    {"incarnation", word.last_crashed.incarnation},
                    {"age_us", word.age.count()}};
    if (!word.runs.empty()) {
        auto& runs = written[runs_name] = json::array();
        for (const auto& run : word.runs) {
            runs.push_back(write(run));
        }
    }

    if (word.trial_age) {
        written[trial_name] = word.trial_age->count();
    }
    return written;
}

told_run read_run(const json& from) {
    told_run run;
    run.process.backend_server = from.at("backend_server").get<std::string>();
    run.process.incarnation =
        io::read_number<std::uint64_t>(from.at("incarnation"));
    run.alone = from.at("alone").get<bool>();
    run.seen_by = from.at("seen_by").get<std::string>();
    run.number = io::read_number<std::uint64_t>(from.at("number"));
    const auto verdict = io::read_number<unsigned>(from.at("verdict"));
    constexpr auto last = static_cast<unsigned>(run_verdict::excused);
    // Of a later release: that nothing has shown is the careful reading.
    run.verdict =
        verdict > last ? run_verdict::open : static_cast<run_verdict>(verdict);
    run.age = io::read_wait(from.at("age_us"));
    if (from.contains(variant_name)) {
        run.variant = io::read_number<std::uint64_t>(from.at(variant_name));
    }
    return run;
}

suspicion_update read(const json& from) {
    suspicion_update word;
    word.fingerprint.value =
        io::read_number<std::uint64_t>(from.at("fingerprint"));
    const auto state = io::read_number<unsigned>(from.at("state"));
    constexpr auto last = static_cast<unsigned>(suspicion_state::quarantined);
    // A state of a later release: suspicion is the careful reading of it.
    word.state = state > last ? suspicion_state::suspect
                              : static_cast<suspicion_state>(state);
    word.tester = from.at("tester").get<std::string>();
    word.last_crashed.backend_server =
        from.at("backend_server").get<std::string>();
    word.last_crashed.incarnation =
        io::read_number<std::uint64_t>(from.at("incarnation"));
    word.age = io::read_wait(from.at("age_us"));
    if (from.contains(runs_name)) {
        for (const auto& run : from.at(runs_name)) {
            word.runs.push_back(read_run(run));
        }
    }

    if (from.contains(trial_name)) {
        word.trial_age = io::read_wait(from.at(trial_name));
    }
    return word;
}

// Absent: false, as from an instance of an older release.
bool read_flag(const json& from, const char* name) {
    return from.contains(name) && from.at(name).get<bool>();
}

} // namespace

std::vector<std::uint8_t> encode(const suspicion_message& message) {
    json list = json::array();
    for (const auto& word : message.words) {
        list.push_back(write(word));
    }
    json written = {{"words", std::move(list)}};
    written[registrars_name] = message.reach.registrars;
    if (!message.reach.unreached.empty()) {
        written[unreached_name] = message.reach.unreached;
    }
    if (message.reach.for_all) {
        written[for_all_name] = true;
    }
    if (message.asks) {
        written[asks_name] = true;
    }
    return json::to_cbor(written);
}

result<suspicion_message>
decode_suspicions(const std::vector<std::uint8_t>& bytes) {
    try {
        suspicion_message message;
        const auto from = io::parse_cbor(bytes.data(), bytes.size());
        for (const auto& item : from.at("words")) {
            message.words.push_back(read(item));
        }
        if (from.contains(unreached_name)) {
            message.reach.unreached =
                from.at(unreached_name).get<std::set<std::string>>();
        }
        if (from.contains(registrars_name)) {
            message.reach.registrars =
                io::read_number<std::uint64_t>(from.at(registrars_name));
        }
        message.reach.for_all = read_flag(from, for_all_name);
        message.asks = read_flag(from, asks_name);
        return message;
    } catch (const json::exception& problem) {
        return error{error_code::malformed, "decode suspicion", "",
                     problem.what()};
    }
}

} // namespace waxwingvale::entry
