#include <waxwingvale/membership/configuration_exchange.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

#include <waxwingvale/model/configuration_file.hpp>

namespace waxwingvale::membership {

namespace {

// The platform's form of a file may be longer than our own.
constexpr std::size_t text_limit = 4 * configuration_size_limit;

revision_message newest_of(const revision_message& a,
                           const revision_message& b) {
    return {std::max(a.revision, b.revision), std::max(a.refused, b.refused)};
}

bool same(const revision_message& a, const revision_message& b) {
    return a.revision == b.revision && a.refused == b.refused;
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
    return theirs.revision > mine.revision ||
           theirs.refused > std::max(mine.refused, mine.revision);
}

bool configuration_exchange::asked_for(const revision_message& theirs,
                                       time_point now) const {
    return asked_ && now < asked_->until &&
           theirs.revision <= asked_->theirs.revision &&
           theirs.refused <= asked_->theirs.refused;
}

void configuration_exchange::hear(const std::string& peer,
                                  const revision_message& theirs, duration wait,
                                  time_point now) {
    note_named(peer, theirs, now);
    if (!lacks(theirs)) {
        return;
    }
    // Asked for already, the file is on its way from another peer.
    const auto ask_at = asked_for(theirs, now) ? asked_->until : now + wait;
    // Word of a newer file, or from another peer, changes what is asked for
    // and whom, and never when: changes that follow each other sooner than the
    // wait ends would put it off for as long as they go on.
    if (wanted_ && lacks(wanted_->theirs)) {
        wanted_->theirs = newest_of(wanted_->theirs, theirs);
        wanted_->ask_at = std::min(ask_at, wanted_->ask_at);
    } else {
        wanted_ = wanted_file{theirs, ask_at};
    }
}

void configuration_exchange::note_named(const std::string& peer,
                                        const revision_message& theirs,
                                        time_point now) {
    auto& file = files_of_peers_[peer];
    const auto newest = newest_of(file.theirs, theirs);
    if (!same(newest, file.theirs)) {
        file = {newest, ++named_files_};
    }
    if (theirs.revision > named_) {
        named_ = theirs.revision;
        named_by_ = peer;
    }
    const auto mine = configurations_.revision();
    const bool known_behind = behind_ && behind_->in_force == mine;
    if (theirs.revision > mine && !known_behind) {
        behind_ = time_behind{mine, now, 0};
    }
}

std::optional<awaited_configuration>
configuration_exchange::awaited(time_point now) const {
    const auto mine = configurations_.revision();
    if (!behind_ || behind_->in_force != mine || named_ <= mine) {
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

// What it named stays wanted, of others that have it or will name it.
void configuration_exchange::lost(const std::string& peer, time_point now) {
    files_of_peers_.erase(peer);
    if (!asked_ || asked_->from != peer) {
        return;
    }
    asked_.reset();
    if (wanted_) {
        wanted_->ask_at = now;
    }
}

bool configuration_exchange::asked_in_vain(const std::string& peer,
                                           const named_file& file) const {
    return asked_ && asked_->from == peer && same(file.theirs, asked_->theirs);
}

// The newest file, of the peer that named it first; one that was asked for it
// and has not sent it comes last.
std::string configuration_exchange::best_source() const {
    using rank = std::tuple<bool, std::uint64_t, std::uint64_t, std::uint64_t>;
    std::string best;
    rank of_best;
    for (const auto& [peer, file] : files_of_peers_) {
        const rank of{asked_in_vain(peer, file), ~file.theirs.revision,
                      ~file.theirs.refused, file.number};
        if (lacks(file.theirs) && (best.empty() || of < of_best)) {
            best = peer;
            of_best = of;
        }
    }
    return best;
}

std::optional<addressed_message>
configuration_exchange::due_request(time_point now) {
    if (!wanted_ || now < wanted_->ask_at) {
        return std::nullopt;
    }
    if (!lacks(wanted_->theirs)) {
        wanted_.reset();
        return std::nullopt;
    }
    const auto from = best_source();
    if (from.empty()) {
        return std::nullopt; // until somebody names it again
    }
    asked_ =
        asked_file{from, files_of_peers_.at(from).theirs, now + answer_within_};
    wanted_->ask_at = asked_->until;
    if (behind_) {
        ++behind_->asked;
    }
    const auto mine = own_revision();
    return addressed_message{
        from, std::make_shared<const exchange_message>(
                  configuration_request{mine.revision, mine.refused})};
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
    auto text = unpack(message.text, text_limit);
    if (!text) {
        asked_.reset();
        return text.error();
    }
    const auto outcome =
        configurations_.offer({message.revision, std::move(text.value())});
    if (outcome == offer_outcome::accepted) {
        received_ = {message.revision, peer};
    }
    return outcome;
}

} // namespace waxwingvale::membership
