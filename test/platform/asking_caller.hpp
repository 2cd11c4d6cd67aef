#pragma once

#include <cstddef>
#include <map>
#include <string>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::platform {

// Sends requests to an instance as the platform's callers do, each with an id
// of its own, and keeps what each was answered.
class asking_caller {
public:
    struct answer {
        unsigned status = 0; // 0: there was none
        duration took{};
    };

    // `deadline` is stated by each request.
    asking_caller(kernel::event_loop& loop, kernel::timer_service& timers,
                  duration deadline);

    // Returns the id of the request.
    std::string ask(std::uint16_t port, const std::string& method,
                    const std::string& target, std::string body = {});
    bool at_rest() const { return open_ == 0; }
    std::size_t asked() const { return asked_; }
    const std::map<std::string, answer>& answers() const { return answers_; }
    // Answers of that status.
    std::size_t count_of(unsigned status) const;
    duration longest() const;

private:
    kernel::timer_service& timers_;
    duration deadline_;
    io::http_client client_;
    std::map<std::string, answer> answers_; // by id
    std::size_t asked_ = 0;
    std::size_t open_ = 0;
};

} // namespace waxwingvale::platform
