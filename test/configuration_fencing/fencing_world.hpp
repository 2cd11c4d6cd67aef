#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/membership/configuration_register.hpp>

namespace waxwingvale {

// The steps of a schedule, in the order in which a file passes through them.
enum class fencing_step {
    publish_valid,
    publish_invalid,
    read_platform,   // reads the newest file, or an older one if it lags
    send_to_peer,    // sends its file in force and its refused file to a peer
    deliver,         // delivers any message in flight, not only the oldest
    deliver_doubled, // delivers a message and keeps it in flight
    lose,
    restart // the instance loses its state
};
constexpr unsigned fencing_step_count = 8;

struct fencing_event {
    fencing_step step;
    unsigned instance;
    unsigned choice; // selects the message, the peer or the age of a file read
};

// Entry instances, the discovery platform, and messages that stay in flight
// until the schedule delivers or loses them. A paused instance is modelled by
// messages that stay in flight.
class fencing_world {
public:
    fencing_world(
        unsigned instances,
        std::shared_ptr<const membership::configuration_precedence> rule);

    void run(const fencing_event& event);
    // Delivers all messages in flight, and every instance's files to all
    // others, as happens after all faults have ended.
    void settle();
    // The last violation found, if any.
    const std::optional<std::string>& violation() const { return violation_; }
    bool agreed() const;

private:
    struct instance {
        std::unique_ptr<membership::configuration_register> configurations;
        std::uint64_t highest = 0; // revision in force since the last restart
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
    std::vector<message> in_flight_;
    std::optional<std::string> violation_;
};

} // namespace waxwingvale
