// The part of platform_client that takes what the platform answers, and gives
// it on.

#include <algorithm>
#include <utility>

#include <waxwingvale/io/platform_client.hpp>

#include "io/reading_portions.hpp"

namespace waxwingvale::io {

namespace {

// A topic on which nothing was published yet is read again this much later.
constexpr duration unpublished_pause = std::chrono::seconds(1);
// A list whose changes are lost again and again is interrupted no more often.
constexpr duration shortest_without_changes = std::chrono::milliseconds(25);

} // namespace

// Begun anew each time, a list would never end while much changes. It goes on,
// and is read once more for what has changed behind its place; then what
// changes is asked for more often, so that there is less of it.
void platform_client::lose_changes(const std::string& name) {
    auto& topic = topics_.at(name);
    if (!has_pages_before(topic)) {
        read_anew(name);
        return;
    }
    ++counters_.relists;
    succeed(name);
    topic.again = true;
    topic.changes_lost = true;
    topic.without_changes =
        std::max(topic.without_changes / 2, shortest_without_changes);
    read_when_allowed(name, duration::zero());
}

void platform_client::read_anew(const std::string& name) {
    ++counters_.relists;
    succeed(name);
    topics_.at(name).listed = false;
    give_up_list(topics_.at(name));
    read_when_allowed(name, duration::zero());
}

void platform_client::take_page(const std::string& name, std::uint64_t asked_in,
                                const http_response& response) {
    auto page = dialect_.read_list(name, response);
    if (!page && page.error().code == error_code::not_found) {
        ++counters_.unpublished;
        succeed(name);
        read_when_allowed(name, unpublished_pause);
        return;
    }
    if (!page) {
        fail(name, page.error());
        return;
    }
    succeed(name);
    auto& topic = topics_.at(name);
    const auto era = page.value().era;
    if (!topic.in_list) {
        topic.era = std::max(era_, era);
    }
    if (!follow_era(name, era)) {
        return;
    }
    if (!topic.in_list) {
        topic.list_revision = page.value().revision;
        topic.epoch = asked_in;
    }
    // Pages are not a snapshot: what changes while they are read is brought by
    // the watch, which begins where the first page was, or the first after
    // changes that were lost.
    if (!topic.in_list || std::exchange(topic.changes_lost, false)) {
        topic.revision = page.value().revision;
        topic.changes_known = timers_.now();
    }
    delivery started;
    started.reading.topic = name;
    started.reading.whole = true;
    started.reading.revision = topic.list_revision;
    started.reading.era = era;
    started.reading.epoch = topic.epoch;
    started.more = page.value().more;
    started.portions =
        std::make_unique<reading_portions>(std::move(page.value()));
    topic.delivering = std::move(started);
    deliver(name);
}

void platform_client::take_changes(const std::string& name,
                                   std::uint64_t asked_in,
                                   const http_response& response) {
    auto& topic = topics_.at(name);
    auto read = dialect_.read_watch(name, topic.revision, response);
    if (!read && read.error().code == error_code::stale) {
        lose_changes(name);
        return;
    }
    if (!read) {
        fail(name, read.error());
        return;
    }
    succeed(name);
    auto& changes = read.value();
    if (!follow_era(name, changes.era)) {
        return;
    }
    const bool none =
        changes.changes.empty() && (!changes.rest || changes.rest->empty());
    ++(none ? counters_.unchanged : counters_.values);
    delivery started;
    started.reading.topic = name;
    started.reading.revision = changes.revision;
    started.reading.era = changes.era;
    started.reading.epoch = asked_in;
    started.portions = std::make_unique<reading_portions>(std::move(changes));
    topic.delivering = std::move(started);
    deliver(name);
}

void platform_client::deliver(const std::string& name) {
    auto& topic = topics_.at(name);
    auto& from = *topic.delivering;
    auto reading = from.reading;
    const auto taken = from.portions->take(reading);
    if (!taken) {
        topic.delivering.reset();
        fail(name, taken.error());
        return;
    }
    const bool all_given = from.portions->empty();
    const auto last_key = from.portions->last_key();
    // An empty page ends a list, whatever it says.
    const bool more = from.more && !last_key.empty();
    if (reading.whole) {
        reading.begins = !std::exchange(topic.in_list, true);
    }
    reading.ends = all_given && !more && (reading.whole || topic.listed);
    if (!all_given) {
        from.reading.begins = false;
        deliver_later(name);
    } else if (more) {
        topic.last_key = last_key;
        topic.delivering.reset();
        read_when_allowed(name, duration::zero());
    } else {
        end_delivery(name);
    }
    topic.on_reading(reading);
}

void platform_client::deliver_later(const std::string& name) {
    topics_.at(name).delivering->next = timers_.after(
        duration::zero(), [this, name](time_point) { deliver(name); });
}

void platform_client::hold(const std::string& name) {
    auto& topic = topics_.at(name);
    topic.held = true;
    topic.next.cancel();
    if (topic.delivering) {
        topic.delivering->next.cancel();
    }
}

void platform_client::go_on(const std::string& name) {
    auto& topic = topics_.at(name);
    topic.held = false;
    if (topic.delivering) {
        deliver_later(name);
    } else if (topic.call == 0 && !topic.waits) {
        read_when_allowed(name, duration::zero());
    }
}

void platform_client::end_delivery(const std::string& name) {
    auto& topic = topics_.at(name);
    if (topic.delivering->reading.whole) {
        ++counters_.values;
        topic.listed = !std::exchange(topic.again, false);
        if (topic.listed) {
            topic.without_changes = longest_without_changes;
        }
        give_up_list(topic);
    } else {
        topic.revision = topic.delivering->reading.revision;
        topic.changes_known = timers_.now();
        topic.delivering.reset();
    }
    read_when_allowed(name, duration::zero());
}

// Answers of an older era came late. In a later one, revisions are given out
// again: what follows a revision of before says nothing of the changes between
// the copy and it, and pages of two eras are no list.
bool platform_client::follow_era(const std::string& name, std::uint64_t era) {
    era_ = std::max(era_, era);
    auto& topic = topics_.at(name);
    if (era == topic.era) {
        return true;
    }
    ++counters_.relists;
    topic.listed = false;
    give_up_list(topic);
    read_when_allowed(name, duration::zero());
    return false;
}

} // namespace waxwingvale::io
