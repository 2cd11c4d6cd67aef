#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/membership/configuration_register.hpp>
#include <waxwingvale/membership/exchange_message.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::membership {

// A configuration that peers have in force and this instance has not.
struct awaited_configuration {
    std::uint64_t revision = 0; // the newest that was named
    std::string named_by;
    duration waited{};  // since word of any that is newer than ours
    unsigned asked = 0; // how often a peer was asked for a file since then
};

// Which peer is asked for a newer configuration, and when. Every peer names
// its revision, so that each of dozens could be asked for a file; one is at a
// time, and the next when that one has sent, or not within its time. Pure.
class configuration_exchange {
public:
    // A peer that was asked and has not sent within `answer_within` is passed
    // by for the next that names the file.
    configuration_exchange(configuration_register& configurations,
                           duration answer_within);

    // A peer has these; whoever lacks the file asks for it after `wait`, in
    // which it often comes by itself.
    void hear(const std::string& peer, const revision_message& theirs,
              duration wait, time_point now);
    void lost(const std::string& peer);
    // Whether the newest file that a peer named was taken, or refused, here.
    bool has_named() const;
    // The newest revision that a peer had in force, or 0.
    std::uint64_t named() const { return named_; }
    // Nothing while no peer is known to have a newer file in force.
    std::optional<awaited_configuration> awaited(time_point now) const;
    // The peer whose file has that revision, or an empty name.
    std::string sender_of(std::uint64_t revision) const;
    // What to ask, and whom, if it is time.
    std::optional<addressed_message> due_request(time_point now);

    // The files that a peer lacks.
    std::vector<configuration_message>
    answer(const configuration_request& request);
    // Error: bytes that do not unpack; the file is asked for again.
    result<offer_outcome> take(const std::string& peer,
                               const configuration_message& message);

    revision_message own_revision() const;

private:
    // What a peer has, and we lacked when it said so.
    struct peer_word {
        revision_message theirs;
        time_point ask_again_at{};
        unsigned unanswered = 0; // times that it was asked and has not sent
    };
    using words = std::map<std::string, peer_word>;

    struct asked_file {
        std::string from;
        time_point until{};
    };

    // Since when this instance knows that the file in force is old.
    struct time_behind {
        std::uint64_t in_force = 0;
        time_point since{};
        unsigned asked = 0;
    };
    struct received_file {
        std::uint64_t revision = 0;
        std::string from;
    };

    void note_named(const std::string& peer, std::uint64_t revision,
                    time_point now);
    bool lacks(const revision_message& theirs) const;
    bool is_awaited(time_point now) const;
    bool lacks_any() const;
    words::iterator best_to_ask(time_point now);
    void forget_asked(const std::string& peer);
    void note_sent(const std::string& peer, std::uint64_t revision);
    void turn_down(std::uint64_t revision);
    configuration_message message_of(const configuration_text& file);

    configuration_register& configurations_;
    duration answer_within_;
    words words_;                  // of peers with a link
    revision_message newest_word_; // of any, also of those that were lost
    time_point ask_at_{}; // by the first word of a file that is lacking
    std::optional<asked_file> asked_;
    // Files that came and were not taken: they are not asked for again.
    std::set<std::uint64_t> turned_down_;
    std::uint64_t named_ = 0; // the newest revision that a peer had in force
    std::string named_by_;
    std::optional<time_behind> behind_;
    received_file received_; // the newest of a peer
    // The last file that was sent: the next peer probably asks for it too, and
    // packing 294 kB takes 3.7 ms of a core.
    configuration_message packed_;
};

} // namespace waxwingvale::membership
