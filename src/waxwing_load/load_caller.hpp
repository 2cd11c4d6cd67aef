#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "waxwing_load/load_options.hpp"
#include "waxwing_load/steer_answer.hpp"

namespace waxwingvale::load {

// One caller: asks an entry instance for addresses, keeps the answer as long as
// it was told to and uses it on when nobody answers. It asks again in good time
// so that no call waits for an address.
class load_caller {
public:
    load_caller(io::http_client& client, kernel::timer_service& timers,
                const load_options& options, std::string name,
                std::size_t number);

    // Asks; `on_first` is called once when the first answer has come.
    void start(std::function<void()> on_first);
    bool has_addresses() const { return kept_.has_value(); }
    // The address for an attempt that goes to the nth choice.
    const endpoint& address(std::size_t choice) const;
    // A key that no other call has.
    std::string next_key();
    const std::string& name() const { return name_; }
    // An address did not answer: the kept answer may be out of date.
    void doubt_addresses();
    std::uint64_t askings() const { return askings_; }

private:
    void ask();
    void take(const io::http_call_result& ended, const endpoint& from);
    void ask_after(duration wait);

    io::http_client& client_;
    kernel::timer_service& timers_;
    const load_options& options_;
    std::string name_;
    std::size_t next_steer_;
    std::optional<steer_answer> kept_;
    bool asking_ = false;
    std::uint64_t askings_ = 0;
    std::uint64_t keys_ = 0;
    std::function<void()> on_first_;
    kernel::timer_service::subscription next_asking_;
};

} // namespace waxwingvale::load
