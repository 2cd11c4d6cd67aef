#include "waxwing_replay/clairvoyant_policy.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

namespace waxwingvale::replay {

namespace {

using decision::attempt_verdict;

class clairvoyant_policy : public routing_policy {
public:
    explicit clairvoyant_policy(bool knows_work) : knows_work_(knows_work) {}

    void begin(replay_world& world) override {
        world_ = &world;
        in_flight_.assign(world.backend_servers(), 0);
        most_at_once_ = best_count(world.load().size);
    }

    void arrive(const call& arrived) override {
        waiting_.push_back(arrived);
        start_waiting();
    }

private:
    // What a call would bring on a server of that slowness, if started now.
    struct prospect {
        double per_microsecond = 0;
        bool in_time = false;
    };

    prospect prospect_of(const call& of, double slowness) const {
        const auto& load = world_->load();
        const work_profile& work = load.size.work_of(of);
        const double usual =
            knows_work_
                ? static_cast<double>(
                      service_time_of(work, load.seed, of.id, 1).count())
                : mean_service_time_us(work);
        const double takes = usual * slowness;
        const time_point ends = world_->times().now() + 2 * backend_hop +
                                duration(static_cast<duration::rep>(takes));
        const bool timely = ends <= of.first_arrived_at + work.target;
        if (ends > world_->deadline_of(of)) {
            return {};
        }
        return {(timely ? work.worth : work.late_worth) / takes, timely};
    }

    void drop_overdue() {
        const auto overdue = [&](const call& each) {
            const bool over = prospect_of(each, 1).per_microsecond <= 0;
            if (over) {
                world_->refuse(each, duration::zero());
            }
            return over;
        };
        waiting_.erase(
            std::remove_if(waiting_.begin(), waiting_.end(), overdue),
            waiting_.end());
    }

    // How many times longer work takes that begins there now.
    double slowness_at(std::size_t server) const {
        const service_size& size = world_->load().size;
        return world_->true_slowness(server) *
               size.machines.crowding(in_flight_[server] + 1, size.slots);
    }

    // The quickest server with a slot to spare.
    std::optional<std::size_t> best_server() const {
        std::optional<std::size_t> best;
        double least = 0;
        for (std::size_t i = 0; i < in_flight_.size(); ++i) {
            if (in_flight_[i] >= most_at_once_) {
                continue;
            }
            const double slowness = slowness_at(i);
            if (!best || slowness < least) {
                best = i;
                least = slowness;
            }
        }
        return best;
    }

    std::optional<std::size_t> best_call(double slowness) const {
        std::optional<std::size_t> best;
        prospect most;
        for (std::size_t i = 0; i < waiting_.size(); ++i) {
            const prospect now = prospect_of(waiting_[i], slowness);
            const bool better =
                std::make_pair(now.in_time, now.per_microsecond) >
                std::make_pair(most.in_time, most.per_microsecond);
            if (now.per_microsecond > 0 && better) {
                best = i;
                most = now;
            }
        }
        // Late work holds its slot for a multiple of what it brings, and what
        // comes next needs the slot.
        return most.in_time || plenty_free() ? best : std::nullopt;
    }

    void start_waiting() {
        drop_overdue();
        while (!waiting_.empty()) {
            const auto server = best_server();
            if (!server) {
                return;
            }
            const auto chosen = best_call(slowness_at(*server));
            if (!chosen) {
                return;
            }
            const call next = waiting_[*chosen];
            waiting_.erase(waiting_.begin() +
                           static_cast<std::ptrdiff_t>(*chosen));
            start(next, *server);
        }
    }

    void start(const call& next, std::size_t server) {
        ++in_flight_[server];
        world_->send(next, 1, server,
                     [this, next, server](const attempt_result& result,
                                          duration /*service_time*/) {
                         --in_flight_[server];
                         if (result.verdict == attempt_verdict::answered) {
                             world_->answer(next);
                         } else {
                             world_->fail(next);
                         }
                         start_waiting();
                     });
    }

    bool plenty_free() const {
        const std::size_t all = in_flight_.size() * most_at_once_;
        const std::size_t busy = std::accumulate(
            in_flight_.begin(), in_flight_.end(), std::size_t{0});
        return busy * 2 < all;
    }

    // How many requests at once make a server do the most work.
    static unsigned best_count(const service_size& size) {
        unsigned best = 1;
        double most = 0;
        for (unsigned busy = 1; busy <= size.slots; ++busy) {
            const double done = busy / size.machines.crowding(busy, size.slots);
            if (done > most) {
                most = done;
                best = busy;
            }
        }
        return best;
    }

    bool knows_work_;
    replay_world* world_ = nullptr;
    unsigned most_at_once_ = 1;
    std::vector<unsigned> in_flight_;
    std::vector<call> waiting_;
};

} // namespace

std::unique_ptr<routing_policy> make_clairvoyant_policy() {
    return std::make_unique<clairvoyant_policy>(true);
}

std::unique_ptr<routing_policy> make_informed_policy() {
    return std::make_unique<clairvoyant_policy>(false);
}

} // namespace waxwingvale::replay
