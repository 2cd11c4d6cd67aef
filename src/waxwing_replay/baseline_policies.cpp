#include "waxwing_replay/baseline_policies.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "waxwing_replay/clairvoyant_policy.hpp"
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::replay {

namespace {

using decision::attempt_verdict;
using decision::combine_hashes;

constexpr unsigned attempts_limit = 3;

// What one entry instance that chooses alone knows.
struct instance_knowledge {
    std::vector<unsigned> in_flight;
    std::vector<bool> leaving; // it refused as leaving
    std::vector<unsigned> reports;
    std::uint64_t turn = 0;
};

// Picks a backend server for one call; key is a number of that attempt's own.
using chooser = std::function<std::size_t(instance_knowledge& instance,
                                          const std::vector<std::size_t>& open,
                                          std::uint64_t key)>;

std::size_t pick_random(instance_knowledge& /*instance*/,
                        const std::vector<std::size_t>& open,
                        std::uint64_t key) {
    return open[key % open.size()];
}

std::size_t pick_in_turn(instance_knowledge& instance,
                         const std::vector<std::size_t>& open,
                         std::uint64_t /*key*/) {
    return open[instance.turn++ % open.size()];
}

std::size_t pick_least_in_flight(instance_knowledge& instance,
                                 const std::vector<std::size_t>& open,
                                 std::uint64_t key) {
    std::size_t best = open[key % open.size()];
    for (std::size_t i = 0; i < open.size(); ++i) {
        const std::size_t at = open[(key + i) % open.size()];
        if (instance.in_flight[at] < instance.in_flight[best]) {
            best = at;
        }
    }
    return best;
}

std::size_t pick_of_two(instance_knowledge& instance,
                        const std::vector<std::size_t>& open,
                        std::uint64_t key) {
    const std::size_t first = open[key % open.size()];
    const std::size_t second = open[(key >> 32) % open.size()];
    return instance.reports[first] <= instance.reports[second] ? first : second;
}

// Every entry instance chooses alone and sends at once.
class lone_choice_policy : public routing_policy {
public:
    lone_choice_policy(chooser choose, duration report_interval)
        : choose_(std::move(choose)), report_interval_(report_interval) {}

    void begin(replay_world& world) override {
        world_ = &world;
        const std::size_t servers = world.backend_servers();
        instances_.assign(world.load().size.entry_instances,
                          {std::vector<unsigned>(servers, 0),
                           std::vector<bool>(servers, false),
                           std::vector<unsigned>(servers, 0), 0});
        if (report_interval_ > duration::zero()) {
            read_reports();
        }
    }

    void arrive(const call& arrived) override {
        const std::size_t instance =
            combine_hashes(arrived.caller, 1) % instances_.size();
        try_once(arrived, instance, 1, {});
    }

    double probe_rate() const override {
        if (report_interval_ == duration::zero()) {
            return 0;
        }
        return static_cast<double>(instances_.size()) * 1e6 /
               static_cast<double>(report_interval_.count());
    }

private:
    void read_reports() {
        for (instance_knowledge& instance : instances_) {
            for (std::size_t i = 0; i < instance.reports.size(); ++i) {
                instance.reports[i] = world_->reported_load(i);
            }
        }
        world_->times().after(report_interval_, [this] { read_reports(); });
    }

    std::vector<std::size_t>
    open_servers(const instance_knowledge& instance,
                 const std::vector<std::size_t>& tried) const {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < instance.in_flight.size(); ++i) {
            const bool used =
                std::find(tried.begin(), tried.end(), i) != tried.end();
            if (!instance.leaving[i] && !used) {
                open.push_back(i);
            }
        }
        return open;
    }

    void try_once(const call& of, std::size_t at, unsigned attempt,
                  std::vector<std::size_t> tried) {
        instance_knowledge& instance = instances_[at];
        const auto open = open_servers(instance, tried);
        const std::uint64_t key = combine_hashes(
            combine_hashes(world_->load().seed, of.id), attempt + 100);
        const std::size_t server = choose_(instance, open, key);
        tried.push_back(server);
        ++instance.in_flight[server];
        if (attempt > 1 && world_->measuring()) {
            world_->statistics().retried();
        }
        world_->send(of, attempt, server,
                     [this, of, at, attempt, server,
                      tried](const attempt_result& result, duration) {
                         ended(of, at, attempt, server, tried, result);
                     });
    }

    void ended(const call& of, std::size_t at, unsigned attempt,
               std::size_t server, const std::vector<std::size_t>& tried,
               const attempt_result& result) {
        instance_knowledge& instance = instances_[at];
        --instance.in_flight[server];
        instance.leaving[server] = instance.leaving[server] || result.leaving;
        if (result.verdict == attempt_verdict::answered) {
            world_->answer(of);
            return;
        }
        const bool over = result.verdict == attempt_verdict::timed_out;
        if (!over && attempt < attempts_limit) {
            try_once(of, at, attempt + 1, tried);
        } else if (result.verdict == attempt_verdict::shed) {
            world_->refuse(of, duration::zero());
        } else {
            world_->fail(of);
        }
    }

    chooser choose_;
    duration report_interval_;
    replay_world* world_ = nullptr;
    std::vector<instance_knowledge> instances_;
};

// One queue in front of all slots: nothing that knows no service times in
// advance does better without faults.
class ideal_queue_policy : public routing_policy {
public:
    void begin(replay_world& world) override {
        world_ = &world;
        in_flight_.assign(world.backend_servers(), 0);
        leaving_.assign(world.backend_servers(), false);
    }

    void arrive(const call& arrived) override {
        waiting_.push_back({arrived, 1});
        start_waiting();
    }

private:
    struct waiting_call {
        call of;
        unsigned attempt;
    };

    void start_waiting() {
        while (!waiting_.empty()) {
            const std::size_t server = least_loaded();
            if (in_flight_[server] >= world_->load().size.slots ||
                leaving_[server]) {
                return;
            }
            const waiting_call next = waiting_.front();
            waiting_.pop_front();
            if (world_->deadline_of(next.of) <= world_->times().now()) {
                world_->refuse(next.of, duration::zero());
                continue;
            }
            start(next, server);
        }
    }

    std::size_t least_loaded() const {
        std::size_t best = 0;
        for (std::size_t i = 1; i < in_flight_.size(); ++i) {
            if (std::make_pair<bool>(leaving_[i], in_flight_[i]) <
                std::make_pair<bool>(leaving_[best], in_flight_[best])) {
                best = i;
            }
        }
        return best;
    }

    void start(const waiting_call& next, std::size_t server) {
        ++in_flight_[server];
        world_->send(
            next.of, next.attempt, server,
            [this, next, server](const attempt_result& result, duration) {
                --in_flight_[server];
                leaving_[server] = leaving_[server] || result.leaving;
                conclude(next, result);
                start_waiting();
            });
    }

    void conclude(const waiting_call& ended, const attempt_result& result) {
        if (result.verdict == attempt_verdict::answered) {
            world_->answer(ended.of);
        } else if (result.verdict == attempt_verdict::timed_out ||
                   ended.attempt >= attempts_limit) {
            world_->fail(ended.of);
        } else {
            waiting_.push_front({ended.of, ended.attempt + 1});
        }
    }

    replay_world* world_ = nullptr;
    std::vector<unsigned> in_flight_;
    std::vector<bool> leaving_;
    std::deque<waiting_call> waiting_;
};

std::unique_ptr<routing_policy> lone(chooser choose,
                                     duration reports = duration::zero()) {
    return std::make_unique<lone_choice_policy>(std::move(choose), reports);
}

struct baseline_entry {
    const char* name;
    std::function<std::unique_ptr<routing_policy>()> make;
};

const std::vector<baseline_entry>& baselines() {
    static const std::vector<baseline_entry> all = {
        {"random", [] { return lone(pick_random); }},
        {"round-robin", [] { return lone(pick_in_turn); }},
        {"least-in-flight", [] { return lone(pick_least_in_flight); }},
        {"two-choices-100ms",
         [] { return lone(pick_of_two, duration(100000)); }},
        {"two-choices-1s", [] { return lone(pick_of_two, duration(1000000)); }},
        {"ideal-queue", [] { return std::make_unique<ideal_queue_policy>(); }},
        {"clairvoyant", make_clairvoyant_policy},
        {"informed", make_informed_policy},
    };
    return all;
}

} // namespace

std::unique_ptr<routing_policy> make_baseline(const std::string& name) {
    for (const baseline_entry& known : baselines()) {
        if (name == known.name) {
            return known.make();
        }
    }
    throw std::out_of_range("unknown policy " + name);
}

std::vector<std::string> baseline_names() {
    std::vector<std::string> names;
    for (const baseline_entry& known : baselines()) {
        names.emplace_back(known.name);
    }
    return names;
}

} // namespace waxwingvale::replay
