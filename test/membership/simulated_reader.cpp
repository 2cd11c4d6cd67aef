#include "simulated_reader.hpp"

#include <utility>

namespace waxwingvale {

namespace {

constexpr duration answer_within = std::chrono::milliseconds(400);

} // namespace

simulated_reader::simulated_reader(surroundings around, duration watch,
                                   std::uint64_t seed)
    : around_(std::move(around)),
      longest_watch_(watch),
      budget_({}, seed, around_.now()) {}

void simulated_reader::set_share(membership::read_share share) {
    budget_.set_share(share, around_.now());
}

void simulated_reader::read_again() {
    listed_.reset();
    read_when_allowed();
}

void simulated_reader::resume() {
    if (paused_) {
        paused_ = false;
        read_again();
    }
}

void simulated_reader::read_when_allowed() {
    awaited_ = ++reads_;
    if (paused_) {
        return;
    }
    around_.after(budget_.wait_before_read(around_.now()),
                  [this, planned = awaited_] {
                      if (awaited_ == planned && !paused_) {
                          read();
                      }
                  });
}

void simulated_reader::read() {
    budget_.take(around_.now());
    const auto under_way = awaited_ = ++reads_;
    const auto limit = answer_within + (listed_ ? longest_watch_ : duration());
    around_.after(limit, [this, under_way] {
        if (awaited_ == under_way) {
            fail();
        }
    });
    around_.ask(listed_, [this, under_way](const auto& answer) {
        if (awaited_ == under_way) {
            finish(answer);
        }
    });
}

void simulated_reader::finish(const platform_answer& answer) {
    if (answer.what == platform_answer::kind::refused) {
        fail();
        return;
    }
    budget_.succeeded();
    around_.on_state(true);
    if (answer.what == platform_answer::kind::gone) {
        read_again();
        return;
    }
    listed_ = answer.revision;
    read_when_allowed();
    around_.on_reading(answer);
}

void simulated_reader::fail() {
    budget_.failed(around_.now());
    around_.on_state(false);
    read_again();
}

} // namespace waxwingvale
