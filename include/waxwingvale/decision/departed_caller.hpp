#pragma once

#include <waxwingvale/model/request_class.hpp>

namespace waxwingvale::decision {

// A call whose caller has left before its answer was complete.
struct departed_call {
    request_nature nature = request_nature::at_most_once;
    bool sent = false;         // a byte of it has left to a backend server
    bool body_complete = true; // all of its body has come from the caller
    bool answer_begun = false; // a part of the answer went to the caller
    bool others_wait = false;  // other copies of it wait for its outcome
};

// Whether what was begun for it is left to end. A booking that a backend server
// has whole is not broken off half done; all else is in vain.
bool must_end(const departed_call& call);

} // namespace waxwingvale::decision
