#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/membership/platform_list.hpp>
#include <waxwingvale/membership/read_budget.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::io {

// One answer of the platform about one value.
struct platform_reading {
    std::string value_name;
    std::uint64_t revision = 0;
    bool changed = false; // body holds the value; else it is as it was
    std::string body;
    std::uint64_t epoch = 0; // in which it was asked for, see set_epoch()
};

struct platform_counters {
    std::uint64_t reads = 0; // a waiting watch counts as one
    std::uint64_t values = 0;
    std::uint64_t unchanged = 0;
    std::uint64_t unpublished = 0;
    std::uint64_t failed = 0;
    std::uint64_t malformed = 0;
};

// Where the platform's values are read, and how.
struct platform_client_options {
    std::string host; // IP number
    std::uint16_t port = 0;
    duration watch = std::chrono::seconds(10); // longest wait for a change
    duration answer_within = std::chrono::seconds(3);
    std::uint64_t seed = 0; // of the backoff's jitter
};

// Reads and watches values of the platform by long polls, one for each value.
// Reads are bounded by a budget whatever the platform answers; it is only
// ever read.
class platform_client {
public:
    using reading_handler = std::function<void(const platform_reading&)>;
    using state_handler = std::function<void(bool answers, const error& why)>;

    platform_client(http_client& client, kernel::timer_service& timers,
                    platform_client_options options);

    // Reads the value and goes on watching it.
    void watch(const std::string& value_name, reading_handler on_reading);
    // Told when the platform begins or ceases to answer.
    void on_state(state_handler handler) { on_state_ = std::move(handler); }

    void set_share(membership::read_share share);
    // Marks what is asked for from here on.
    void set_epoch(std::uint64_t epoch) { epoch_ = epoch; }
    // Ends the watches and asks anew at once, without waiting for a change:
    // answers to what was asked before a late wake-up prove nothing.
    void read_again();
    // Reads no more.
    void stop();

    bool answers() const { return answers_; }
    // When it answered last, if ever.
    std::optional<time_point> last_answer() const { return last_answer_; }
    const platform_counters& counters() const { return counters_; }

private:
    struct watched_value {
        reading_handler on_reading;
        std::uint64_t revision = 0; // last read
        bool wait_for_change = false;
        http_client::call_id call = 0;
        kernel::timer_service::subscription next;
    };

    void read_when_allowed(const std::string& name, duration at_least);
    void read(const std::string& name);
    void finish(const std::string& name, std::uint64_t asked_in,
                http_call_result got);
    void take_answer(const std::string& name, std::uint64_t asked_in,
                     const http_response& response);
    void fail(const std::string& name, const error& why);
    void set_answers(bool answers, const error& why);

    http_client& client_;
    kernel::timer_service& timers_;
    platform_client_options options_;
    membership::read_budget budget_;
    std::map<std::string, watched_value> values_;
    state_handler on_state_;
    std::uint64_t epoch_ = 0;
    bool answers_ = false;
    std::optional<time_point> last_answer_;
    bool stopped_ = false;
    platform_counters counters_;
};

// Reads the platform's list of instances. Fails with malformed naming the
// place; the list is then not used at all.
result<membership::platform_list>
parse_platform_list(const platform_reading& reading);

} // namespace waxwingvale::io
