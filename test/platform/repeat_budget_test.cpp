#include <catch2/catch.hpp>
#include <csignal>

#include "platform/counted_repeats.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

// Servers that refuse nine requests in ten, as if they were full.
void refuse_most(counted_repeats& by) {
    by.decide = [seen = 0U](const io::http_request&) mutable {
        return ++seen % 10 == 0 ? run_end::answer : run_end::refuse;
    };
}

void check_bound(const counted_repeats& played) {
    const auto worst = played.worst_window();
    INFO("repeats " << played.repeats() << ", in the worst window "
                    << worst.repeats << " of " << worst.allowed);
    CHECK(worst.repeats <= worst.allowed);
    CHECK(worst.repeats > 0);
}

} // namespace

TEST_CASE("instances killed one after another keep the budget of repeats") {
    // Guards against a budget that begins anew with each owner of the slots.
    counted_repeats played;
    refuse_most(played);
    played.read_for(9s, 5ms, [&](std::size_t step) {
        const auto killed = step % played.instances.size();
        played.instances.process(killed).kill();
        played.instances.start_again(killed);
    });
    check_bound(played);
}

TEST_CASE("instances that are all killed at once keep the budget of repeats") {
    // Guards against a fleet each of whose processes begins with a budget.
    counted_repeats played;
    refuse_most(played);
    const auto kill_all = [&](std::size_t) {
        for (std::size_t each = 0; each < played.instances.size(); ++each) {
            played.instances.process(each).kill();
            played.instances.start_again(each);
        }
    };
    played.read_for(9s, 5ms, kill_all, 1200ms);
    check_bound(played);
}

TEST_CASE("instances stopped and continued keep the budget of repeats") {
    // Guards against an owner that goes on with its budget after another one
    // has taken over.
    counted_repeats played;
    refuse_most(played);
    played.read_for(
        9s, 5ms,
        [&](std::size_t step) {
            const auto count = played.instances.size();
            const auto stopped = step % count;
            played.instances.process(stopped).signal(SIGSTOP);
            if (step > 0) {
                played.instances.process((step - 1) % count).signal(SIGCONT);
            }
        },
        600ms);
    for (std::size_t each = 0; each < played.instances.size(); ++each) {
        played.instances.process(each).signal(SIGCONT);
    }
    check_bound(played);
}

TEST_CASE("instances told to end keep the budget of repeats") {
    // Guards against a budget that begins anew with each restart that is
    // planned.
    counted_repeats played;
    refuse_most(played);
    played.read_for(
        9s, 5ms,
        [&](std::size_t step) {
            const auto count = played.instances.size();
            played.instances.process(step % count).signal(SIGTERM);
            const auto former = (step + count - 2) % count;
            if (step >= 2) {
                played.instances.process(former).kill();
                played.instances.start_again(former);
            }
        },
        500ms);
    check_bound(played);
}

TEST_CASE("reads that lost a server are repeated right after a kill") {
    // Guards against a budget that is kept by repeating nothing once the
    // instance that counted has ended.
    counted_repeats played;
    played.only_instance = 0;
    played.read_for(4s, 20ms); // nothing has to be repeated
    for (std::size_t each = 1; each < 3; ++each) {
        played.instances.process(each).kill();
    }
    played.go_on(300ms);
    played.forget();
    refuse_most(played);
    played.read_for(500ms, 10ms);
    // Half of the extra ones, as an owner that took over used to allow.
    CHECK(played.repeats() >= counted_repeats::extra / 2);
    check_bound(played);
}
