#include "platform/kept_caller.hpp"

#include <utility>

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;

// Around the time after which an instance that stops closes a connection on
// which nothing is asked.
constexpr duration shortest_rest = 40ms;
constexpr duration longest_rest = 200ms;
// Between the pieces of a body.
constexpr duration shortest_gap = 5ms;
constexpr duration longest_gap = 150ms;
constexpr duration before_next_try = 20ms; // after the connection has ended
// A slow reader takes no more than 64 KiB, what the socket reads at once, so
// often.
constexpr duration slow_read_period = 20ms;

// The length that the head tells.
std::size_t body_length(const std::string& head) {
    const std::string name = "Content-Length: ";
    const auto found = head.find(name);
    return found == std::string::npos
               ? 0
               : std::stoul(head.substr(found + name.size()));
}

} // namespace

kept_caller::kept_caller(kernel::event_loop& loop,
                         kernel::timer_service& timers, std::uint16_t port,
                         std::string name, habits has, std::uint32_t seed)
    : loop_(loop),
      timers_(timers),
      port_(port),
      name_(std::move(name)),
      habits_(has),
      random_(seed) {
    rest(0ms, longest_rest);
}

duration kept_caller::between(duration least, duration most) {
    return least + duration(random_() % (most - least).count());
}

void kept_caller::rest(duration least, duration most) {
    next_ = timers_.after(between(least, most), [this](time_point) {
        if (!finished_) {
            ask();
        }
    });
}

void kept_caller::ask() {
    if (!usable_) {
        open();
    }
    asked_ = name_ + "-" + std::to_string(++count_);
    received_.clear();
    if (usable_) {
        send_first_piece();
    } else {
        on_end();
    }
}

void kept_caller::open() {
    connected_ = false;
    const auto opened = io::start_connect("127.0.0.1", port_);
    if (!opened) {
        return;
    }
    usable_ = true;
    socket_ = std::make_unique<io::stream_socket>(
        loop_, opened.value(), true,
        io::stream_socket_handlers{
            [this] { connected_ = true; },
            [this](const char* bytes, std::size_t size) { take(bytes, size); },
            [this] { on_end(); },
            {}});
}

void kept_caller::send_first_piece() {
    const bool books = habits_.body_bytes > 0;
    std::string text = books ? "POST /book/" : "GET /look/";
    text += asked_ + " HTTP/1.1\r\nHost: a.example\r\n";
    text += "Waxwingvale-Attempt-Id: " + asked_ + "\r\n";
    if (books) {
        text += "Content-Length: " + std::to_string(habits_.body_bytes) +
                "\r\n\r\n" + std::string(habits_.body_bytes / 2, 'x');
        next_ = timers_.after(between(shortest_gap, longest_gap),
                              [this](time_point) { send_rest(); });
    } else {
        text += "\r\n";
    }
    socket_->write(text, {});
    all_sent_ = !books;
}

void kept_caller::send_rest() {
    const auto left = habits_.body_bytes - habits_.body_bytes / 2;
    socket_->write(std::string(left, 'y'), {});
    all_sent_ = true;
}

void kept_caller::take(const char* bytes, std::size_t size) {
    received_.append(bytes, size);
    const auto end_of_head = received_.find("\r\n\r\n");
    if (end_of_head == std::string::npos) {
        return;
    }
    const auto head = received_.substr(0, end_of_head + 2);
    if (received_.size() >= end_of_head + 4 + body_length(head)) {
        on_answer(head);
    } else if (habits_.reads_slowly) {
        read_slowly();
    }
}

void kept_caller::read_slowly() {
    socket_->pause_reading();
    reading_ = timers_.after(slow_read_period,
                             [this](time_point) { socket_->resume_reading(); });
}

void kept_caller::on_answer(const std::string& head) {
    if (asked_.empty()) {
        seen_.cut.push_back("an answer that nobody asked for on " + name_);
        return;
    }
    const bool ok = head.find("HTTP/1.1 200 ") == 0;
    auto& list = ok ? seen_.served : seen_.answered;
    list.push_back(std::exchange(asked_, {}));
    const bool closes =
        head.find("\r\nConnection: close\r\n") != std::string::npos;
    usable_ = !closes && all_sent_;
    rest(shortest_rest, longest_rest);
}

void kept_caller::on_end() {
    usable_ = false;
    if (asked_.empty()) {
        return; // the next request opens another one
    }
    const auto name = std::exchange(asked_, {});
    if (connected_) {
        auto& ended = received_.empty() ? seen_.closed : seen_.cut;
        ended.push_back(name);
    } else {
        ++seen_.refused;
    }
    rest(before_next_try, 2 * before_next_try);
}

} // namespace waxwingvale::platform
