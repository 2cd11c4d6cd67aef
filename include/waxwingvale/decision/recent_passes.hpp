#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/model/time.hpp>

namespace waxwingvale::decision {

// Remembers which requests ran to their end lately. A request that crashes
// every backend server that runs it never does, so what passed a moment ago
// is no suspect when a backend server dies. Without this the death of one
// server would put the most popular read under suspicion, and every caller of
// it would be refused until a trial had passed.
//
// A fixed table where a later request may take an earlier one's place:
// forgetting only makes a suspect of an innocent, never the other way round.
class recent_passes {
public:
    explicit recent_passes(duration counts_for) : counts_for_(counts_for) {}

    void note(request_fingerprint passed, time_point now);
    bool passed_lately(request_fingerprint asked, time_point now) const;

private:
    struct pass {
        request_fingerprint fingerprint;
        time_point at{};
        bool used = false;
    };

    static constexpr std::size_t places = 4096;

    static std::size_t place_of(request_fingerprint of) {
        return static_cast<std::size_t>(of.value % places);
    }

    duration counts_for_;
    std::array<pass, places> passes_{};
};

} // namespace waxwingvale::decision
