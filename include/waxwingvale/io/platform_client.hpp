#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/platform_dialect.hpp>
#include <waxwingvale/kernel/timer_service.hpp>
#include <waxwingvale/membership/platform_list.hpp>
#include <waxwingvale/membership/read_budget.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::io {

class reading_portions;

// What was read of one topic, or a portion of it: what is long comes in
// several.
struct platform_reading {
    std::string topic;
    // Of all that is published on it, so that what is not among the items from
    // the first portion to the last is gone; else only what changed.
    bool whole = false;
    bool begins = true; // the first portion
    // The last portion: all is known. Changes that come amid a list end
    // nothing.
    bool ends = true;
    std::vector<published_item> items;
    std::vector<published_change> changes;
    std::uint64_t revision = 0; // of the platform, or of the value
    std::uint64_t era = 0;      // of the platform, see published_item
    std::uint64_t epoch = 0;    // in which it was asked for, see set_epoch()
};

struct platform_counters {
    std::uint64_t reads = 0; // a waiting watch counts as one
    std::uint64_t values = 0;
    std::uint64_t unchanged = 0;
    std::uint64_t unpublished = 0;
    std::uint64_t relists = 0; // the changes asked for were forgotten or lost
    std::uint64_t failed = 0;
    std::uint64_t malformed = 0;
};

// Where the platform is read, and how.
struct platform_client_options {
    std::string host; // IP number
    std::uint16_t port = 0;
    duration watch = std::chrono::seconds(10); // longest wait for a change
    // Longest time without a byte of an answer. One that goes on coming has
    // several times as long.
    duration answer_within = std::chrono::seconds(3);
    std::uint64_t seed = 0; // of the backoff's jitter
};

// Reads and watches topics of the platform by long polls, one for each topic.
// Reads are bounded by a budget whatever the platform answers; it is only
// ever read.
class platform_client {
public:
    using reading_handler = std::function<void(const platform_reading&)>;
    using state_handler = std::function<void(bool answers, const error& why)>;

    platform_client(http_client& client, kernel::timer_service& timers,
                    const platform_dialect& dialect,
                    platform_client_options options);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    // Reads the topic and goes on watching it.
    void watch(const std::string& topic, reading_handler on_reading);
    // Told when the platform begins or ceases to answer.
    void on_state(state_handler handler) { on_state_ = std::move(handler); }

    void set_share(membership::read_share share);
    // Marks what is asked for from here on.
    void set_epoch(std::uint64_t epoch) { epoch_ = epoch; }
    // Ends the watches and asks at once, without waiting for a change, what has
    // changed since: answers to what was asked before a late wake-up prove
    // nothing. A watch that is over by now is read before, as its answer has
    // come: given up, it would cost its connection. A list that is half read is
    // read to its end first, and bears its own epoch: given up at every
    // wake-up, it might never end.
    void read_again();
    // Asks no more until resume(), which asks what has changed since. What was
    // asked is paid for, so its answer still counts.
    void pause();
    void resume();
    bool paused() const { return paused_; }

    // Reads and gives on no more of the topic until go_on(): what was given
    // takes longer. For its reading_handler, while that is called.
    void hold(const std::string& topic);
    void go_on(const std::string& topic);

    bool answers() const { return answers_; }
    // When it answered last, if ever.
    std::optional<time_point> last_answer() const { return last_answer_; }
    const platform_counters& counters() const { return counters_; }

private:
    // A list that takes longer is interrupted to ask what has changed
    // meanwhile.
    static constexpr duration longest_without_changes =
        std::chrono::milliseconds(200);

    // An answer whose items are being given on.
    struct delivery {
        platform_reading reading; // what every portion tells
        bool more = false;        // pages of the list follow
        std::unique_ptr<reading_portions> portions;
        kernel::timer_service::subscription next;
    };

    struct watched_topic {
        reading_handler on_reading;
        std::uint64_t revision = 0; // to watch from
        std::uint64_t era = 0;      // of the platform, when it was listed
        bool listed = false;     // changes are watched; else it is read whole
        bool again = false;      // once the list is read it is read anew
        bool catches_up = false; // the next watch is to be answered at once
        time_point watch_ends{}; // of the watch under way
        bool in_list = false;    // a part of the list has been given on
        std::string last_key;    // of the pages that were
        std::uint64_t list_revision = 0; // of the platform at the first page
        bool asked_changes = false;      // by the call under way
        bool long_answer = false;        // the last one
        time_point changes_known{};      // up to when; while a list is read
        // Then the list is interrupted to ask for them.
        duration without_changes = longest_without_changes;
        // Those until the next page are not to be had.
        bool changes_lost = false;
        std::uint64_t epoch = 0; // in which the first page was asked for
        std::optional<delivery> delivering;
        http_client::call_id call = 0; // under way, or 0
        std::uint64_t received = 0;    // of its answer, when last looked at
        kernel::timer_service::subscription silence;
        kernel::timer_service::subscription next;
        bool waits = false; // for another topic's read to succeed
        bool held = false;  // see hold()
    };

    void start_reading();
    void give_up_watch(watched_topic& topic);
    // Its list goes on from where it is.
    static bool half_read(const watched_topic& topic);
    void read_when_allowed(const std::string& name, duration at_least);
    void read(const std::string& name);
    // Gives the call up if nothing more of its answer has come.
    void look_for_silence(const std::string& name, duration after);
    void finish(const std::string& name, std::uint64_t asked_in,
                http_call_result got);
    // The changes are not to be had, as they are forgotten or too many for one
    // answer.
    void lose_changes(const std::string& name);
    void read_anew(const std::string& name);
    void take_page(const std::string& name, std::uint64_t asked_in,
                   const http_response& response);
    void take_changes(const std::string& name, std::uint64_t asked_in,
                      const http_response& response);
    // Gives on the next portion, and the others on later turns of the loop. The
    // topic is asked for again once all have been.
    void deliver(const std::string& name);
    void deliver_later(const std::string& name);
    void end_delivery(const std::string& name);
    // Pages of its list have been read, and others follow.
    static bool has_pages_before(const watched_topic& topic);
    // What is half read is read anew.
    static void give_up_list(watched_topic& topic);
    // Whether an answer is of the era that the topic is read in. If not, the
    // topic is read anew.
    bool follow_era(const std::string& name, std::uint64_t era);
    void succeed(const std::string& name);
    void fail(const std::string& name, const error& why);
    // It may be only that topic which is not to be had.
    void hand_on_probing();
    void set_answers(bool answers, const error& why);

    http_client& client_;
    kernel::timer_service& timers_;
    const platform_dialect& dialect_;
    platform_client_options options_;
    membership::read_budget budget_;
    std::map<std::string, watched_topic> topics_;
    // The one topic that is read while it is not known whether the platform
    // answers. The others wait for it: a platform that is down would else be
    // asked, and every question paid for, once for each of them.
    std::optional<std::string> probing_;
    unsigned probes_failed_ = 0; // in a row, of that topic
    state_handler on_state_;
    std::uint64_t epoch_ = 0;
    std::uint64_t era_ = 0; // of the platform, the newest of any answer
    bool answers_ = false;
    bool told_state_ = false;
    std::optional<time_point> last_answer_;
    bool paused_ = false;
    platform_counters counters_;
};

// Reads the platform's list of instances. Fails with malformed naming the
// place; the list is then not used at all.
result<membership::platform_list>
parse_platform_list(const published_item& published);

} // namespace waxwingvale::io
