#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Peers that ought to hand out slots, are linked with us, and don't: they leave
// asks without an answer or say that they are no owner. They count as out of
// reach and are asked for a word now and then, because nothing else may bring
// them back: an ask that came before the peer had its configuration is never
// answered, and a peer that becomes an owner does not know whom it told that it
// was none. Until then this instance would use a share of slots that the owner
// gives to others as well.
class silent_owners {
public:
    // How often each is asked for a word.
    explicit silent_owners(duration look_period) : period_(look_period) {}

    // Left an ask without an answer. Both are true when the peer was not among
    // them.
    bool add_silent(const std::string& peer, time_point now);
    // Said that it is no owner.
    bool add_denying(const std::string& peer, time_point now);
    // Anything was heard of the peer, which ends its silence but makes it no
    // owner. This and remove() are true when the peer was among them and is no
    // longer.
    bool heard(const std::string& peer);
    // It has acted as an owner, or its link has closed.
    bool remove(const std::string& peer);

    // Something may be different now for each of them. Said again within the
    // time between two looks it counts for nothing: the next one will see.
    void look_at_once(time_point now);
    // Those to be asked for a word now.
    std::vector<std::string> take_due(time_point now);
    std::optional<time_point> next_look() const;
    std::vector<std::string> names() const;

private:
    struct silence {
        bool denies = false;
        time_point next_look{};
    };

    duration period_;
    time_point next_at_once_{};
    std::map<std::string, silence> peers_;
};

} // namespace waxwingvale::decision
