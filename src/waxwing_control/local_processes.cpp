#include "waxwing_control/local_processes.hpp"

#include <utility>

#include <waxwingvale/io/view_codec.hpp>

namespace waxwingvale::control {

namespace {

// An entry process that goes on after waxwing-control was restarted has this
// long to name its life; after that the instance is announced without one.
constexpr duration entry_wait = std::chrono::seconds(3);
// Peers have this long to tell what they know before the first view.
constexpr duration introduction_wait = std::chrono::seconds(1);
// An entry process may be out of reach for this long before the instance is
// announced as gone.
constexpr duration entry_silence = std::chrono::seconds(3);

bool same_content(const view& a, const view& b) {
    return a.self == b.self && a.published == b.published &&
           a.members == b.members && a.beliefs == b.beliefs &&
           a.quarantined == b.quarantined && a.fresh == b.fresh &&
           a.answers == b.answers;
}

} // namespace

local_processes::local_processes(io::message_hub& hub,
                                 kernel::timer_service& timers,
                                 knowledge& known,
                                 std::uint64_t control_incarnation)
    : hub_(hub),
      timers_(timers),
      known_(known),
      incarnation_(control_incarnation),
      started_(timers.now()) {
    const auto& self = known.members.self().id.name;
    entry_ = process_name(self, entry_role);
    steer_ = process_name(self, steer_role);
    subscribe();
}

bool local_processes::is_local(const std::string& process) const {
    return process == entry_ || process == steer_;
}

template <typename Report, typename Taker>
void local_processes::take(const result<Report>& report, Taker taker) {
    if (!report) {
        ++malformed_;
        return;
    }
    (this->*taker)(report.value());
    on_report_();
}

void local_processes::subscribe() {
    hub_.on_link_change(
        [this](const std::string& process, bool up) { on_link(process, up); });
    hub_.on_message(io::in_force_kind,
                    [this](const std::string& process, const auto& body) {
                        const auto report = io::decode_in_force(body);
                        if (is_local(process) && report) {
                            in_force_[process] = report.value().revision;
                        }
                    });
    const auto from_entry = [this](const char* kind, auto handler) {
        hub_.on_message(kind, [this, handler](const std::string& process,
                                              const auto& body) {
            if (process == entry_) {
                handler(body);
            }
        });
    };
    from_entry(io::entry_life_kind, [this](const auto& body) {
        take(io::decode_entry_life(body), &local_processes::take_life);
    });
    from_entry(io::belief_kind, [this](const auto& body) {
        take(io::decode_beliefs(body, timers_.now()),
             &local_processes::take_beliefs);
    });
    from_entry(io::suspect_kind, [this](const auto& body) {
        take(io::decode_suspect(body), &local_processes::take_suspect);
    });
    from_entry(io::quarantine_kind, [this](const auto& body) {
        take(io::decode_quarantine(body), &local_processes::take_quarantine);
    });
}

void local_processes::on_link(const std::string& process, bool up) {
    if (!is_local(process)) {
        return;
    }
    // A process that has just connected holds nothing yet.
    in_force_.erase(process);
    if (process == entry_) {
        entry_up_ = up;
        entry_lost_ = timers_.now();
    }
    if (up) {
        send_view(process);
    }
}

void local_processes::take_life(const io::entry_life& life) {
    entry_seen_ = true;
    known_.members.start_life(life.incarnation);
    known_.members.set_serving(true);
    entry_ask_ = life.ask;
}

void local_processes::take_beliefs(const io::belief_report& report) {
    for (auto belief : report.beliefs) {
        belief.observer = known_.members.self().id.name;
        known_.beliefs.observe(belief);
    }
}

void local_processes::take_suspect(const io::suspect_report& report) {
    known_.quarantine.add_death({report.fingerprint, report.backend_server,
                                 report.incarnation, report.alone,
                                 timers_.now()});
}

void local_processes::take_quarantine(const io::quarantine_report& report) {
    known_.quarantine.add_verdict(
        {report.fingerprint, known_.members.self().id.name, timers_.now()});
}

void local_processes::tick(time_point now) {
    const bool unnamed = known_.members.self().id.incarnation == 0;
    if (unnamed && now - started_ >= entry_wait) {
        known_.members.start_life(incarnation_);
    }
    if (entry_seen_ && !entry_up_ && now - entry_lost_ >= entry_silence) {
        known_.members.set_serving(false);
    }
}

view local_processes::make_view() const {
    view made;
    made.control_incarnation = incarnation_;
    made.serial = last_ ? last_->serial + 1 : 1;
    made.self = membership::to_member(known_.members.self());
    made.config = known_.configurations.in_force();
    made.published = known_.configurations.published();
    made.members = known_.members.members();
    for (const auto& record : known_.beliefs.records()) {
        auto belief = membership::to_belief(record);
        if (belief.observer != made.self.id.name) {
            belief.source = belief_source::peer;
        }
        made.beliefs.push_back(std::move(belief));
    }
    made.quarantined = known_.quarantine.fingerprints();
    made.fresh = known_.fresh.fresh();
    made.answers = entry_ask_;
    return made;
}

// A waxwing-control that was started again knows nobody at first. Entry and
// steer go on with what the former told them, and a view from before the
// introduction would take it away: instances named in request keys would count
// as gone, and their callers get "unknown" although nothing happened to them.
bool local_processes::knows_enough(bool introduced) const {
    const bool named = known_.members.self().id.incarnation != 0;
    return named &&
           (introduced || timers_.now() - started_ >= introduction_wait);
}

void local_processes::publish(bool introduced) {
    if (!last_ && !knows_enough(introduced)) {
        return;
    }
    auto made = make_view();
    if (last_ && same_content(made, *last_)) {
        return;
    }
    last_ = std::make_shared<const view>(std::move(made));
    send_view(entry_);
    send_view(steer_);
}

void local_processes::send_view(const std::string& process) {
    if (!last_ || !hub_.connected(process)) {
        return;
    }
    const auto held = in_force_.find(process);
    const bool has_file =
        held != in_force_.end() && held->second == last_->published.revision;
    const auto part = has_file ? io::configuration_part::revision_only
                               : io::configuration_part::included;
    hub_.send(process, io::view_kind,
              io::encode_view(*last_, part, timers_.now()));
}

} // namespace waxwingvale::control
