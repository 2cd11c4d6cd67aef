#pragma once

#include <waxwingvale/entry/backend_answer.hpp>
#include <waxwingvale/entry/caller_answer.hpp>
#include <waxwingvale/forwarding/backend_call.hpp>

namespace waxwingvale::entry {

// What a call that brought no whole answer proves, the same in every protocol.
backend_answer lost_attempt(const forwarding::backend_result& ended);

// What the caller is told of an attempt that brought no answer.
own_answer lost_answer(const backend_answer& answer);

} // namespace waxwingvale::entry
