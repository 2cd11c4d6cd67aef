#include "waxwing_load/send_schedule.hpp"

namespace waxwingvale::load {

namespace {

duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

send_schedule::send_schedule(const load_options& options)
    : options_(options), random_(options.seed), gap_(options.rate) {}

// Callers of one burst follow one another evenly over its width.
duration send_schedule::next_burst_time() {
    const auto callers = static_cast<std::uint64_t>(options_.callers);
    const auto burst = static_cast<duration::rep>(planned_ / callers);
    const auto place = static_cast<duration::rep>(planned_ % callers);
    const auto step = burst_width * place / static_cast<duration::rep>(callers);
    return options_.burst_period * burst + step;
}

std::optional<planned_send> send_schedule::next() {
    planned_send send;
    if (options_.schedule == schedule_kind::burst) {
        send.at = next_burst_time();
        send.caller = planned_ % options_.callers;
    } else {
        send.at = from_seconds(at_s_);
        send.caller = random_() % options_.callers;
        at_s_ += options_.schedule == schedule_kind::poisson
                     ? gap_(random_)
                     : 1 / options_.rate;
    }
    if (planned_ >= options_.calls || send.at >= options_.length) {
        return std::nullopt;
    }
    ++planned_;
    std::uniform_real_distribution<double> part(0, 1);
    send.write = part(random_) < options_.write_fraction;
    return send;
}

} // namespace waxwingvale::load
