#include <waxwingvale/decision/departed_caller.hpp>

namespace waxwingvale::decision {

bool must_end(const departed_call& call) {
    if (call.answer_begun) {
        return false; // the rest of it can reach nobody
    }
    if (call.others_wait) {
        return true;
    }
    return call.nature == request_nature::at_most_once && call.sent &&
           call.body_complete;
}

} // namespace waxwingvale::decision
