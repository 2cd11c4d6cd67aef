#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace waxwingvale::standin {

// What was sent to instances, and answered.
struct sent_attempts {
    std::size_t sent = 0;
    std::size_t answered = 0;
};

// What stand-in backend servers wrote into their history file; it also holds
// what those ran that have been killed. Or what callers wrote into theirs.
class run_history {
public:
    explicit run_history(const std::string& file);

    // Runs that began for that key.
    std::size_t runs_of(const std::string& key) const;
    // The most runs that any one key has.
    std::size_t most_runs_of_a_key() const;
    std::size_t different_keys() const;
    // Runs that began on that backend server, later than the given moment of
    // the machine's monotonic clock.
    std::size_t runs_on(const std::string& backend_server,
                        long long later_than_us = 0) const;
    // When the event ("leaving", "stopped") was written, or -1.
    long long moment_of(const std::string& event,
                        const std::string& backend_server) const;
    // Runs that ended so: "answered", "cancelled", "expired".
    std::size_t ended(const std::string& how) const;
    // Of callers: each attempt of each call.
    sent_attempts attempts() const;

private:
    std::vector<nlohmann::json> events_;
};

} // namespace waxwingvale::standin
