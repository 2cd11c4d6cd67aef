#include "waxwing_load/load_caller.hpp"

#include <utility>

namespace waxwingvale::load {

namespace {

constexpr duration steer_timeout = std::chrono::milliseconds(500);
constexpr duration pause_after_failure = std::chrono::milliseconds(50);
constexpr unsigned status_ok = 200;

std::string question(const load_options& options) {
    auto target = "/v1/addresses?service=" + options.service;
    if (!options.data_centre.empty()) {
        target += "&data_centre=" + options.data_centre;
    }
    return target;
}

} // namespace

load_caller::load_caller(io::http_client& client, kernel::timer_service& timers,
                         const load_options& options, std::string name,
                         std::size_t number)
    : client_(client),
      timers_(timers),
      options_(options),
      name_(std::move(name)),
      next_steer_(number) {}

void load_caller::start(std::function<void()> on_first) {
    on_first_ = std::move(on_first);
    ask();
}

const endpoint& load_caller::address(std::size_t choice) const {
    return kept_->addresses[choice % kept_->addresses.size()];
}

std::string load_caller::next_key() {
    return kept_->key_prefix + "." + name_ + "." + std::to_string(++keys_);
}

void load_caller::doubt_addresses() {
    if (!asking_) {
        ask();
    }
}

void load_caller::ask() {
    asking_ = true;
    ++askings_;
    next_asking_.cancel();
    const auto steer = options_.steers[next_steer_ % options_.steers.size()];
    io::http_call call;
    call.host = steer.host;
    call.port = steer.port;
    call.target = question(options_);
    call.headers = {{"Waxwing-Caller", name_}};
    call.timeout = steer_timeout;
    client_.send(std::move(call), [this, steer](io::http_call_result ended) {
        take(ended, steer);
    });
}

void load_caller::take(const io::http_call_result& ended,
                       const endpoint& from) {
    asking_ = false;
    const bool whole =
        ended.response && ended.response.value().status == status_ok;
    auto decoded =
        whole ? decode_steer_answer(ended.response.value().body, from.host)
              : result<steer_answer>(error{});
    bool allowed = decoded.has_value();
    if (allowed) {
        for (const auto& address : decoded.value().addresses) {
            allowed = allowed && check_address(options_, address).has_value();
        }
    }
    if (!allowed) {
        ++next_steer_;
        ask_after(pause_after_failure);
        return;
    }
    const bool first = !kept_;
    kept_ = std::move(decoded.value());
    ask_after(kept_->keep);
    if (first && on_first_) {
        on_first_();
    }
}

void load_caller::ask_after(duration wait) {
    next_asking_ = timers_.after(wait, [this](time_point) { ask(); });
}

} // namespace waxwingvale::load
