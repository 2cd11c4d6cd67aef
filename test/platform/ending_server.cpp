#include "platform/ending_server.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <utility>

#include "forwarding/wire_text.hpp"
#include "standin/process.hpp"

namespace waxwingvale::platform {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_failed = 500;
constexpr unsigned status_unavailable = 503;
const std::string half_an_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it";

std::string text_of(const io::http_headers& headers, const char* name) {
    const auto* found = io::find_header(headers, name);
    return found == nullptr ? std::string() : *found;
}

std::uint16_t port_at_other_end(int descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

ending_server::ending_server(kernel::event_loop& loop,
                             kernel::timer_service& timers, hooks told)
    : loop_(loop),
      timers_(timers),
      told_(std::move(told)),
      listener_(loop, [this](int descriptor) { accept(descriptor); }) {}

void ending_server::start(const std::string& id) {
    id_ = id;
    up_ = true;
    connections_.clear();
    if (port_ == 0) {
        // None that an outgoing connection may take while nothing listens.
        port_ = standin::free_port();
    }
    listener_.open(port_);
}

void ending_server::accept(int descriptor) {
    auto& made = connections_.emplace_back();
    if (who_connects) {
        made.sender = who_connects(port_at_other_end(descriptor));
    }
    made.socket = std::make_unique<io::stream_socket>(
        loop_, descriptor, false,
        io::stream_socket_handlers{
            {},
            [this, &made](const char* bytes, std::size_t size) {
                read(made, bytes, size);
            },
            [this, &made] { close(made); },
            {}});
    const auto cut = made.sender ? cuts_.find(*made.sender) : cuts_.end();
    if (cut == cuts_.end()) {
        return;
    }
    made.silent = cut->second == sender_cut::silence;
    if (!made.silent) {
        made.open = false;
        made.socket->reset();
    }
}

void ending_server::cut(std::size_t sender, sender_cut how) {
    cuts_[sender] = how;
    for (auto& each : connections_) {
        if (each.sender != sender || !each.open) {
            continue;
        }
        if (how == sender_cut::silence) {
            each.silent = true;
        } else if (how == sender_cut::reset) {
            each.open = false;
            each.running.cancel();
            each.socket->reset();
        }
    }
}

void ending_server::close(connection& which) {
    which.open = false;
    abandoned += which.at_work ? 1 : 0;
    which.at_work = false;
    if (!ends_for_nobody || !up_) {
        which.running.cancel();
    }
    which.socket->close();
}

void ending_server::read(connection& from, const char* bytes,
                         std::size_t size) {
    from.input.append(bytes, size);
    if (!up_ || from.silent) {
        return;
    }
    using step = forwarding::request_reader::step;
    for (auto at = from.reader.read(from.input, {}); at != step::need_more;
         at = from.reader.read(from.input, {})) {
        if (at == step::faulty) {
            close(from);
            return;
        }
        if (at == step::complete) {
            const auto request = from.reader.request();
            from.reader.next();
            take(from, request);
            return; // callers send one request at a time
        }
    }
}

void ending_server::take(connection& from, const io::http_request& request) {
    from.socket->write(std::exchange(from.late, {}), {});
    if (request.target == "/healthz") {
        answer_check(from);
        return;
    }
    if (on_arrival) {
        on_arrival(request);
    }
    const auto meant = text_of(request.headers, "Waxwingvale-Target-Instance");
    if (!meant.empty() && meant != id_) {
        answer(from, status_misdirected, {});
        return;
    }
    run(from, request);
}

void ending_server::run(connection& from, const io::http_request& request) {
    const auto how = told_.decide(request);
    from.body = body_of(request);
    const auto attempt = text_of(request.headers, "Waxwingvale-Attempt-Id");
    const auto takes = how == run_end::end_process ? ends_after : work;
    from.at_work = true;
    from.running =
        timers_.after(takes, [this, &from, how, attempt](time_point) {
            from.at_work = false;
            const bool ends = how == run_end::end_process && ends_for_nobody;
            if (up_ && (from.open || ends)) {
                finish(from, how, attempt);
            }
        });
}

void ending_server::finish(connection& from, run_end how,
                           const std::string& attempt) {
    const io::http_headers named = {{"Waxwingvale-Attempt-Id", attempt}};
    const io::http_headers signed_by_us = {
        {"Waxwingvale-Attempt-Id", attempt},
        {"Waxwingvale-Response-Signature", "s"}};
    switch (how) {
    case run_end::answer:
        answer(from, status_ok, signed_by_us);
        break;
    case run_end::fail:
        answer(from, status_failed, signed_by_us);
        break;
    case run_end::refuse:
        answer(from, status_unavailable, {{"Waxwingvale-Not-Executed", "1"}});
        break;
    case run_end::garble:
        answer(from, status_ok, named);
        break;
    case run_end::reset_connection:
        from.open = false;
        from.socket->reset();
        break;
    case run_end::close_connection:
        close(from);
        break;
    case run_end::cut_answer:
        from.socket->write(half_an_answer, {});
        close(from);
        break;
    case run_end::stay_silent:
        break;
    case run_end::end_process:
        end_under(from);
        break;
    }
}

void ending_server::answer_check(connection& to) {
    const auto status = says_ill ? status_unavailable : status_ok;
    answer(to, status, {});
    if (repeats_checks) {
        to.late = answer_text(status, {}, to.body);
    }
}

void ending_server::answer(connection& to, unsigned status,
                           io::http_headers headers) {
    if (!to.silent) {
        to.socket->write(answer_text(status, std::move(headers), to.body), {});
    }
}

std::string ending_server::answer_text(unsigned status,
                                       io::http_headers headers,
                                       const std::string& body) const {
    headers.push_back({"Waxwingvale-Instance-Id", id_});
    headers.push_back({"Waxwingvale-Server-Load", load});
    const forwarding::body_plan plan{forwarding::body_framing::length,
                                     body.size()};
    return forwarding::answer_head(status, headers, plan, false) + body;
}

void ending_server::end_under(connection& with) {
    if (ends_by == process_end::half_answer) {
        with.socket->write(half_an_answer, {});
    }
    end(ends_by);
}

void ending_server::reset_connections() {
    for (auto& each : connections_) {
        if (each.open) {
            each.open = false;
            each.running.cancel();
            each.socket->reset();
        }
    }
}

void ending_server::end(process_end how) {
    up_ = false;
    if (how != process_end::silence) {
        listener_.close();
        for (auto& each : connections_) {
            const bool by_reset =
                how == process_end::reset || how == process_end::replaced;
            if (each.open && by_reset) {
                each.open = false;
                each.running.cancel();
                each.socket->reset();
            } else if (each.open) {
                close(each);
            }
        }
    }
    told_.on_end(*this);
}

} // namespace waxwingvale::platform
