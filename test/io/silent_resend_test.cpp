#include <arpa/inet.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>
#include <waxwingvale/io/http_client.hpp>

using namespace waxwingvale;

namespace {

// A server that answers the first request of each connection, and on the
// second one runs it but closes the connection in place of an answer.
class closing_server {
public:
    closing_server() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address),
                     sizeof address) == 0);
        REQUIRE(listen(listener_, 8) == 0);
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    ~closing_server() {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;

    std::uint16_t port() const { return port_; }
    int runs() const { return runs_; }

private:
    static bool read_request(int connection) {
        std::string seen;
        char buffer[1024];
        while (seen.find("\r\n\r\n") == std::string::npos) {
            const auto got = read(connection, buffer, sizeof buffer);
            if (got <= 0) {
                return false;
            }
            seen.append(buffer, static_cast<std::size_t>(got));
        }
        return true;
    }

    void serve() {
        std::vector<std::thread> connections;
        for (;;) {
            const int connection = accept(listener_, nullptr, nullptr);
            if (connection < 0) {
                break;
            }
            connections.emplace_back([this, connection] {
                serve_connection(connection);
                close(connection);
            });
        }
        for (auto& connection : connections) {
            connection.join();
        }
    }

    void serve_connection(int connection) {
        if (!read_request(connection)) {
            return;
        }
        ++runs_;
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        static_cast<void>(write(connection, answer.data(), answer.size()));
        if (read_request(connection)) {
            ++runs_;
        }
    }

    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> runs_{0};
    std::thread thread_;
};

int runs_of_two_calls(bool fresh_connection) {
    closing_server server;
    kernel::event_loop loop;
    int runs = 0;
    {
        io::http_client client(loop, {});
        for (int call_number = 0; call_number < 2; ++call_number) {
            io::http_call call;
            call.host = "127.0.0.1";
            call.port = server.port();
            call.method = "POST";
            call.fresh_connection = fresh_connection;
            bool ended = false;
            client.send(call, [&](io::http_call_result) { ended = true; });
            while (!ended) {
                loop.run_once(true);
            }
        }
        runs = server.runs();
    }
    return runs;
}

} // namespace

TEST_CASE("a request on a new connection is never sent twice") {
    // A backend server runs a request and dies before it answers, on a
    // connection that was kept from an earlier request. libcurl takes it for
    // a connection that had been closed long before and sends the request
    // again: a referee is booked twice. On a new connection it does not.
    CHECK(runs_of_two_calls(true) == 2);
}

TEST_CASE("libcurl sends a request again when a kept connection closes") {
    // This is why what must run at most once goes out on a new connection
    // only. Should a later libcurl stop doing so, this test tells.
    CHECK(runs_of_two_calls(false) == 3);
}
