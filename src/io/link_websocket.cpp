#include "io/link_websocket.hpp"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace waxwingvale::io {

namespace {

// The library's core settings without its locks and log: each hub lives on
// one thread, and failures are counted by the hub.
struct websocket_config : websocketpp::config::core_client {
    using type = websocket_config;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type =
        websocketpp::random::random_device::int_generator<std::uint32_t,
                                                          concurrency_type>;

    // A peer that breaks the protocol gets no closing handshake.
    static const bool drop_on_protocol_error = true;

    // The request that opens a link has no body; the library would keep one
    // of many megabytes.
    static const std::size_t max_http_body_size = 0; // bytes

    struct transport_config
        : websocketpp::config::core_client::transport_config {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
    };
    using transport_type =
        websocketpp::transport::iostream::endpoint<transport_config>;
};

using websocket_server = websocketpp::server<websocket_config>;
using websocket_client = websocketpp::client<websocket_config>;
using connection_ptr = websocket_server::connection_ptr;

bool was_too_large(const std::error_code& code) {
    return code == websocketpp::processor::error::make_error_code(
                       websocketpp::processor::error::message_too_big);
}

} // namespace

struct link_websocket_factory::state {
    websocket_server server;
    websocket_client client;
};

struct link_websocket::state {
    connection_ptr connection;
    websocket_client* dialing = nullptr; // null on the listener's side
    link_websocket_handlers handlers;

    void attach();
};

void link_websocket::state::attach() {
    // Header and payload come as two buffers; joined they are one write.
    connection->set_vector_write_handler(
        [this](websocketpp::connection_hdl,
               const std::vector<websocketpp::transport::buffer>& buffers) {
            std::string joined;
            for (const auto& buffer : buffers) {
                joined.append(buffer.buf, buffer.len);
            }
            handlers.on_output(joined.data(), joined.size());
            return std::error_code();
        });
    connection->set_write_handler([this](websocketpp::connection_hdl,
                                         const char* bytes, std::size_t size) {
        handlers.on_output(bytes, size);
        return std::error_code();
    });
    connection->set_open_handler(
        [this](websocketpp::connection_hdl) { handlers.on_open(); });
    connection->set_message_handler(
        [this](websocketpp::connection_hdl,
               websocket_server::message_ptr message) {
            handlers.on_message(message->get_payload());
        });
    const auto failed = [this](websocketpp::connection_hdl) {
        handlers.on_failed(was_too_large(connection->get_ec()));
    };
    connection->set_fail_handler(failed);
    connection->set_close_handler(failed);
}

link_websocket_factory::link_websocket_factory()
    : state_(std::make_unique<state>()) {}

link_websocket_factory::~link_websocket_factory() = default;

std::unique_ptr<link_websocket>
link_websocket_factory::accept(link_websocket_handlers handlers) {
    auto made = std::make_unique<link_websocket::state>();
    made->handlers = std::move(handlers);
    made->connection = state_->server.get_connection();
    return std::make_unique<link_websocket>(std::move(made));
}

std::unique_ptr<link_websocket>
link_websocket_factory::dial(const std::string& address,
                             link_websocket_handlers handlers) {
    auto made = std::make_unique<link_websocket::state>();
    made->handlers = std::move(handlers);
    made->dialing = &state_->client;
    std::error_code code;
    made->connection =
        state_->client.get_connection("ws://" + address + "/waxwingvale", code);
    return std::make_unique<link_websocket>(std::move(made));
}

link_websocket::link_websocket(std::unique_ptr<state> of)
    : state_(std::move(of)) {
    state_->attach();
}

link_websocket::~link_websocket() = default;

void link_websocket::start() {
    if (state_->dialing != nullptr) {
        state_->dialing->connect(state_->connection);
    } else {
        state_->connection->start();
    }
}

void link_websocket::feed(const char* bytes, std::size_t size) {
    state_->connection->read_all(bytes, size);
}

void link_websocket::send(const std::vector<std::uint8_t>& message) {
    state_->connection->send(message.data(), message.size(),
                             websocketpp::frame::opcode::binary);
}

void link_websocket::ping() {
    std::error_code code;
    state_->connection->ping("", code);
}

void link_websocket::limit_messages(std::size_t bytes) {
    state_->connection->set_max_message_size(bytes);
}

void link_websocket::finish() {
    // The library holds the connection from within its pending read; ending
    // that read is what frees it.
    state_->handlers.on_output = [](const char*, std::size_t) {};
    state_->handlers.on_failed = [](bool) {};
    state_->connection->eof();
}

} // namespace waxwingvale::io
