#include <waxwingvale/model/outcome.hpp>

namespace waxwingvale {

const char* to_string(run_outcome outcome) {
    switch (outcome) {
    case run_outcome::ran:
        return "ran";
    case run_outcome::not_run:
        return "not-run";
    case run_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace waxwingvale
