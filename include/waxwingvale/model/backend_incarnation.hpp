#pragma once

#include <cstdint>

namespace waxwingvale {

// Which start of a backend server is meant: a number that rises with each start
// under the same name, 0 when it is not known.
using backend_incarnation = std::uint64_t;

// Whether a word is about a start that another one, known of, has followed.
// What such a word says, that the server died, leaves, is slow or answered,
// must not count for the process that runs now. What does not tell its start
// counts.
constexpr bool is_of_former(backend_incarnation word,
                            backend_incarnation known) {
    return word != 0 && word < known;
}

} // namespace waxwingvale
