#include "platform/scripted_server.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "forwarding/wire_text.hpp"
#include "standin/process.hpp"

namespace waxwingvale::platform {

namespace {

constexpr const char* attempt_header = "Waxwingvale-Attempt-Id";
constexpr std::uint64_t largest_body = 64 * 1024 * 1024; // bytes

std::string attempt_of(const io::http_request& request) {
    const auto* id = io::find_header(request.headers, attempt_header);
    return id == nullptr ? std::string() : *id;
}

std::string with_id(std::string bytes, const std::string& id) {
    const std::string place = "{id}";
    for (auto at = bytes.find(place); at != bytes.npos;
         at = bytes.find(place, at + id.size())) {
        bytes.replace(at, place.size(), id);
    }
    return bytes;
}

caller_limits all_bodies() {
    caller_limits limits;
    limits.body = largest_body;
    return limits;
}

} // namespace

scripted_server::scripted_server(kernel::event_loop& loop,
                                 kernel::timer_service& timers, std::string id,
                                 script answers)
    : loop_(loop),
      timers_(timers),
      id_(std::move(id)),
      script_(std::move(answers)),
      listener_(loop, [this](int descriptor) { accept(descriptor); }) {
    listener_.open(standin::free_port());
}

std::string scripted_server::entry() const {
    return nlohmann::json{{"Service", "view"},
                          {"Address", "127.0.0.1:" + std::to_string(port())},
                          {"Zone", "north"},
                          {"Version", "v1"},
                          {"MaxConcurrency", 8},
                          {"State", "ready"},
                          {"ColdRemaining", 0},
                          {"Sequence", 1}}
        .dump();
}

unsigned scripted_server::arrivals(const std::string& attempt) const {
    const auto found = arrivals_.find(attempt);
    return found == arrivals_.end() ? 0 : found->second;
}

void scripted_server::reset_connections() {
    for (auto& each : connections_) {
        each.open = false;
        each.ending.cancel();
        each.socket->reset();
    }
}

void scripted_server::accept(int descriptor) {
    ++connections_made_;
    auto& made = connections_.emplace_back();
    made.socket = std::make_unique<io::stream_socket>(
        loop_, descriptor, false,
        io::stream_socket_handlers{
            {},
            [this, &made](const char* bytes, std::size_t size) {
                read(made, bytes, size);
            },
            [&made] {
                made.open = false;
                made.ending.cancel();
                made.socket->close();
            },
            {}});
}

void scripted_server::read(connection& from, const char* bytes,
                           std::size_t size) {
    from.input.append(bytes, size);
    using step = forwarding::request_reader::step;
    while (from.open && from.socket->reading()) {
        const auto at = from.reader.read(from.input, all_bodies());
        if (at == step::need_more || at == step::faulty) {
            return;
        }
        if (at == step::head) {
            take_head(from);
        } else if (at == step::body) {
            from.reader.request().body.clear();
        } else {
            take_whole(from);
        }
    }
}

void scripted_server::take_head(connection& from) {
    const auto& request = from.reader.request();
    used_again_ += from.scripted ? 1 : 0;
    from.attempt = attempt_of(request);
    ++arrivals_[from.attempt];
    from.chosen = script_(request);
    if (from.chosen && from.chosen->at_head) {
        send(from);
    }
}

void scripted_server::take_whole(connection& from) {
    const auto target = from.reader.request().target;
    from.reader.next();
    if (!from.chosen) {
        answer(from, target);
    } else if (!from.chosen->at_head) {
        send(from);
    }
}

void scripted_server::send(connection& to) {
    const auto& chosen = *to.chosen;
    to.socket->write(with_id(chosen.bytes, to.attempt), {});
    to.scripted = true;
    if (!chosen.reads_on || chosen.ending == answer_ending::close_unread) {
        to.socket->pause_reading();
    }
    if (chosen.ending != answer_ending::keep) {
        to.ending = timers_.after(chosen.until_ending,
                                  [this, &to](time_point) { end(to); });
    }
}

// What is sent goes out first, however long that takes.
void scripted_server::end(connection& which) {
    if (which.socket->waiting() > 0) {
        which.ending =
            timers_.after(std::chrono::milliseconds(1),
                          [this, &which](time_point) { end(which); });
        return;
    }
    which.open = false;
    if (which.chosen->ending == answer_ending::reset) {
        which.socket->reset();
    } else {
        which.socket->close();
    }
}

void scripted_server::answer(connection& to, const std::string& target) {
    io::http_headers headers = {{"Waxwingvale-Instance-Id", id_},
                                {"Waxwingvale-Server-Load", "0,0,8"}};
    if (target != scripted_check_path) {
        headers.push_back({"Waxwingvale-Response-Signature", "s"});
        headers.push_back({attempt_header, to.attempt});
    }
    const auto body = "done " + to.attempt;
    to.socket->write(
        forwarding::answer_head(200, headers,
                                {forwarding::body_framing::length, body.size()},
                                false),
        body);
}

} // namespace waxwingvale::platform
