#include "simulated_reader.hpp"

#include <utility>

namespace waxwingvale {

namespace {

constexpr duration answer_timeout = std::chrono::milliseconds(400);

} // namespace

simulated_reader::simulated_reader(callbacks calls, duration watch_timeout,
                                   std::uint64_t seed)
    : calls_(std::move(calls)),
      watch_timeout_(watch_timeout),
      budget_({}, seed, calls_.now()) {}

void simulated_reader::set_share(membership::read_share share) {
    budget_.set_share(share, calls_.now());
}

void simulated_reader::read_again() {
    known_revision_.reset();
    read_when_allowed();
}

void simulated_reader::resume() {
    if (paused_) {
        paused_ = false;
        read_again();
    }
}

void simulated_reader::read_when_allowed() {
    current_read_ = ++read_count_;
    if (paused_) {
        return;
    }
    calls_.schedule_after(budget_.wait_before_read(calls_.now()),
                          [this, planned = current_read_] {
                              if (current_read_ == planned && !paused_) {
                                  read();
                              }
                          });
}

void simulated_reader::read() {
    budget_.consume_token(calls_.now());
    const auto this_read = current_read_ = ++read_count_;
    const auto limit =
        answer_timeout + (known_revision_ ? watch_timeout_ : duration());
    calls_.schedule_after(limit, [this, this_read] {
        if (current_read_ == this_read) {
            fail();
        }
    });
    calls_.read(known_revision_, [this, this_read](const auto& answer) {
        if (current_read_ == this_read) {
            finish(answer);
        }
    });
}

void simulated_reader::finish(const platform_answer& answer) {
    if (answer.outcome == platform_answer::kind::refused) {
        fail();
        return;
    }
    budget_.succeeded();
    calls_.on_platform_state(true);
    if (answer.outcome == platform_answer::kind::gone) {
        read_again();
        return;
    }
    known_revision_ = answer.revision;
    read_when_allowed();
    calls_.on_answer(answer);
}

void simulated_reader::fail() {
    budget_.failed(calls_.now());
    calls_.on_platform_state(false);
    read_again();
}

} // namespace waxwingvale
