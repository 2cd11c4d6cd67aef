#pragma once

#include <string>
#include <vector>

#include <waxwingvale/model/error.hpp>

#include "waxwingctl/command.hpp"
#include "waxwingctl/printed_json.hpp"

namespace waxwingvale::ctl {

// One question to the administration API.
struct admin_request {
    std::string method = "GET";
    std::string target;
    std::string body;
};

// What one entry instance said, or why it did not.
struct admin_answer {
    admin_address from;
    result<printed_json> document;
};

// Asks all of them at once and waits for every answer, each for a few seconds
// at most. Answers come in the order of the addresses.
std::vector<admin_answer> ask_admins(const std::vector<admin_address>& admins,
                                     const std::string& token,
                                     const admin_request& request);

// A text as part of a URL's query.
std::string url_escaped(const std::string& text);

} // namespace waxwingvale::ctl
