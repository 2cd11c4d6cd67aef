#include <waxwingvale/io/platform_client.hpp>

#include <charconv>
#include <optional>
#include <utility>

namespace waxwingvale::io {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_not_found = 404;
// A value that was never published is asked for again this much later.
constexpr duration unpublished_pause = std::chrono::seconds(1);

std::optional<std::uint64_t> revision_in(const http_response& response) {
    const auto* text = find_header(response.headers, "Revision");
    if (text == nullptr) {
        return std::nullopt;
    }
    std::uint64_t revision = 0;
    const auto* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, revision);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return revision;
}

std::string milliseconds(duration value) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

} // namespace

platform_client::platform_client(http_client& client,
                                 kernel::timer_service& timers,
                                 platform_client_options options)
    : client_(client),
      timers_(timers),
      options_(std::move(options)),
      budget_(membership::share_of(1), options_.seed, timers.now()) {}

void platform_client::watch(const std::string& value_name,
                            reading_handler on_reading) {
    values_[value_name].on_reading = std::move(on_reading);
    read_when_allowed(value_name, duration::zero());
}

void platform_client::set_share(membership::read_share share) {
    budget_.set_share(share, timers_.now());
}

void platform_client::read_again() {
    for (auto& [name, value] : values_) {
        client_.cancel(value.call);
        value.wait_for_change = false;
        read_when_allowed(name, duration::zero());
    }
}

void platform_client::stop() {
    stopped_ = true;
    for (auto& each : values_) {
        client_.cancel(each.second.call);
        each.second.next.cancel();
    }
}

void platform_client::read_when_allowed(const std::string& name,
                                        duration at_least) {
    if (stopped_) {
        return;
    }
    const auto wait =
        std::max(budget_.wait_before_read(timers_.now()), at_least);
    values_.at(name).next =
        timers_.after(wait, [this, name](time_point) { read(name); });
}

void platform_client::read(const std::string& name) {
    auto& value = values_.at(name);
    // Another value's read may have taken the token meanwhile.
    if (budget_.wait_before_read(timers_.now()) > duration::zero()) {
        read_when_allowed(name, duration::zero());
        return;
    }
    budget_.take(timers_.now());
    ++counters_.reads;
    http_call call;
    call.host = options_.host;
    call.port = options_.port;
    call.target = "/v1/values/" + name;
    call.timeout = options_.answer_within;
    if (value.wait_for_change) {
        call.target += "?after=" + std::to_string(value.revision) +
                       "&wait_ms=" + milliseconds(options_.watch);
        call.timeout += options_.watch;
    }
    value.call = client_.send(
        std::move(call), [this, name, asked_in = epoch_](http_call_result got) {
            finish(name, asked_in, std::move(got));
        });
}

void platform_client::finish(const std::string& name, std::uint64_t asked_in,
                             http_call_result got) {
    if (!got.response) {
        fail(name, got.response.error());
        return;
    }
    take_answer(name, asked_in, got.response.value());
}

void platform_client::take_answer(const std::string& name,
                                  std::uint64_t asked_in,
                                  const http_response& response) {
    if (response.status == status_not_found) {
        ++counters_.unpublished;
        budget_.succeeded();
        set_answers(true, {});
        read_when_allowed(name, unpublished_pause);
        return;
    }
    const auto revision = revision_in(response);
    const bool changed = response.status == status_ok;
    if ((!changed && response.status != status_not_modified) || !revision) {
        ++counters_.malformed;
        fail(name, {error_code::malformed, "read platform", name,
                    "status " + std::to_string(response.status) +
                        (revision ? "" : ", no revision")});
        return;
    }
    budget_.succeeded();
    set_answers(true, {});
    ++(changed ? counters_.values : counters_.unchanged);
    auto& value = values_.at(name);
    // What the platform has now, also when that is older than what it had:
    // asked for changes after a revision that it has lost it would answer at
    // once, again and again.
    value.revision = *revision;
    value.wait_for_change = true;
    read_when_allowed(name, duration::zero());
    value.on_reading({name, *revision, changed,
                      changed ? response.body : std::string(), asked_in});
}

void platform_client::fail(const std::string& name, const error& why) {
    ++counters_.failed;
    budget_.failed(timers_.now());
    // What the platform has when it comes back is asked for without waiting,
    // so that its return is noticed.
    values_.at(name).wait_for_change = false;
    set_answers(false, why);
    read_when_allowed(name, duration::zero());
}

void platform_client::set_answers(bool answers, const error& why) {
    if (answers) {
        last_answer_ = timers_.now();
    }
    if (answers_ != answers) {
        answers_ = answers;
        if (on_state_) {
            on_state_(answers, why);
        }
    }
}

} // namespace waxwingvale::io
