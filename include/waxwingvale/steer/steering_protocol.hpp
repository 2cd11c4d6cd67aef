#pragma once

#include <cstdint>
#include <optional>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/program/settings.hpp>
#include <waxwingvale/program/view_published.hpp>

namespace waxwingvale::steer {

// When and as which asking a caller's question came.
struct asking {
    // Counts askings; varies how long the answers are to be kept, so that
    // callers who once asked together do not return together.
    std::uint64_t number = 0;
    std::uint64_t wall_us = 0; // the wall clock in microseconds
    // Set while this instance has just started and may know few of the others:
    // what it names is not to be kept for longer.
    std::optional<duration> keep_at_most = std::nullopt;
};

// How callers ask which addresses to use, and how they are told.
class steering_protocol {
public:
    virtual ~steering_protocol() = default;
    // A newer view; later answers are made from it.
    virtual void take(const program::view_published& published) = 0;
    // Settings that may change while the process runs.
    virtual void reload(const program::settings& changed) {
        static_cast<void>(changed);
    }
    virtual io::http_response answer(const io::http_request& request,
                                     const asking& when) const = 0;
};

} // namespace waxwingvale::steer
