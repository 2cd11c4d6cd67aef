#include "platform/caller_results.hpp"

#include <algorithm>
#include <chrono>

#include "standin/unknown_route.hpp"

namespace waxwingvale::platform {

namespace {

using namespace std::chrono_literals;

constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;

double share_of(unsigned part, unsigned all) {
    return all == 0 ? 1.0 : static_cast<double>(part) / all;
}

std::string to_string(const answer_counts& counts) {
    return std::to_string(counts.served) + " of " +
           std::to_string(counts.all()) + " (late " +
           std::to_string(counts.late) + ", 503 " +
           std::to_string(counts.refused) + ", not known " +
           std::to_string(counts.not_known) + ", unanswered " +
           std::to_string(counts.unanswered) + ", other " +
           std::to_string(counts.other) + ")";
}

} // namespace

unsigned answer_counts::all() const {
    return served + late + refused + not_known + unanswered + other;
}

double answer_counts::served_share() const {
    return share_of(served, all());
}

void answer_counts::add(const answer_counts& more) {
    served += more.served;
    late += more.late;
    refused += more.refused;
    not_known += more.not_known;
    unanswered += more.unanswered;
    other += more.other;
}

double caller_results::served_reads() const {
    answer_counts reads = first;
    reads.add(added);
    reads.add(moved);
    return reads.served_share();
}

double caller_results::served_share() const {
    answer_counts every = first;
    every.add(added);
    every.add(moved);
    every.add(bookings);
    return every.served_share();
}

double caller_results::added_by_first() const {
    const auto of_first = first.served_share();
    return of_first > 0 ? added.served_share() / of_first : 1.0;
}

void answer_counts::add(const io::http_call_result& ended, bool in_time) {
    if (!ended.response) {
        ++unanswered;
        return;
    }
    const auto& answer = ended.response.value();
    if (standin::knows_no_route(answer)) {
        ++not_known;
    } else if (answer.status == ok) {
        ++(in_time ? served : late);
    } else {
        ++(answer.status == unavailable ? refused : other);
    }
}

void caller_results::add(const caller_results& more) {
    first.add(more.first);
    added.add(more.added);
    moved.add(more.moved);
    bookings.add(more.bookings);
    oldest_route = std::max(oldest_route, more.oldest_route);
    run_by_former += more.run_by_former;
}

std::string to_string(const caller_results& results) {
    return "first " + to_string(results.first) + ", added " +
           to_string(results.added) + ", moved " + to_string(results.moved) +
           ", bookings " + to_string(results.bookings) + "; added by first " +
           std::to_string(results.added_by_first()) + ", run by former " +
           std::to_string(results.run_by_former) + ", oldest unknown " +
           std::to_string(results.oldest_route / 1ms) + " ms";
}

} // namespace waxwingvale::platform
