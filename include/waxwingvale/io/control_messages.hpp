#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <waxwingvale/model/backend_belief.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

// What waxwing-entry and waxwing-control of one entry instance say to each
// other over a message_hub link, which the entry's side opens.
namespace waxwingvale::io {

// Control to entry and steer: a whole view (view_codec.hpp).
constexpr const char* view_kind = "view";
// Entry and steer to control, after each view taken: an in_force_report.
constexpr const char* in_force_kind = "in_force";
// Entry to control, first on every link: an entry_life.
constexpr const char* entry_life_kind = "entry_life";
// Entry to control: belief_report, suspect_report, quarantine_report.
constexpr const char* belief_kind = "belief";
constexpr const char* suspect_kind = "suspect";
constexpr const char* quarantine_kind = "quarantine";

using message_bytes = std::vector<std::uint8_t>;

// The incarnation that the entry process bears: at first its start by the wall
// clock in microseconds, later what view.self.id.incarnation named. That is
// the larger one when the instance's name was already heard of with a later
// incarnation; the entry then puts it into new key prefixes, and still answers
// for those it gave out before.
struct entry_life {
    std::uint64_t incarnation = 0;
    // Grows each time that the entry process noticed a late wake-up: it then
    // wants a view made after that, which names the number in view::answers.
    std::uint64_t ask = 0;
};

// A revision taken over. Until it is reported on a link, each view carries the
// configuration's text.
struct in_force_report {
    std::uint64_t revision = 0;
};

// What real traffic or a probe told about backend servers. Only changes need
// be sent; `observer` is filled in by control.
struct belief_report {
    std::vector<backend_belief> beliefs;
};

// A request was in flight when a backend server died under it.
struct suspect_report {
    std::uint64_t fingerprint = 0;
    std::string backend_server;
    std::uint64_t incarnation = 0; // of the backend server
    bool alone = false;            // nothing else was in flight there
};

// A request that is to be refused everywhere.
struct quarantine_report {
    std::uint64_t fingerprint = 0;
};

message_bytes encode(const entry_life& message);
message_bytes encode(const in_force_report& message);
message_bytes encode(const belief_report& message, time_point now);
message_bytes encode(const suspect_report& message);
message_bytes encode(const quarantine_report& message);

// Each fails with malformed.
result<entry_life> decode_entry_life(const message_bytes& bytes);
result<in_force_report> decode_in_force(const message_bytes& bytes);
result<belief_report> decode_beliefs(const message_bytes& bytes,
                                     time_point now);
result<suspect_report> decode_suspect(const message_bytes& bytes);
result<quarantine_report> decode_quarantine(const message_bytes& bytes);

} // namespace waxwingvale::io
