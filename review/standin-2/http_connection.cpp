#include "http_connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace waxwingvale::review {

namespace {

constexpr int listen_backlog = 256;
constexpr const char* head_end = "\r\n\r\n";
constexpr std::size_t head_end_size = 4;

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool bind_to(int descriptor, std::uint16_t port) {
    const auto address = loopback(port);
    return ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0;
}

std::string lower_case(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

http_message parse_head(const std::string& head) {
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    http_message parsed;
    std::istringstream(line) >> parsed.first >> parsed.second;
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of(" \r") + 1);
        parsed.headers[lower_case(line.substr(0, colon))] = value;
    }
    return parsed;
}

} // namespace

std::string http_message::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

int http_message::status() const {
    return static_cast<int>(std::strtol(second.c_str(), nullptr, 10));
}

http_connection::~http_connection() {
    ::close(descriptor_);
}

bool http_connection::write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto sent = ::send(descriptor_, bytes.data() + done,
                                 bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

bool http_connection::read_more() {
    std::array<char, 16 * 1024> bytes;
    const auto got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
        return false;
    }
    input_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

std::optional<http_message> http_connection::read_head() {
    while (input_.find(head_end) == std::string::npos) {
        if (!read_more()) {
            return std::nullopt;
        }
    }
    const auto end = input_.find(head_end) + head_end_size;
    auto parsed = parse_head(input_.substr(0, end));
    input_.erase(0, end);
    return parsed;
}

bool http_connection::read_body(http_message& of) {
    const auto length = static_cast<std::size_t>(
        std::strtoul(of.header("content-length").c_str(), nullptr, 10));
    while (input_.size() < length) {
        if (!read_more()) {
            return false;
        }
    }
    of.body = input_.substr(0, length);
    input_.erase(0, length);
    return true;
}

std::optional<http_message> http_connection::read() {
    auto message = read_head();
    if (!message || !read_body(*message)) {
        return std::nullopt;
    }
    return message;
}

int connect_to(std::uint16_t port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::uint16_t
serve_connections(std::function<void(http_connection& accepted)> handler) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!bind_to(listener, 0) || ::listen(listener, listen_backlog) != 0) {
        throw std::runtime_error("no port to listen on");
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int accepted =
                ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            std::thread([accepted, handler] {
                http_connection connection(accepted);
                handler(connection);
            }).detach();
        }
    }).detach();
    return ntohs(bound.sin_port);
}

std::uint16_t free_port() {
    constexpr unsigned first = 20000;
    constexpr unsigned count = 12000;
    static auto next = static_cast<unsigned>(::getpid()) * 64;
    for (unsigned tried = 0; tried < count; ++tried) {
        const auto port = static_cast<std::uint16_t>(first + next++ % count);
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool is_free = bind_to(probe, port);
        ::close(probe);
        if (is_free) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace waxwingvale::review
