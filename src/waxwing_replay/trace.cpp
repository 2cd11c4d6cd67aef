#include "waxwing_replay/trace.hpp"

#include <istream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <tuple>

#include "waxwing_replay/action_text.hpp"
#include "waxwing_replay/trace_codec.hpp"
#include "waxwing_replay/waxwing_policy.hpp"
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::replay {

namespace {

using namespace decision;
using nlohmann::json;

constexpr unsigned trace_version = 1;

json encode_outcome(const trace_outcome& outcome) {
    return {{"outcome",
             {{"events", outcome.events},
              {"actions", outcome.actions},
              {"starts", outcome.starts},
              {"refusals", outcome.refusals},
              {"digest", outcome.digest}}}};
}

trace_outcome decode_outcome(const json& from) {
    trace_outcome outcome;
    from.at("events").get_to(outcome.events);
    from.at("actions").get_to(outcome.actions);
    from.at("starts").get_to(outcome.starts);
    from.at("refusals").get_to(outcome.refusals);
    from.at("digest").get_to(outcome.digest);
    return outcome;
}

error bad_line(std::uint64_t line, const std::string& detail) {
    return {error_code::malformed, "read trace", "line " + std::to_string(line),
            detail};
}

// The schedulers of a trace, by the number of their instance.
class trace_player {
public:
    explicit trace_player(const scheduling_policy& knobs) : knobs_(knobs) {}

    void begin(const json& header) {
        service_ = header.at("service").get<std::string>();
        for (const json& known : header.at("instances")) {
            const member_id id{known.at("name").get<std::string>(),
                               known.at("incarnation").get<std::uint64_t>()};
            schedulers_.push_back(std::make_unique<service_scheduler>(
                service_, id, knobs_, started_long_ago));
        }
    }

    bool knows(std::uint64_t instance) const {
        return instance < schedulers_.size();
    }

    void play(const traced_event& traced) {
        std::vector<scheduler_action> actions;
        schedulers_[traced.instance]->handle(traced.event, traced.at, actions);
        add_to_outcome(outcome_, traced.instance, actions);
    }

    const trace_outcome& outcome() const { return outcome_; }

private:
    scheduling_policy knobs_;
    std::string service_;
    std::vector<std::unique_ptr<service_scheduler>> schedulers_;
    trace_outcome outcome_;
};

json header_of(const workload& load) {
    json instances = json::array();
    for (unsigned i = 0; i < load.size.entry_instances; ++i) {
        const member_id id = member_id_of(i);
        instances.push_back(
            {{"name", id.name}, {"incarnation", id.incarnation}});
    }
    return {{"trace", trace_version},
            {"service", service_of(load.size).name},
            {"scenario", load.scenario},
            {"seed", load.seed},
            {"instances", instances}};
}

} // namespace

bool operator==(const trace_outcome& a, const trace_outcome& b) {
    return std::tie(a.events, a.actions, a.starts, a.refusals, a.digest) ==
           std::tie(b.events, b.actions, b.starts, b.refusals, b.digest);
}

void add_to_outcome(trace_outcome& outcome, std::uint64_t instance,
                    const std::vector<scheduler_action>& actions) {
    ++outcome.events;
    for (const scheduler_action& action : actions) {
        ++outcome.actions;
        outcome.starts += std::holds_alternative<start_request>(action);
        outcome.refusals += std::holds_alternative<refuse_request>(action) ||
                            std::holds_alternative<expire_request>(action);
        const std::string line =
            std::to_string(instance) + ' ' + action_text(action);
        outcome.digest = stable_hash(line, outcome.digest);
    }
}

std::string to_string(const trace_outcome& outcome) {
    return "events " + std::to_string(outcome.events) + ", actions " +
           std::to_string(outcome.actions) + ", starts " +
           std::to_string(outcome.starts) + ", refusals " +
           std::to_string(outcome.refusals) + ", digest " +
           std::to_string(outcome.digest);
}

trace_outcome record_trace(std::ostream& out, const workload& load,
                           const scheduling_policy& knobs) {
    trace_outcome outcome;
    out << header_of(load).dump() << '\n';
    waxwing_policy policy(
        knobs, true,
        [&](std::size_t instance, const scheduler_event& event, time_point at,
            const std::vector<scheduler_action>& actions) {
            out << encode_event({instance, at, event}).dump() << '\n';
            add_to_outcome(outcome, instance, actions);
        });
    replay_world world(load);
    world.run(policy);
    out << encode_outcome(outcome).dump() << '\n';
    return outcome;
}

result<trace_verdict> replay_trace(std::istream& in,
                                   const scheduling_policy& knobs) {
    trace_player player(knobs);
    std::string text;
    std::uint64_t number = 0;
    while (std::getline(in, text)) {
        ++number;
        const json line = json::parse(text, nullptr, false);
        if (line.is_discarded()) {
            return bad_line(number, "no JSON");
        }
        try {
            if (number == 1) {
                player.begin(line);
                continue;
            }
            if (line.contains("outcome")) {
                return trace_verdict{decode_outcome(line.at("outcome")),
                                     player.outcome()};
            }
        } catch (const json::exception& wrong) {
            return bad_line(number, wrong.what());
        }
        const auto traced = decode_event(line);
        if (!traced) {
            return bad_line(number, traced.error().detail);
        }
        if (!player.knows(traced.value().instance)) {
            return bad_line(number, "instance: not among the instances");
        }
        player.play(traced.value());
    }
    return bad_line(number, "outcome: the trace ends without one");
}

} // namespace waxwingvale::replay
