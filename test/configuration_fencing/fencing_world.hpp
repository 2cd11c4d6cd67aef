#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/membership/configuration_register.hpp>

namespace waxwingvale {

// What can happen to a file on its way, in the order in which it does.
enum class fencing_step {
    publish_valid,
    publish_invalid,
    read_platform,   // reads the newest, or an old one when it lags
    send_to_peer,    // says what it has in force
    deliver,         // any message under way, not only the oldest
    deliver_doubled, // and leaves it there
    lose,
    restart // forgets all
};
constexpr unsigned fencing_step_count = 8;

struct fencing_event {
    fencing_step step;
    unsigned instance;
    unsigned choice; // which message, peer or age
};

// Entry instances, the platform, and messages that are under way as long as
// the schedule likes: a paused instance is one whose messages stay there.
class fencing_world {
public:
    fencing_world(
        unsigned instances,
        std::shared_ptr<const membership::configuration_precedence> rule);

    void run(const fencing_event& event);
    // Everything is delivered everywhere, as after all faults have ended.
    void settle();
    // The first rule that was broken, if any.
    const std::optional<std::string>& violation() const { return violation_; }
    bool agreed() const;

private:
    struct instance {
        std::unique_ptr<membership::configuration_register> holds;
        std::uint64_t highest = 0; // in force in this life
    };
    struct message {
        unsigned to;
        configuration_text file;
    };

    void restart(unsigned number);
    void publish(bool valid);
    void offer(unsigned number, const configuration_text& file);
    void read_platform(unsigned number, unsigned age);
    void send(unsigned from, unsigned to);
    void check(unsigned number);

    std::shared_ptr<const membership::configuration_precedence> rule_;
    std::vector<instance> instances_;
    std::vector<configuration_text> published_;
    std::vector<message> under_way_;
    std::optional<std::string> violation_;
};

} // namespace waxwingvale
