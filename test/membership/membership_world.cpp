#include "membership_world.hpp"

#include <algorithm>
#include <map>

namespace waxwingvale {

namespace {

using namespace membership;

constexpr duration tick = std::chrono::milliseconds(100);
constexpr duration settling_time = std::chrono::seconds(100);
constexpr duration wake_gap = std::chrono::seconds(1);

result<configuration> validate(const configuration_text& file) {
    configuration parsed;
    parsed.revision = file.revision;
    return parsed;
}

member_record record_of(const std::string& name, unsigned number) {
    member_record record;
    record.id.name = name;
    record.addresses.host = "127.0.0.1";
    record.addresses.control_port = static_cast<std::uint16_t>(1000 + number);
    return record;
}

std::pair<unsigned, unsigned> pair_of(unsigned a, unsigned b) {
    return {std::min(a, b), std::max(a, b)};
}

} // namespace

struct membership_world::instance {
    instance(member_record self, std::uint64_t incarnation,
             std::shared_ptr<const member_precedence> rule, time_point now)
        : members(self, {}, now, std::move(rule)),
          readers(self.id.name, 0, false, {}, now),
          fresh(wake_gap, now),
          exchange(
              {configurations, members, beliefs, registry, quarantine, readers},
              fresh, {}, incarnation, now) {
        members.start_life(incarnation);
    }

