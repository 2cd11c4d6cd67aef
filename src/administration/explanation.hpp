#pragma once

#include <string>

#include "administration/admin_documents.hpp"
#include <waxwingvale/administration/control_snapshot.hpp>

namespace waxwingvale::administration {

// A request whose way is to be explained.
struct explained_request {
    std::string service;
    std::string method;
    std::string path; // below the service
    std::string tenant;
};

// How such a request would be decided on now, step by step: whether it is
// taken, by which class, what that means for retries, who owns the slots, and
// which backend servers are passed over and why.
admin_document explanation_document(const control_snapshot& of,
                                    const explained_request& request);

} // namespace waxwingvale::administration
