#pragma once

#include <map>
#include <string>

#include <waxwingvale/decision/ownership.hpp>
#include <waxwingvale/steer/steering_protocol.hpp>

namespace waxwingvale::steer {

// The product's own way of asking: GET /v1/addresses?service=S[&data_centre=D].
class address_desk : public steering_protocol {
public:
    // Works out the owners of every service once, not with each asking.
    void take(const view_ptr& view) override;
    // The wall clock is for the age of the key prefix.
    io::http_response answer(const io::http_request& request,
                             const asking& when) const override;

private:
    view_ptr view_;
    std::map<std::string, decision::ownership> owners_; // by service
};

} // namespace waxwingvale::steer
