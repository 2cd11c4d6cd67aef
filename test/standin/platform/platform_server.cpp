#include "standin/platform/platform_server.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace waxwingvale::standin {

namespace {

constexpr unsigned ok = 200;
constexpr unsigned not_modified = 304;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned unavailable = 503;
const std::string read_prefix = "/v1/values/";
const std::string put_prefix = "/control/values/";

bool begins_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

io::http_response value_answer(const published_value& value) {
    return {ok, {{"Revision", std::to_string(value.revision)}}, value.body};
}

} // namespace

platform_server::platform_server(kernel::event_loop& loop,
                                 kernel::timer_service& timers,
                                 std::uint16_t port)
    : timers_(timers),
      server_(loop,
              [&] {
                  io::http_server_options options;
                  options.port = port;
                  options.body_limit = 2 * 1024 * 1024;
                  return options;
              }()),
      started_(timers.now()) {}

result<void> platform_server::start() {
    return server_.start(
        [this](io::http_request request, io::http_responder respond) {
            handle(request, std::move(respond));
        });
}

void platform_server::handle(const io::http_request& request,
                             io::http_responder respond) {
    static const std::map<std::string, answer_handler> fixed = {
        {"POST /control/fault", &platform_server::set_fault},
        {"GET /control/counts", &platform_server::tell_counts}};
    const request_target target(request.target);
    const auto found = fixed.find(request.method + " " + target.path());
    if (found != fixed.end()) {
        (this->*found->second)(request, target, std::move(respond));
    } else if (request.method == "PUT" &&
               begins_with(target.path(), put_prefix)) {
        put_value(request, target, std::move(respond));
    } else if (request.method == "GET" &&
               begins_with(target.path(), read_prefix)) {
        read_value(request, target, std::move(respond));
    } else {
        respond({not_found, {}, "no such path\n"});
    }
}

void platform_server::read_value(const io::http_request&,
                                 const request_target& target,
                                 io::http_responder respond) {
    count_call();
    const auto name = target.path().substr(read_prefix.size());
    if (mode_ != fault_mode::slow) {
        answer_read(name, target, respond);
        return;
    }
    delayed_.emplace_back();
    const auto waiting = std::prev(delayed_.end());
    *waiting = timers_.after(delay_, [=](time_point) {
        answer_read(name, target, respond);
        delayed_.erase(waiting);
    });
}

void platform_server::answer_read(const std::string& name,
                                  const request_target& target,
                                  const io::http_responder& respond) {
    if (mode_ == fault_mode::down) {
        respond({unavailable, {}, "the platform is down\n"});
        return;
    }
    const auto* value = visible(name);
    if (!target.has("after")) {
        respond(value == nullptr ? io::http_response{not_found, {}, ""}
                                 : value_answer(*value));
        return;
    }
    const auto after = target.number("after", 0);
    if (value != nullptr && value->revision != after) {
        respond(value_answer(*value));
        return;
    }
    add_watch(name, after,
              std::chrono::milliseconds(target.number("wait_ms", 0)), respond);
}

void platform_server::add_watch(const std::string& name, std::uint64_t after,
                                duration wait,
                                const io::http_responder& respond) {
    watches_.push_back({name, after, respond, {}});
    const auto added = std::prev(watches_.end());
    added->expiry = timers_.after(wait, [this, added](time_point) {
        const auto* value = visible(added->name);
        if (value == nullptr) {
            added->respond({not_found, {}, ""});
        } else {
            added->respond({not_modified,
                            {{"Revision", std::to_string(value->revision)}},
                            ""});
        }
        watches_.erase(added);
    });
}

void platform_server::answer_watches() {
    for (auto waiting = watches_.begin(); waiting != watches_.end();) {
        const auto* value = visible(waiting->name);
        const bool changed =
            value != nullptr && value->revision != waiting->after;
        if (mode_ == fault_mode::down) {
            waiting->respond({unavailable, {}, "the platform is down\n"});
        } else if (changed) {
            waiting->respond(value_answer(*value));
        } else {
            ++waiting;
            continue;
        }
        waiting = watches_.erase(waiting);
    }
}

void platform_server::put_value(const io::http_request& request,
                                const request_target& target,
                                io::http_responder respond) {
    const auto name = target.path().substr(put_prefix.size());
    const auto revision =
        values_.put(name, request.body, target.number("revision", 0));
    answer_watches();
    const nlohmann::json body = {{"name", name}, {"revision", revision}};
    respond({ok, {}, body.dump()});
}

void platform_server::set_fault(const io::http_request&,
                                const request_target& target,
                                io::http_responder respond) {
    static const std::map<std::string, fault_mode> modes = {
        {"up", fault_mode::up},
        {"down", fault_mode::down},
        {"stale", fault_mode::stale},
        {"slow", fault_mode::slow}};
    const auto found = modes.find(target.text("mode", ""));
    if (found == modes.end()) {
        respond({bad_request, {}, "mode: up, down, stale or slow\n"});
        return;
    }
    mode_ = found->second;
    delay_ = std::chrono::milliseconds(target.number("ms", 0));
    publications_ago_ = target.number("ago", 1);
    answer_watches();
    respond({ok, {}, "{}"});
}

void platform_server::tell_counts(const io::http_request&,
                                  const request_target&,
                                  io::http_responder respond) {
    const auto most =
        std::max_element(calls_by_second_.begin(), calls_by_second_.end());
    const nlohmann::json body = {
        {"calls", calls_},
        {"calls_by_second", calls_by_second_},
        {"most_in_a_second", most == calls_by_second_.end() ? 0 : *most},
        {"waiting", watches_.size()}};
    respond({ok, {}, body.dump()});
}

const published_value* platform_server::visible(const std::string& name) const {
    return values_.read(name,
                        mode_ == fault_mode::stale ? publications_ago_ : 0);
}

void platform_server::count_call() {
    ++calls_;
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(timers_.now() -
                                                         started_)
            .count());
    calls_by_second_.resize(std::max(calls_by_second_.size(), second + 1));
    ++calls_by_second_[second];
}

} // namespace waxwingvale::standin
