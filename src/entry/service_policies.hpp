#pragma once

#include <cstddef>
#include <map>
#include <string>

#include <waxwingvale/decision/hedge_policy.hpp>
#include <waxwingvale/decision/retry_policy.hpp>
#include <waxwingvale/model/configuration.hpp>

namespace waxwingvale::entry {

// The policies for extra attempts of one service: retries by service, hedges
// by class, both within the budgets of the configuration file.
class service_policies {
public:
    service_policies();

    // What the configuration says of the service; of classes and routes that it
    // no longer names only so many are kept.
    void follow(const service& of, const route_table* routes);
    std::size_t classes_known() const { return hedges_.size(); }
    decision::retry_policy& retries() { return retries_; }
    decision::hedge_policy& hedges(const std::string& request_class);

private:
    void forget_all_but(const service& of, const route_table* routes);

    double hedge_fraction_ = 0;
    decision::retry_policy retries_;
    std::map<std::string, decision::hedge_policy> hedges_;
};

} // namespace waxwingvale::entry
