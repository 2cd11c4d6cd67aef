#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::io {

// The era of the platform rises each time that it comes back from a copy some
// seconds old: what was changed since is lost, and revisions are given out
// again. It is 0 where the platform tells none.

// One thing that the platform has published.
struct published_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; // of its last change
    // Why the value could not be read, when it could not; empty otherwise.
    std::string problem;
    std::uint64_t era = 0; // of the answer that brought it
};

// A change of one of them: what it is now, or that it is gone.
struct published_change {
    published_item item;
    bool removed = false;
};

// What else an answer has, read one by one: all of a long answer at once would
// hold the loop.
class unread_changes {
public:
    virtual ~unread_changes() = default;
    virtual bool empty() const = 0;
    // The next of them, which is no removal in a list. Fails with malformed.
    virtual result<published_change> next() = 0;
};

// One page of all that is published on a topic.
struct published_page {
    std::vector<published_item> items;
    bool more = false; // the next page begins after the last key of this one
    std::uint64_t revision = 0; // of the platform, when it answered
    std::uint64_t era = 0;
    std::shared_ptr<unread_changes> rest{}; // behind the items; null: none
};

// What changed on a topic after the revision that was asked for.
struct published_changes {
    std::vector<published_change> changes;
    std::uint64_t revision = 0; // to go on from
    std::uint64_t era = 0;
    std::shared_ptr<unread_changes> rest{}; // behind the changes; null: none
};

// How the platform is asked and how its answers are read. Both readers fail
// with not_found when nothing is published, with stale when the changes asked
// for are no longer known and everything has to be read anew, with unavailable
// when the platform declines, and with malformed otherwise.
class platform_dialect {
public:
    virtual ~platform_dialect() = default;
    // The path and query of a read; `after` is the last key of the page
    // before, or empty.
    virtual std::string list_target(const std::string& topic,
                                    const std::string& after) const = 0;
    virtual std::string watch_target(const std::string& topic,
                                     std::uint64_t revision,
                                     duration wait) const = 0;
    virtual result<published_page>
    read_list(const std::string& topic, const http_response& answer) const = 0;
    virtual result<published_changes>
    read_watch(const std::string& topic, std::uint64_t revision,
               const http_response& answer) const = 0;
};

// The product's own dialect: a topic is one value under /v1/values/, whose
// revision is a header.
class value_dialect : public platform_dialect {
public:
    std::string list_target(const std::string& topic,
                            const std::string& after) const override;
    std::string watch_target(const std::string& topic, std::uint64_t revision,
                             duration wait) const override;
    result<published_page>
    read_list(const std::string& topic,
              const http_response& answer) const override;
    result<published_changes>
    read_watch(const std::string& topic, std::uint64_t revision,
               const http_response& answer) const override;
};

} // namespace waxwingvale::io
