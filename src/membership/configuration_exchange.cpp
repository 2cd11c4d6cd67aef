#include <waxwingvale/membership/configuration_exchange.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <tuple>
#include <utility>

#include <waxwingvale/model/configuration_file.hpp>

namespace waxwingvale::membership {

namespace {

// The platform's encoding of a file may be longer than our own.
constexpr std::size_t max_text_bytes = 4 * configuration_size_limit;
// The delay before a peer that does not answer is asked again is doubled at
// most this often.
constexpr unsigned max_delay_doublings = 4;
// How many rejected revisions are remembered; the oldest are dropped first.
constexpr std::size_t max_rejected_revisions = 64;

// How many newer revisions are remembered, while files come more slowly than
// they are written.
constexpr std::size_t max_known_revisions = 256;

// After a late wake-up so many peers may be asked at once, for that long.
constexpr std::ptrdiff_t most_open_when_late = 3;
constexpr duration late_period = std::chrono::seconds(2);

// A revision that no linked peer has is awaited for so long.
constexpr duration longest_unobtainable_wait = std::chrono::seconds(10);

revision_message newest_of(const revision_message& a,
                           const revision_message& b) {
    return {std::max(a.revision, b.revision), std::max(a.refused, b.refused)};
}

} // namespace

configuration_exchange::configuration_exchange(
    configuration_register& configurations, duration answer_timeout)
    : configurations_(configurations),
      offer_([&configurations](const configuration_text& file, const auto&) {
          return configurations.offer(file);
      }),
      answer_timeout_(answer_timeout) {}

revision_message configuration_exchange::own_revision() const {
    return {configurations_.revision(), configurations_.refused_revision()};
}

bool configuration_exchange::lacks(const revision_message& theirs) const {
    const auto mine = own_revision();
    const bool newer = theirs.revision > mine.revision &&
                       rejected_revisions_.count(theirs.revision) == 0;
    return newer || theirs.refused > std::max(mine.refused, mine.revision);
}

// Whether the requested file is still expected.
bool configuration_exchange::is_open(const open_request& request,
                                     time_point now) const {
    const auto asked_peer = announcements_.find(request.peer);
    return now < request.deadline && asked_peer != announcements_.end() &&
           lacks(asked_peer->second.announced);
}

bool configuration_exchange::woke_recently(time_point now) const {
    return woke_late_at_ && now - *woke_late_at_ < late_period;
}

// A requested file takes a while on a busy link; a further request for each
// newer announcement would bring as many whole files and load the link even
// more.
bool configuration_exchange::may_request(time_point now) const {
    if (being_read_ > 0) {
        return false;
    }
    const auto limit = woke_recently(now) ? most_open_when_late : 1;
    const auto open = std::count_if(
        open_requests_.begin(), open_requests_.end(),
        [&](const open_request& each) { return is_open(each, now); });
    return open < limit;
}

bool configuration_exchange::lacks_any() const {
    return lacks(newest_announcement_) || any_peer_has_newer();
}

bool configuration_exchange::any_peer_has_newer() const {
    return std::any_of(
        announcements_.begin(), announcements_.end(),
        [this](const auto& each) { return lacks(each.second.announced); });
}

// A newer announcement changes which file is requested, but never delays the
// request. Otherwise changes that follow each other within the delay would
// postpone the request for as long as they go on, and so would links that are
// lost within the delay.
void configuration_exchange::handle_announcement(const std::string& peer,
                                                 const revision_message& theirs,
                                                 duration wait,
                                                 time_point now) {
    record_announced(peer, theirs.revision, now);
    const auto request_at = now + wait;
    request_at_ = lacks_any() ? std::min(request_at_, request_at) : request_at;
    newest_announcement_ = newest_of(newest_announcement_, theirs);
    auto& announcement = announcements_[peer];
    if (!lacks(announcement.announced)) {
        announcement.next_request_at = now;
        clear_open_request(peer);
    }
    announcement.announced = newest_of(announcement.announced, theirs);
}

void configuration_exchange::record_announced(const std::string& peer,
                                              std::uint64_t revision,
                                              time_point now) {
    if (revision > newest_announced_) {
        newest_announced_ = revision;
        newest_announced_by_ = peer;
    }
    forget_passed();
    if (revision <= configurations_.revision()) {
        return;
    }
    requests_while_behind_ = known_since_.empty() ? 0 : requests_while_behind_;
    // A revision was there before a newer one was, whoever tells of it later.
    const auto newer = known_since_.lower_bound(revision);
    const auto since = newer == known_since_.end() ? now : newer->second;
    known_since_.emplace(revision, since);
    if (known_since_.size() > max_known_revisions) {
        // As long as none of them arrives, only the first one's time counts.
        known_since_.erase(std::next(known_since_.begin()));
    }
}

void configuration_exchange::forget_passed() {
    known_since_.erase(known_since_.begin(),
                       known_since_.upper_bound(configurations_.revision()));
}

void configuration_exchange::hear_of(const std::string& peer,
                                     std::uint64_t revision, time_point now) {
    if (revision > unobtainable_) {
        record_announced(peer, revision, now);
    }
}

void configuration_exchange::forget_unobtainable(time_point now) {
    const auto awaited = pending(now);
    if (!awaited || awaited->waiting_time < longest_unobtainable_wait ||
        any_peer_has_newer()) {
        return;
    }
    unobtainable_ = awaited->revision;
    newest_announced_ = configurations_.revision();
    known_since_.clear();
}

std::optional<pending_configuration>
configuration_exchange::pending(time_point now) const {
    const auto next = known_since_.upper_bound(configurations_.revision());
    if (next == known_since_.end() || !lacks({newest_announced_, 0})) {
        return std::nullopt;
    }
    return pending_configuration{newest_announced_, newest_announced_by_,
                                 now - next->second, requests_while_behind_};
}

std::optional<duration>
configuration_exchange::behind_for(time_point now) const {
    const auto awaited = pending(now);
    return awaited ? std::optional(awaited->waiting_time) : std::nullopt;
}

std::string configuration_exchange::sender_of(std::uint64_t revision) const {
    return received_.revision == revision ? received_.peer : std::string();
}

bool configuration_exchange::has_newest_announced() const {
    const auto mine = own_revision();
    return std::max(mine.revision, mine.refused) >= newest_announced_;
}

void configuration_exchange::clear_open_request(const std::string& peer) {
    const auto is_from = [&](const open_request& each) {
        return each.peer == peer;
    };
    open_requests_.erase(
        std::remove_if(open_requests_.begin(), open_requests_.end(), is_from),
        open_requests_.end());
}

void configuration_exchange::handle_link_down(const std::string& peer) {
    announcements_.erase(peer);
    clear_open_request(peer);
}

// Among the peers that announced a missing file: the one with the fewest
// unanswered requests, and among equals the one with the newest file.
configuration_exchange::announcements::iterator
configuration_exchange::best_request_target(time_point now) {
    const auto rank = [](const peer_announcement& announcement) {
        return std::make_tuple(
            -static_cast<int>(announcement.unanswered_requests),
            announcement.announced.revision, announcement.announced.refused);
    };
    auto best = announcements_.end();
    for (auto candidate = announcements_.begin();
         candidate != announcements_.end(); ++candidate) {
        const bool due = now >= candidate->second.next_request_at &&
                         lacks(candidate->second.announced);
        if (due && (best == announcements_.end() ||
                    rank(best->second) < rank(candidate->second))) {
            best = candidate;
        }
    }
    return best;
}

std::optional<addressed_message>
configuration_exchange::due_request(time_point now) {
    if (const auto refused = configurations_.refused_revision()) {
        mark_rejected(refused);
    }
    if (now < request_at_ || !may_request(now)) {
        return std::nullopt;
    }
    const auto best = best_request_target(now);
    if (best == announcements_.end()) {
        return std::nullopt;
    }
    auto& [peer, announcement] = *best;
    clear_open_request(peer);
    open_requests_.push_back({peer, now + answer_timeout_});
    // The peer may only be slow; an early repeat would slow it down further.
    announcement.next_request_at =
        now + (answer_timeout_ * (1U << announcement.unanswered_requests));
    announcement.unanswered_requests =
        std::min(announcement.unanswered_requests + 1, max_delay_doublings);
    ++requests_while_behind_;
    const auto mine = own_revision();
    return addressed_message{
        peer, std::make_shared<const exchange_message>(
                  configuration_request{mine.revision, mine.refused})};
}

// A peer sends the newest file that it has. It may no longer have the one that
// it announced before, so an equal or newer file clears the announcement.
void configuration_exchange::record_received(const std::string& peer,
                                             std::uint64_t revision) {
    auto& announcement = announcements_[peer];
    if (revision >= announcement.announced.revision) {
        announcement.announced.revision = 0;
    }
    announcement.unanswered_requests -=
        announcement.unanswered_requests > 0 ? 1 : 0;
}

// Peers of another release may have a file in force that is invalid here. It is
// remembered, so that it is not requested again with every announcement.
void configuration_exchange::mark_rejected(std::uint64_t revision) {
    rejected_revisions_.insert(revision);
    if (rejected_revisions_.size() > max_rejected_revisions) {
        rejected_revisions_.erase(rejected_revisions_.begin());
    }
}

configuration_message
configuration_exchange::packed_message(const configuration_text& file) {
    if (last_packed_.revision != file.revision) {
        last_packed_ = {file.revision, pack(file.text)};
    }
    return last_packed_;
}

std::vector<configuration_message>
configuration_exchange::answer(const configuration_request& request) {
    const auto mine = own_revision();
    std::vector<configuration_message> files;
    if (mine.revision > request.revision) {
        files.push_back(packed_message(configurations_.file_in_force()));
    }
    if (mine.refused > std::max(request.refused, request.revision)) {
        files.push_back(packed_message(configurations_.refused_file()));
    }
    return files;
}

result<offer_outcome>
configuration_exchange::receive(const std::string& peer,
                                const configuration_message& message) {
    clear_open_request(peer);
    auto text = unpack(message.text, max_text_bytes);
    if (!text) {
        return text.error();
    }
    record_received(peer, message.revision);
    const auto outcome =
        offer_({message.revision, std::move(text.value())},
               [this, peer, revision = message.revision](offer_outcome later) {
                   --being_read_;
                   take_outcome(peer, revision, later);
               });
    if (outcome == offer_outcome::begun) {
        ++being_read_;
    } else {
        take_outcome(peer, message.revision, outcome);
    }
    return outcome;
}

void configuration_exchange::take_outcome(const std::string& peer,
                                          std::uint64_t revision,
                                          offer_outcome outcome) {
    if (outcome == offer_outcome::accepted) {
        received_ = {revision, peer};
    } else {
        mark_rejected(revision);
    }
}

} // namespace waxwingvale::membership
