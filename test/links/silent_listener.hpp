#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace waxwingvale {

// A port that answers connections no more than a machine without power does:
// its queue of new ones is full, so that further opening packets are dropped.
class silent_listener {
public:
    silent_listener() {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        static_cast<void>(::bind(
            listener_, reinterpret_cast<sockaddr*>(&address), sizeof address));
        ::listen(listener_, 0);
        socklen_t size = sizeof address;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        constexpr int enough_to_fill = 4;
        for (int i = 0; i < enough_to_fill; ++i) {
            const int filler = ::socket(
                AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            static_cast<void>(::connect(
                filler, reinterpret_cast<sockaddr*>(&address), sizeof address));
            fillers_.push_back(filler);
        }
    }
    ~silent_listener() {
        for (const int each : fillers_) {
            ::close(each);
        }
        ::close(listener_);
    }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;

    std::uint16_t port() const { return port_; }

private:
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::vector<int> fillers_;
};

} // namespace waxwingvale
