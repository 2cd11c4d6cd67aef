#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/model/view.hpp>

namespace waxwingvale::steer {

// Answers "which of your addresses for this service?" from the last view.
class address_desk {
public:
    // Works out the owners of every service once, not with each asking.
    void take(const view_ptr& view);

    // GET /v1/addresses?service=S[&data_centre=D]. `asked` counts askings and
    // varies how long the answer is to be kept; `wall_us` is the wall clock in
    // microseconds, for the age of the key prefix.
    io::http_response answer(const io::http_request& request,
                             std::uint64_t asked, std::uint64_t wall_us) const;

private:
    view_ptr view_;
    std::map<std::string, decision::ownership> owners_; // by service
};

} // namespace waxwingvale::steer
