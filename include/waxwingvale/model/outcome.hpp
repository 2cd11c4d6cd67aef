#pragma once

namespace waxwingvale {

// What is known about whether a request ran, stated on every answer in the
// header Waxwing-Outcome.
enum class run_outcome {
    ran,     // a backend server answered it
    not_run, // provably never started on any backend server
    unknown  // may have run; nobody can tell any more
};

// The header's value: "ran", "not-run" or "unknown".
const char* to_string(run_outcome outcome);

} // namespace waxwingvale
