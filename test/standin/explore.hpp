#pragma once

#include <cstdlib>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

namespace standin {

// One choice of a schedule. A model maps it to one of the events that are
// possible at that point, so that every schedule makes sense, shrunk ones too.
struct step {
    unsigned kind = 0;
    unsigned a = 0;
    unsigned b = 0;
    unsigned c = 0;
};

using schedule = std::vector<step>;

inline std::ostream& operator<<(std::ostream& out, const step& of) {
    return out << '{' << of.kind << ' ' << of.a << ' ' << of.b << ' ' << of.c
               << '}';
}

// Runs a model through a schedule; tells what was violated, or nothing.
using schedule_run = std::function<std::string(const schedule&)>;

} // namespace standin

template <>
struct rc::Arbitrary<standin::step> {
    static Gen<standin::step> arbitrary() {
        const auto any = gen::inRange(0U, 1000U);
        return gen::apply(
            [](unsigned kind, unsigned a, unsigned b, unsigned c) {
                return standin::step{kind, a, b, c};
            },
            any, any, any, any);
    }
};

namespace standin {

// rapidcheck reads its parameters once, from the environment. The seed is
// fixed before any test runs, so that every run gives the same verdict; set
// RC_PARAMS ("seed=5 max_success=100000 max_size=200") to explore others.
inline const bool seed_is_fixed =
    setenv("RC_PARAMS", "seed=20261202 max_success=4000 max_size=200", 0) == 0;

// Explores random schedules and shrinks one that violates something.
inline bool explore(const std::string& what, const schedule_run& run) {
    std::size_t explored = 0;
    const auto one = [&](const schedule& steps) {
        ++explored;
        const auto violated = run(steps);
        if (!violated.empty()) {
            RC_FAIL(violated);
        }
    };
    const bool held = rc::check(what, one);
    std::cout << what << ": explored " << explored << " schedules\n";
    return held;
}

// The number of schedules until a broken variant is caught at breaking that
// promise, or nothing when none of many schedules shows it.
inline std::optional<std::size_t> caught_after(const std::string& variant,
                                               const schedule_run& run,
                                               const std::string& promise) {
    constexpr std::size_t most = 20000;
    constexpr int longest = 200;
    const auto schedules = rc::gen::arbitrary<schedule>();
    rc::Random random(20261202);
    for (std::size_t tried = 1; tried <= most; ++tried) {
        if (run(schedules(random.split(), longest).value()) == promise) {
            std::cout << variant << ": caught by schedule " << tried << " ("
                      << promise << ")\n";
            return tried;
        }
    }
    return std::nullopt;
}

} // namespace standin
