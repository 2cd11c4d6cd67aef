#include "control/configuration_intake.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::control {

configuration_intake::configuration_intake(
    kernel::timer_service& timers,
    membership::configuration_register& configurations,
    const published_state& published)
    : timers_(timers), configurations_(configurations), published_(published) {}

membership::offer_outcome configuration_intake::offer(configuration_text file,
                                                      outcome_handler then) {
    if (!configurations_.is_new(file)) {
        return configurations_.offer(file);
    }
    auto reading = published_.begin(file);
    if (!reading) {
        return configurations_.offer(file);
    }
    waiting_.push_back({std::move(file), std::move(reading), std::move(then)});
    if (waiting_.size() == 1) {
        read_later();
    }
    return membership::offer_outcome::begun;
}

void configuration_intake::read_later() {
    reading_ =
        timers_.after(duration::zero(), [this](time_point) { read_on(); });
}

void configuration_intake::read_on() {
    if (!waiting_.front().reading->read_on()) {
        read_later();
        return;
    }
    const auto ended = std::move(waiting_.front());
    waiting_.pop_front();
    const auto outcome =
        configurations_.offer(ended.text, ended.reading->take());
    pass_over_old();
    if (!waiting_.empty()) {
        waiting_.splice(waiting_.begin(), waiting_, newest());
        read_later();
    }
    ended.then(outcome);
}

void configuration_intake::pass_over_old() {
    std::list<waiting_file> old;
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        const auto next = std::next(at);
        if (!configurations_.is_new(at->text)) {
            old.splice(old.end(), waiting_, at);
        }
        at = next;
    }
    for (const auto& each : old) {
        each.then(configurations_.offer(each.text));
    }
}

std::list<configuration_intake::waiting_file>::iterator
configuration_intake::newest() {
    return std::max_element(waiting_.begin(), waiting_.end(),
                            [](const auto& a, const auto& b) {
                                return a.text.revision < b.text.revision;
                            });
}

} // namespace waxwingvale::control
