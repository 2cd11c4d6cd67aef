#include <waxwingvale/membership/configuration_exchange.hpp>

#include <algorithm>
#include <utility>

#include <waxwingvale/model/configuration_file.hpp>

namespace waxwingvale::membership {

namespace {

// The platform's form of a file may be longer than our own.
constexpr std::size_t text_limit = 4 * configuration_size_limit;
// So many files that were turned down are remembered, the newest.
constexpr std::size_t most_turned_down = 64;

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
                       theirs.revision != mine.refused &&
                       turned_down_.count(theirs.revision) == 0;
    return newer || theirs.refused > std::max(mine.refused, mine.revision);
}

// Whether a file is on its way, which on a busy link takes a while. Whoever
// asked again for each newer word meanwhile would get as many whole files, and
// keep the link the busier.
bool configuration_exchange::is_awaited(time_point now) const {
    return asked_ && now < asked_->until && lacks(asked_->theirs);
}

// Whether what is to be asked for is as new. Word of a file that has come
// meanwhile is still there until its time, and must not hold up word of the
// next.
bool configuration_exchange::waits_for(const revision_message& theirs) const {
    return wanted_ && lacks(wanted_->theirs) &&
           theirs.revision <= wanted_->theirs.revision &&
           theirs.refused <= wanted_->theirs.refused;
}

void configuration_exchange::hear(const std::string& peer,
                                  const revision_message& theirs, duration wait,
                                  time_point now) {
    note_named(peer, theirs.revision, now);
    if (!lacks(theirs) || waits_for(theirs)) {
        return;
    }
    auto ask_at = now + wait;
    // Word of a newer file changes what is asked for, and never when: changes
    // that follow each other sooner than the wait ends would put it off for as
    // long as they go on.
    if (wanted_ && lacks(wanted_->theirs)) {
        ask_at = std::min(ask_at, wanted_->ask_at);
    }
    wanted_ = wanted_file{peer, theirs, ask_at};
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

void configuration_exchange::lost(const std::string& peer, time_point now) {
    if (wanted_ && wanted_->from == peer) {
        wanted_.reset();
    }
    if (!asked_ || asked_->from != peer) {
        return;
    }
    asked_.reset();
    if (wanted_) {
        wanted_->ask_at = now;
    }
}

std::optional<addressed_message>
configuration_exchange::due_request(time_point now) {
    if (const auto refused = configurations_.refused_revision()) {
        turn_down(refused);
    }
    if (!wanted_ || is_awaited(now) || now < wanted_->ask_at) {
        return std::nullopt;
    }
    const auto wanted = std::move(*wanted_);
    wanted_.reset();
    if (!lacks(wanted.theirs)) {
        return std::nullopt;
    }
    asked_ = asked_file{wanted.from, wanted.theirs, now + answer_within_};
    if (behind_) {
        ++behind_->asked;
    }
    const auto mine = own_revision();
    return addressed_message{
        wanted.from, std::make_shared<const exchange_message>(
                         configuration_request{mine.revision, mine.refused})};
}

// Peers of another release may have in force what is not valid here.
void configuration_exchange::turn_down(std::uint64_t revision) {
    turned_down_.insert(revision);
    turned_down_.erase(turned_down_.begin(),
                       turned_down_.upper_bound(configurations_.revision()));
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
    if (asked_ && asked_->from == peer) {
        asked_.reset();
    }
    auto text = unpack(message.text, text_limit);
    if (!text) {
        return text.error();
    }
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
