#include <waxwingvale/membership/configuration_exchange.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <waxwingvale/model/configuration_file.hpp>

namespace waxwingvale::membership {

namespace {

// The platform's form of a file may be longer than our own.
constexpr std::size_t text_limit = 4 * configuration_size_limit;
// How often the time after which a silent peer is asked again is doubled.
constexpr unsigned most_unanswered = 4;
// So many files that were turned down are remembered, the newest.
constexpr std::size_t most_turned_down = 64;

revision_message newest_of(const revision_message& a,
                           const revision_message& b) {
    return {std::max(a.revision, b.revision), std::max(a.refused, b.refused)};
}

} // namespace

configuration_exchange::configuration_exchange(
    configuration_register& configurations, duration answer_within)
    : configurations_(configurations), answer_within_(answer_within) {}

revision_message configuration_exchange::own_revision() const {
    return {configurations_.revision(), configurations_.refused_revision()};
}

bool configuration_exchange::lacks(const revision_message& theirs) const {
    const auto mine = own_revision();
    const bool newer = theirs.revision > mine.revision &&
                       turned_down_.count(theirs.revision) == 0;
    return newer || theirs.refused > std::max(mine.refused, mine.revision);
}

// Whether a file is on its way, which on a busy link takes a while. Whoever
// asked again for each newer word meanwhile would get as many whole files, and
// keep the link the busier.
bool configuration_exchange::is_awaited(time_point now) const {
    if (!asked_ || now >= asked_->until) {
        return false;
    }
    const auto asked = words_.find(asked_->from);
    return asked != words_.end() && lacks(asked->second.theirs);
}

bool configuration_exchange::lacks_any() const {
    return lacks(newest_word_) ||
           std::any_of(words_.begin(), words_.end(), [this](const auto& each) {
               return lacks(each.second.theirs);
           });
}

// Word of a newer file changes what is asked for, and never when: changes that
// follow each other sooner than the wait ends would put it off for as long as
// they go on, and so would links that are lost before it ends.
void configuration_exchange::hear(const std::string& peer,
                                  const revision_message& theirs, duration wait,
                                  time_point now) {
    note_named(peer, theirs.revision, now);
    const auto ask_at = now + wait;
    ask_at_ = lacks_any() ? std::min(ask_at_, ask_at) : ask_at;
    newest_word_ = newest_of(newest_word_, theirs);
    auto& word = words_[peer];
    if (!lacks(word.theirs)) {
        word.ask_again_at = now;
        forget_asked(peer);
    }
    word.theirs = newest_of(word.theirs, theirs);
}

void configuration_exchange::note_named(const std::string& peer,
                                        std::uint64_t revision,
                                        time_point now) {
    if (revision > named_) {
        named_ = revision;
        named_by_ = peer;
    }
    const auto mine = configurations_.revision();
    const bool known_behind = behind_ && behind_->in_force == mine;
    if (revision > mine && !known_behind) {
        behind_ = time_behind{mine, now, 0};
    }
}

std::optional<awaited_configuration>
configuration_exchange::awaited(time_point now) const {
    const auto mine = configurations_.revision();
    const bool behind = behind_ && behind_->in_force == mine;
    if (!behind || !lacks({named_, 0})) {
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

// Of the peers that have named what is lacking, one that has not stayed silent
// when it was asked, with the newest file.
configuration_exchange::words::iterator
configuration_exchange::best_to_ask(time_point now) {
    const auto rank = [](const peer_word& word) {
        return std::make_tuple(-static_cast<int>(word.unanswered),
                               word.theirs.revision, word.theirs.refused);
    };
    auto best = words_.end();
    for (auto at = words_.begin(); at != words_.end(); ++at) {
        const bool due =
            now >= at->second.ask_again_at && lacks(at->second.theirs);
        if (due &&
            (best == words_.end() || rank(best->second) < rank(at->second))) {
            best = at;
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
    auto& [peer, word] = *best;
    asked_ = asked_file{peer, now + answer_within_};
    // It may only be slow; asked again soon it would be slower yet.
    word.ask_again_at = now + (answer_within_ * (1U << word.unanswered));
    word.unanswered = std::min(word.unanswered + 1, most_unanswered);
    if (behind_) {
        ++behind_->asked;
    }
    const auto mine = own_revision();
    return addressed_message{
        peer, std::make_shared<const exchange_message>(
                  configuration_request{mine.revision, mine.refused})};
}

// A peer sends the newest that it has: what it named before, it may have no
// more.
void configuration_exchange::note_sent(const std::string& peer,
                                       std::uint64_t revision) {
    auto& word = words_[peer];
    if (revision >= word.theirs.revision) {
        word.theirs.revision = 0;
    }
    word.unanswered -= word.unanswered > 0 ? 1 : 0;
}

// Peers of another release may have in force what is not valid here.
void configuration_exchange::turn_down(std::uint64_t revision) {
    turned_down_.insert(revision);
    if (turned_down_.size() > most_turned_down) {
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
    auto text = unpack(message.text, text_limit);
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
