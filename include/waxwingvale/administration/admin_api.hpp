#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <waxwingvale/io/http_message.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/event_loop.hpp>
#include <waxwingvale/program/metrics.hpp>
#include <waxwingvale/program/settings.hpp>

#include <waxwingvale/administration/control_snapshot.hpp>

namespace waxwingvale::administration {

// The administration API: shows what this entry instance knows and checks
// files. It changes nothing; operators drive the system by files only.
class admin_api {
public:
    using snapshot_source = std::function<control_snapshot()>;

    // `of` outlives the API.
    admin_api(std::string token, const program::metrics& of,
              snapshot_source source);

    // /healthz and /metrics are open; all under /v1/ needs the bearer token.
    io::http_response answer(const io::http_request& request) const;

private:
    bool authorised(const io::http_request& request) const;
    io::http_response answer_document(const io::http_request& request) const;

    std::string token_;
    const program::metrics& metrics_;
    snapshot_source source_;
};

// Serves the API on the address that the settings name.
class admin_server {
public:
    admin_server(kernel::event_loop& loop,
                 const program::control_settings& settings,
                 const program::metrics& of, admin_api::snapshot_source source);

    // Fails with unavailable when the address cannot be listened on.
    result<void> start();
    std::uint16_t port() const { return server_.port(); }

private:
    admin_api api_;
    io::http_server server_;
};

} // namespace waxwingvale::administration