    configuration_register configurations{validate};
    member_table members;
    belief_table beliefs{100};
    registry_table registry{100};
    quarantine_table quarantine{{}};
    reader_duty readers;
    freshness fresh;
    peer_exchange exchange;
    bool paused = false;
    bool crashed = false;
    // What this instance knew at the last look.
    std::map<std::string, member_record> seen;
};

membership_world::membership_world(
    unsigned instances, std::shared_ptr<const member_precedence> rule)
    : rule_(std::move(rule)), instances_(instances) {
    for (unsigned each = 0; each < instances; ++each) {
        start(each);
    }
}

membership_world::~membership_world() = default;

std::string membership_world::name_of(unsigned number) const {
    return "sea-" + std::to_string(number);
}

bool membership_world::joined(unsigned a, unsigned b) const {
    const auto runs = [this](unsigned number) {
        return instances_[number] && !instances_[number]->crashed;
    };
    return a != b && runs(a) && runs(b) && cut_.count(pair_of(a, b)) == 0;
}

void membership_world::start(unsigned number) {
    instances_[number] = std::make_unique<instance>(
        record_of(name_of(number), number), ++wall_clock_, rule_, now_);
    std::set<std::string> others;
    for (unsigned each = 0; each < instances_.size(); ++each) {
        if (each != number) {
            others.insert(name_of(each));
        }
    }
    auto all = others;
    all.insert(name_of(number));
    instances_[number]->exchange.plan(others, std::move(all), now_);
    for (unsigned each = 0; each < instances_.size(); ++each) {
        if (joined(number, each)) {
            set_link(number, each, true);
        }
    }
}

void membership_world::set_link(unsigned a, unsigned b, bool up) {
    for (const auto& [at, other] :
         {std::make_pair(a, b), std::make_pair(b, a)}) {
        auto& end = *instances_[at];
        if (end.crashed) {
            continue;
        }
        if (up) {
            end.exchange.link_up(name_of(other), now_);
        } else {
            end.exchange.link_down(name_of(other), now_);
        }
        collect(at);
    }
}

void membership_world::stop(unsigned number) {
    for (unsigned each = 0; each < instances_.size(); ++each) {
        if (joined(number, each)) {
            instances_[each]->exchange.link_down(name_of(number), now_);
        }
    }
    instances_[number]->crashed = true;
    instances_[number]->paused = false;
    const auto concerns = [number](const message& each) {
        return each.to == number;
    };
    under_way_.erase(
        std::remove_if(under_way_.begin(), under_way_.end(), concerns),
        under_way_.end());
}

void membership_world::wake(unsigned number) {
    auto& woken = *instances_[number];
    if (!woken.paused) {
        return;
    }
    woken.paused = false;
    if (woken.fresh.beat(now_)) {
        woken.exchange.woke_late(now_);
        collect(number);
    }
}

void membership_world::run(const world_event& event) {
    const auto count = static_cast<unsigned>(instances_.size());
    const auto number = event.instance % count;
    const auto other = event.choice % count;
    auto& target = *instances_[number];
    const auto place =
        under_way_.empty() ? 0 : event.choice % under_way_.size();
    switch (event.step) {
    case world_step::pass_time:
        pass_time(tick * (1 + event.choice));
        break;
    case world_step::crash:
        if (!target.crashed) {
            stop(number);
        }
        break;
    case world_step::start_again:
        if (target.crashed) {
            start(number);
        }
        break;
    case world_step::pause:
        target.paused = !target.crashed;
        break;
    case world_step::wake:
        wake(number);
        break;
    case world_step::cut:
        if (joined(number, other)) {
            set_link(number, other, false);
            cut_.insert(pair_of(number, other));
        }
        break;
    case world_step::heal:
        if (cut_.erase(pair_of(number, other)) > 0 && joined(number, other)) {
            set_link(number, other, true);
        }
        break;
    case world_step::leave:
        if (!target.crashed && !target.paused) {
            target.members.leave();
            collect(number);
        }
        break;
    case world_step::deliver:
    case world_step::deliver_doubled:
        if (!under_way_.empty()) {
            deliver(place, event.step == world_step::deliver_doubled);
        }
        break;
    case world_step::lose:
        if (!under_way_.empty()) {
            under_way_.erase(under_way_.begin() +
                             static_cast<std::ptrdiff_t>(place));
        }
        break;
    }
}

void membership_world::deliver(std::size_t place, bool keep) {
    const auto at = under_way_.begin() + static_cast<std::ptrdiff_t>(place);
    const message sent = *at;
    auto& to = *instances_[sent.to];
    if (to.paused) {
        return;
    }
    if (!keep) {
        under_way_.erase(at);
    }
    if (!to.crashed) {
        to.exchange.receive(name_of(sent.from), sent.body, now_);
        collect(sent.to);
        check(sent.to);
    }
}

void membership_world::deliver_all() {
    // Messages beget messages; each round is one way.
    for (int rounds = 0; rounds < 50 && !under_way_.empty(); ++rounds) {
        for (auto waiting = under_way_.size(); waiting > 0; --waiting) {
            deliver(0, false);
        }
    }
}

void membership_world::collect(unsigned number) {
    for (auto& each : instances_[number]->exchange.take_messages(now_)) {
        for (unsigned to = 0; to < instances_.size(); ++to) {
            if (each.peer == name_of(to) && joined(number, to)) {
                under_way_.push_back({number, to, *each.message});
                break;
            }
        }
    }
}

void membership_world::pass_time(duration time) {
    for (auto passed = duration::zero(); passed < time; passed += tick) {
        now_ += tick;
        for (unsigned each = 0; each < instances_.size(); ++each) {
            auto& at = *instances_[each];
            if (at.crashed || at.paused) {
                continue;
            }
            at.fresh.beat(now_);
            at.exchange.tick(now_);
            collect(each);
            check(each);
        }
    }
}

void membership_world::check(unsigned number) {
    auto& at = *instances_[number];
    for (unsigned each = 0; each < instances_.size(); ++each) {
        const auto* known = at.members.find(name_of(each));
        const auto before = at.seen.find(name_of(each));
        if (known == nullptr) {
            continue;
        }
        if (before != at.seen.end()) {
            const auto& former = before->second;
            if (known->id.incarnation < former.id.incarnation) {
                violation_ = "a former life came back";
            }
            if (known->id == former.id && former.leaving && !known->leaving) {
                violation_ = "leaving was taken back";
            }
        }
        at.seen[name_of(each)] = *known;
    }
}

void membership_world::settle() {
    for (unsigned each = 0; each < instances_.size(); ++each) {
        wake(each);
    }
    for (const auto& pair : std::exchange(cut_, {})) {
        if (joined(pair.first, pair.second)) {
            set_link(pair.first, pair.second, true);
        }
    }
    for (auto passed = duration::zero(); passed < settling_time;
         passed += tick) {
        pass_time(tick);
        deliver_all();
    }
}

std::optional<std::string> membership_world::disagreement() const {
    for (unsigned at = 0; at < instances_.size(); ++at) {
        if (instances_[at]->crashed) {
            continue;
        }
        if (!instances_[at]->fresh.fresh() && instances_.size() > 1) {
            bool alone = true;
            for (unsigned each = 0; each < instances_.size(); ++each) {
                alone = alone && !joined(at, each);
            }
            if (!alone) {
                return name_of(at) + " is not fresh";
            }
        }
        for (unsigned of = 0; of < instances_.size(); ++of) {
            const auto& real = *instances_[of];
            const auto* known = instances_[at]->members.find(name_of(of));
            const auto line = name_of(at) + " about " + name_of(of);
            if (real.crashed) {
                if (known != nullptr && known->life != liveness::gone) {
                    return line + ": crashed, but not gone";
                }
                continue;
            }
            if (known == nullptr || known->life != liveness::alive) {
                return line + ": runs, but not alive";
            }
            if (known->id != real.members.self().id) {
                return line + ": another life";
            }
            if (known->leaving != real.members.self().leaving) {
                return line + ": leaving differs";
            }
        }
    }
    return std::nullopt;
}

} // namespace waxwingvale
