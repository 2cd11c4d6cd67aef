#include <waxwingvale/io/platform_client.hpp>

#include <algorithm>
#include <utility>

#include "io/reading_portions.hpp"

namespace waxwingvale::io {

namespace {

// The wait of a watch that is only to tell what has changed until now.
constexpr duration shortest_watch = std::chrono::milliseconds(1);
// An answer that goes on coming has so many times as long as one that does not
// begin: a long list takes its time on a narrow link.
constexpr int patience = 8;
// After more failures in a row than this a half-read list begins anew: by then
// the history after its first page may no longer be kept.
constexpr unsigned most_failures_in_list = 4;
// The changes of a quiet platform, or a page of it, take less.
constexpr std::size_t long_answer_size = 512 * 1024; // bytes
// Then another topic is tried in its place.
constexpr unsigned probes_of_one_topic = 8;

} // namespace

platform_client::platform_client(http_client& client,
                                 kernel::timer_service& timers,
                                 const platform_dialect& dialect,
                                 platform_client_options options)
    : client_(client),
      timers_(timers),
      dialect_(dialect),
      options_(std::move(options)),
      budget_({}, options_.seed, timers.now()) {}

platform_client::~platform_client() = default;

void platform_client::watch(const std::string& topic,
                            reading_handler on_reading) {
    topics_[topic].on_reading = std::move(on_reading);
    read_when_allowed(topic, duration::zero());
}

bool platform_client::half_read(const watched_topic& topic) {
    return !topic.listed && (topic.call != 0 || topic.in_list);
}

bool platform_client::has_pages_before(const watched_topic& topic) {
    return topic.in_list && !topic.last_key.empty();
}

void platform_client::give_up_list(watched_topic& topic) {
    topic.in_list = false;
    topic.changes_lost = false;
    topic.last_key.clear();
    topic.delivering.reset();
}

// All topics are asked for, one first.
void platform_client::start_reading() {
    probing_.reset();
    for (auto& [name, topic] : topics_) {
        topic.again = half_read(topic);
        if (topic.listed) {
            give_up_watch(topic);
            topic.catches_up = true;
        }
        // An answer that came while the process was stopped is read before the
        // timer looks for it: the wait is not begun anew.
        const bool under_way = topic.call != 0 || topic.delivering;
        topic.waits = probing_.has_value() && !under_way;
        if (!probing_) {
            probing_ = name;
            if (!under_way) {
                read_when_allowed(name, duration::zero());
            }
        }
    }
}

void platform_client::give_up_watch(watched_topic& topic) {
    if (timers_.now() < topic.watch_ends) {
        client_.cancel(std::exchange(topic.call, 0));
        topic.silence.cancel();
    }
}

void platform_client::set_share(membership::read_share share) {
    budget_.set_share(share, timers_.now());
}

void platform_client::read_again() {
    for (auto& each : topics_) {
        each.second.next.cancel();
    }
    start_reading();
}

void platform_client::pause() {
    paused_ = true;
    for (auto& each : topics_) {
        each.second.next.cancel();
    }
}

void platform_client::resume() {
    if (paused_) {
        paused_ = false;
        for (auto& [name, topic] : topics_) {
            if (topic.in_list) {
                client_.cancel(std::exchange(topic.call, 0));
                topic.silence.cancel();
                give_up_list(topic);
            }
        }
        read_again();
    }
}

void platform_client::read_when_allowed(const std::string& name,
                                        duration at_least) {
    auto& topic = topics_.at(name);
    if (paused_ || topic.held) {
        return;
    }
    const auto now = timers_.now();
    budget_.set_hurried(has_pages_before(topic) || topic.long_answer, now);
    const auto wait = std::max(budget_.wait_before_read(now), at_least);
    topic.next = timers_.after(wait, [this, name](time_point) { read(name); });
}

void platform_client::read(const std::string& name) {
    auto& topic = topics_.at(name);
    // Another topic's read may have taken the token meanwhile.
    if (budget_.wait_before_read(timers_.now()) > duration::zero()) {
        read_when_allowed(name, duration::zero());
        return;
    }
    budget_.consume_token(timers_.now());
    ++counters_.reads;
    http_call call;
    call.host = options_.host;
    call.port = options_.port;
    call.timeout = patience * options_.answer_within;
    call.connect_timeout = options_.answer_within;
    auto first_byte_within = options_.answer_within;
    const bool amid_list =
        has_pages_before(topic) && !topic.changes_lost &&
        timers_.now() - topic.changes_known >= topic.without_changes;
    topic.asked_changes = topic.listed || amid_list;
    if (topic.asked_changes) {
        const bool at_once = topic.catches_up || amid_list;
        const auto wait = at_once ? shortest_watch : options_.watch;
        topic.catches_up = false;
        topic.watch_ends = timers_.now() + wait;
        call.target = dialect_.watch_target(name, topic.revision, wait);
        call.timeout += wait;
        first_byte_within += wait;
    } else {
        call.target = dialect_.list_target(name, topic.last_key);
    }
    topic.call = client_.send(
        std::move(call), [this, name, asked_in = epoch_](http_call_result got) {
            finish(name, asked_in, std::move(got));
        });
    topic.received = 0;
    look_for_silence(name, first_byte_within);
}

void platform_client::look_for_silence(const std::string& name,
                                       duration after) {
    topics_.at(name).silence = timers_.after(after, [this, name](time_point) {
        auto& topic = topics_.at(name);
        const auto received = client_.received(topic.call);
        if (std::exchange(topic.received, received) < received) {
            look_for_silence(name, options_.answer_within);
            return;
        }
        client_.cancel(std::exchange(topic.call, 0));
        fail(name, {error_code::timed_out, "await answer",
                    options_.host + ":" + std::to_string(options_.port),
                    "nothing came"});
    });
}

void platform_client::finish(const std::string& name, std::uint64_t asked_in,
                             http_call_result got) {
    auto& topic = topics_.at(name);
    topic.call = 0;
    topic.silence.cancel();
    const bool too_long = !got.response && got.response.error().code ==
                                               error_code::resource_exhausted;
    if (too_long && topic.asked_changes) {
        lose_changes(name);
        return;
    }
    if (!got.response) {
        fail(name, got.response.error());
        return;
    }
    topic.long_answer = got.response.value().body.size() >= long_answer_size;
    if (topic.asked_changes) {
        take_changes(name, asked_in, got.response.value());
    } else {
        take_page(name, asked_in, got.response.value());
    }
}

void platform_client::succeed(const std::string& name) {
    budget_.succeeded();
    set_answers(true, {});
    if (probing_ && *probing_ != name) {
        return; // a watch that had begun before the other one failed
    }
    probing_.reset();
    probes_failed_ = 0;
    for (auto& [other, topic] : topics_) {
        if (std::exchange(topic.waits, false)) {
            read_when_allowed(other, duration::zero());
        }
    }
}

void platform_client::fail(const std::string& name, const error& why) {
    ++counters_.failed;
    counters_.malformed += why.code == error_code::malformed ? 1 : 0;
    budget_.failed(timers_.now());
    // What the platform has when it comes back is read whole and without
    // waiting, so that its return is noticed. Begun anew with every refused
    // page, a long list might never end.
    auto& topic = topics_.at(name);
    topic.listed = false;
    if (budget_.consecutive_failures() > most_failures_in_list) {
        give_up_list(topic);
    }
    topic.again = topic.again && topic.in_list;
    set_answers(false, why);
    if (probing_ && *probing_ != name) {
        topic.waits = true;
        return;
    }
    probing_ = name;
    if (++probes_failed_ >= probes_of_one_topic) {
        hand_on_probing();
    }
    read_when_allowed(*probing_, duration::zero());
}

void platform_client::hand_on_probing() {
    probes_failed_ = 0;
    auto next = topics_.find(*probing_);
    next->second.waits = true;
    do {
        ++next;
        next = next == topics_.end() ? topics_.begin() : next;
    } while (!next->second.waits);
    next->second.waits = false;
    probing_ = next->first;
}

void platform_client::set_answers(bool answers, const error& why) {
    if (answers) {
        last_answer_ = timers_.now();
    }
    if (answers_ != answers || !told_state_) {
        answers_ = answers;
        told_state_ = true;
        if (on_state_) {
            on_state_(answers, why);
        }
    }
}

} // namespace waxwingvale::io
