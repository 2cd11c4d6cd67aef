#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>
#include <waxwingvale/io/http_message.hpp>

#include "standin/backend/backend_options.hpp"
#include "standin/history_file.hpp"

namespace waxwingvale::standin {

// Remembers what a backend server ran: counts by key, and the history.
class run_log {
public:
    run_log(const backend_options& options, history_file& history);
    void begin(const io::http_request& request);
    // How it ended: "answered", "cancelled" or "expired".
    void end(const io::http_request& request, const std::string& how);
    void change(const std::string& event);
    void refused(const std::string& why) { ++refusals_[why]; }
    nlohmann::json counts() const;

private:
    nlohmann::json describe(const std::string& event) const;

    std::string server_;
    std::uint64_t incarnation_;
    history_file& history_;
    std::uint64_t begun_ = 0;
    std::map<std::string, std::uint64_t> ended_;
    std::map<std::string, std::uint64_t> refusals_;
    std::map<std::string, std::uint64_t> by_key_;
};

// The header's value, or empty.
std::string header_or_empty(const io::http_request& request,
                            const std::string& name);

} // namespace waxwingvale::standin
