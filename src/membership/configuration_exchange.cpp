#include <waxwingvale/membership/configuration_exchange.hpp>

#include <algorithm>
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

revision_message newest_of(const revision_message& a,
                           const revision_message& b) {
    return {std::max(a.revision, b.revision), std::max(a.refused, b.refused)};
}

} // namespace

configuration_exchange::configuration_exchange(
    configuration_register& configurations, duration answer_timeout)
    : configurations_(configurations), answer_within_(answer_timeout) {}

revision_message configuration_exchange::own_revision() const {
    return {configurations_.revision(), configurations_.refused_revision()};
}

bool configuration_exchange::lacks(const revision_message& theirs) const {
    const auto mine = own_revision();
    const bool newer = theirs.revision > mine.revision &&
                       turned_down_.count(theirs.revision) == 0;
    return newer || theirs.refused > std::max(mine.refused, mine.revision);
}

// Whether a requested file is still expected. On a busy link it takes a while;
// a further request for each newer announcement would bring as many whole files
// and load the link even more.
bool configuration_exchange::is_awaited(time_point now) const {
    if (!asked_ || now >= asked_->until) {
        return false;
    }
    const auto asked_peer = words_.find(asked_->from);
    return asked_peer != words_.end() && lacks(asked_peer->second.theirs);
}

bool configuration_exchange::lacks_any() const {
    return lacks(newest_word_) ||
           std::any_of(words_.begin(), words_.end(), [this](const auto& each) {
               return lacks(each.second.theirs);
           });
}

// A newer announcement changes which file is requested, but never delays the
// request. Otherwise changes that follow each other within the delay would
// postpone the request for as long as they go on, and so would links that are
// lost within the delay.
void configuration_exchange::hear(const std::string& peer,
                                  const revision_message& theirs, duration wait,
                                  time_point now) {
    note_named(peer, theirs.revision, now);
    const auto request_at = now + wait;
    ask_at_ = lacks_any() ? std::min(ask_at_, request_at) : request_at;
    newest_word_ = newest_of(newest_word_, theirs);
    auto& announcement = words_[peer];
    if (!lacks(announcement.theirs)) {
        announcement.ask_again_at = now;
        forget_asked(peer);
    }
    announcement.theirs = newest_of(announcement.theirs, theirs);
}

void configuration_exchange::note_named(const std::string& peer,
                                        std::uint64_t revision,
                                        time_point now) {
    if (revision > named_) {
        named_ = revision;
        named_by_ = peer;
    }
    const auto mine = configurations_.revision();
    const bool known_outdated = behind_ && behind_->in_force == mine;
    if (revision > mine && !known_outdated) {
        behind_ = time_behind{mine, now, 0};
    }
}

std::optional<awaited_configuration>
configuration_exchange::awaited(time_point now) const {
    const auto mine = configurations_.revision();
    const bool outdated = behind_ && behind_->in_force == mine;
    if (!outdated || !lacks({named_, 0})) {
        return std::nullopt;
    }
    return awaited_configuration{named_, named_by_, now - behind_->since,
                                 behind_->asked};
}

std::string configuration_exchange::sender_of(std::uint64_t revision) const {
    return received_.revision == revision ? received_.from : std::string();
}

bool configuration_exchange::has_named() const {
    const auto mine = own_revision();
    return std::max(mine.revision, mine.refused) >= named_;
}

void configuration_exchange::forget_asked(const std::string& peer) {
    if (asked_ && asked_->from == peer) {
        asked_.reset();
    }
}

void configuration_exchange::lost(const std::string& peer) {
    words_.erase(peer);
    forget_asked(peer);
}

// Among the peers that announced a missing file: the one with the fewest
// unanswered requests, and among equals the one with the newest file.
configuration_exchange::words::iterator
configuration_exchange::best_to_ask(time_point now) {
    const auto rank = [](const peer_word& announcement) {
        return std::make_tuple(-static_cast<int>(announcement.unanswered),
                               announcement.theirs.revision,
                               announcement.theirs.refused);
    };
    auto best = words_.end();
    for (auto candidate = words_.begin(); candidate != words_.end();
         ++candidate) {
        const bool due = now >= candidate->second.ask_again_at &&
                         lacks(candidate->second.theirs);
        if (due && (best == words_.end() ||
                    rank(best->second) < rank(candidate->second))) {
            best = candidate;
        }
    }
    return best;
}

std::optional<addressed_message>
configuration_exchange::due_request(time_point now) {
    if (const auto refused = configurations_.refused_revision()) {
        turn_down(refused);
    }
    if (now < ask_at_ || is_awaited(now)) {
        return std::nullopt;
    }
    const auto best = best_to_ask(now);
    if (best == words_.end()) {
        return std::nullopt;
    }
    auto& [peer, announcement] = *best;
    asked_ = asked_file{peer, now + answer_within_};
    // The peer may only be slow; an early repeat would slow it down further.
    announcement.ask_again_at =
        now + (answer_within_ * (1U << announcement.unanswered));
    announcement.unanswered =
        std::min(announcement.unanswered + 1, max_delay_doublings);
    if (behind_) {
        ++behind_->asked;
    }
    const auto mine = own_revision();
    return addressed_message{
        peer, std::make_shared<const exchange_message>(
                  configuration_request{mine.revision, mine.refused})};
}

// A peer sends the newest file that it has. It may no longer have the one that
// it announced before, so an equal or newer file clears the announcement.
void configuration_exchange::note_sent(const std::string& peer,
                                       std::uint64_t revision) {
    auto& announcement = words_[peer];
    if (revision >= announcement.theirs.revision) {
        announcement.theirs.revision = 0;
    }
    announcement.unanswered -= announcement.unanswered > 0 ? 1 : 0;
}

// Peers of another release may have a file in force that is invalid here. It is
// remembered, so that it is not requested again with every announcement.
void configuration_exchange::turn_down(std::uint64_t revision) {
    turned_down_.insert(revision);
    if (turned_down_.size() > max_rejected_revisions) {
        turned_down_.erase(turned_down_.begin());
    }
}

configuration_message
configuration_exchange::message_of(const configuration_text& file) {
    if (packed_.revision != file.revision) {
        packed_ = {file.revision, pack(file.text)};
    }
    return packed_;
}

std::vector<configuration_message>
configuration_exchange::answer(const configuration_request& request) {
    const auto mine = own_revision();
    std::vector<configuration_message> files;
    if (mine.revision > request.revision) {
        files.push_back(message_of(configurations_.published()));
    }
    if (mine.refused > std::max(request.refused, request.revision)) {
        files.push_back(message_of(configurations_.refused_file()));
    }
    return files;
}

result<offer_outcome>
configuration_exchange::take(const std::string& peer,
                             const configuration_message& message) {
    forget_asked(peer);
    auto text = unpack(message.text, max_text_bytes);
    if (!text) {
        return text.error();
    }
    note_sent(peer, message.revision);
    const auto outcome =
        configurations_.offer({message.revision, std::move(text.value())});
    if (outcome == offer_outcome::accepted) {
        received_ = {message.revision, peer};
    } else {
        turn_down(message.revision);
    }
    return outcome;
}

} // namespace waxwingvale::membership
