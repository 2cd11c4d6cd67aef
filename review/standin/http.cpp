#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int backlog = 256;

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return text;
}

std::string word(const std::string& line, int number) {
    std::size_t begin = 0;
    for (int i = 0; i < number && begin != std::string::npos; ++i) {
        begin = line.find(' ', begin);
        begin = begin == std::string::npos ? begin : begin + 1;
    }
    return begin == std::string::npos
               ? std::string()
               : line.substr(begin, line.find(' ', begin) - begin);
}

sockaddr_in address_of(const std::string& host, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

void no_delay(int descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

std::string message::field(const std::string& name) const {
    const auto found = fields.find(lower(name));
    return found == fields.end() ? std::string() : found->second;
}

int message::status() const {
    return static_cast<int>(
        std::strtol(word(start_line, 1).c_str(), nullptr, 10));
}

std::string message::method() const {
    return word(start_line, 0);
}

std::string message::target() const {
    return word(start_line, 1);
}

connection::~connection() {
    close();
}

void connection::close() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void connection::reset() {
    if (descriptor_ >= 0) {
        const linger at_once{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once,
                   sizeof at_once);
        close();
    }
}

void connection::limit_wait(int milliseconds) {
    timeval limit{};
    limit.tv_sec = milliseconds / 1000;
    limit.tv_usec = (milliseconds % 1000) * 1000;
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

bool connection::send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto now = ::send(descriptor_, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
        if (now <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(now);
    }
    return true;
}

bool connection::more() {
    std::array<char, 16384> buffer{};
    const auto got = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (got <= 0) {
        return false;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(got));
    return true;
}

bool connection::read_line(std::string& line) {
    std::size_t end = input_.find("\r\n");
    while (end == std::string::npos) {
        if (!more()) {
            return false;
        }
        end = input_.find("\r\n");
    }
    line = input_.substr(0, end);
    input_.erase(0, end + 2);
    return true;
}

bool connection::read_bytes(std::size_t count, std::string& to) {
    while (input_.size() < count && more()) {
    }
    const auto some = std::min(count, input_.size());
    to.append(input_, 0, some);
    input_.erase(0, some);
    return some == count;
}

bool connection::read_chunks(std::string& to) {
    std::string line;
    while (read_line(line)) {
        const auto size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
            return read_line(line);
        }
        if (!read_bytes(size, to) || !read_line(line)) {
            return false;
        }
    }
    return false;
}

std::optional<message> connection::read(bool is_request) {
    message read;
    if (!read_line(read.start_line)) {
        return std::nullopt;
    }
    std::string line;
    while (true) {
        if (!read_line(line)) {
            return read;
        }
        if (line.empty()) {
            break;
        }
        const auto colon = line.find(':');
        const auto value = colon == std::string::npos
                               ? std::string::npos
                               : line.find_first_not_of(" \t", colon + 1);
        read.fields[lower(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    const auto length = read.field("content-length");
    if (read.field("transfer-encoding") == "chunked") {
        read.complete = read_chunks(read.body);
    } else if (!length.empty()) {
        read.complete =
            read_bytes(std::strtoul(length.c_str(), nullptr, 10), read.body);
    } else if (is_request) {
        read.complete = true;
    } else {
        while (more()) {
        }
        read.body = std::move(input_);
        input_.clear();
        read.complete = true;
    }
    return read;
}

int connect_to(const std::string& host, std::uint16_t port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = address_of(host, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    no_delay(descriptor);
    return descriptor;
}

int listen_on(const std::string& host, std::uint16_t port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = address_of(host, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::uint16_t port_of(int listener) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int accept_from(int listener) {
    const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0) {
        no_delay(descriptor);
    }
    return descriptor;
}

void close_descriptor(int descriptor) {
    ::shutdown(descriptor, SHUT_RDWR);
    ::close(descriptor);
}

std::string chunked(const std::string& body, std::size_t size) {
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += size) {
        const auto part = body.substr(at, size);
        std::array<char, 32> head{};
        std::snprintf(head.data(), head.size(), "%zx\r\n", part.size());
        text += head.data();
        text += part;
        text += "\r\n";
    }
    return text + "0\r\n\r\n";
}

std::string answer_text(int status, const std::string& reason,
                        const headers& fields, const std::string& body) {
    auto text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto& [name, value] : fields) {
        text += name;
        text += ": ";
        text += value;
        text += "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace review
