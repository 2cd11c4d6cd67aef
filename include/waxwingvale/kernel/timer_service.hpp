#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include <waxwingvale/kernel/clock.hpp>
#include <waxwingvale/kernel/event_loop.hpp>

namespace waxwingvale::kernel {

// Parts subscribe to it to be called once or again and again. It reads its
// clock through the interface, so a test moves time by hand with fire_due().
class timer_service {
public:
    using handler = std::function<void(time_point now)>;

    // Ends the subscription when it is destroyed.
    class subscription {
    public:
        subscription() = default;
        subscription(timer_service& of, std::uint64_t number);
        subscription(subscription&& other) noexcept;
        subscription& operator=(subscription&& other) noexcept;
        subscription(const subscription&) = delete;
        subscription& operator=(const subscription&) = delete;
        ~subscription();
        void cancel();

    private:
        timer_service* of_ = nullptr;
        std::uint64_t number_ = 0;
    };

    // With a loop, due timers fire by themselves, after what its sockets have
    // brought meanwhile.
    timer_service(const clock& time, event_loop& loop);
    // Without one, only fire_due() fires them.
    explicit timer_service(const clock& time);
    ~timer_service();
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;

    [[nodiscard]] subscription after(duration delay, handler call);
    [[nodiscard]] subscription every(duration period, handler call);

    // Calls all that are due; for tests.
    void fire_due();

    time_point now() const { return clock_.now(); }

private:
    struct entry;
    struct loop_timer;

    subscription add(duration delay, duration period, handler call);
    void remove(std::uint64_t number);
    void fire_due_by(time_point latest);
    void rearm();

    const clock& clock_;
    std::unique_ptr<loop_timer> loop_timer_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, std::shared_ptr<entry>> entries_;
    std::multimap<time_point, std::uint64_t> due_;
};

} // namespace waxwingvale::kernel
