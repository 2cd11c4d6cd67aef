#pragma once

#include <string>

#include <waxwingvale/steer/steering_protocol.hpp>

namespace waxwingvale::steer {

// The product's own way of asking: GET /v1/addresses?service=S[&data_centre=D].
class address_desk : public steering_protocol {
public:
    void take(const program::view_published& published) override;
    // The wall clock is for the age of the key prefix.
    io::http_response answer(const io::http_request& request,
                             const asking& when) const override;

private:
    program::view_published known_;
};

} // namespace waxwingvale::steer
