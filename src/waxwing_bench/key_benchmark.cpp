#include "waxwing_bench/key_benchmark.hpp"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <waxwingvale/decision/idempotency_key.hpp>
#include <waxwingvale/decision/key_store.hpp>

namespace waxwingvale::bench {
namespace {

using namespace decision;

const member_id holder{"sea-1", 1764705600123456};
const member_id asker{"pdx-1", 1764705600654321};
const request_fingerprint body{42};
const time_point start{};

key_limits roomy_limits(const bench_size& size) {
    key_limits limits;
    limits.keys = size.keys + 1;
    limits.answer_bytes = std::size_t{4} << 30U;
    return limits;
}

std::vector<std::string> keys_for(const bench_size& size) {
    std::vector<std::string> keys;
    const auto prefix = key_prefix(holder, duration::zero());
    for (std::size_t at = 0; at < size.keys; ++at) {
        keys.push_back(prefix + ".phone-" + std::to_string(at % 5000) + '.' +
                       std::to_string(at));
    }
    return keys;
}

// An answer of its own for each key, as a backend server gives it.
answer_ptr new_answer(const bench_size& size) {
    return std::make_shared<const whole_answer>(
        whole_answer{200,
                     {{"Content-Type", "application/json"}},
                     std::string(size.answer_bytes, 'x')});
}

class key_bench {
public:
    explicit key_bench(const bench_size& size)
        : size_(size), keys_(keys_for(size)) {}

    std::vector<measurement> run() {
        measure_memory();
        measure_time();
        measure_hand_over();
        return std::move(measured_);
    }

private:
    using plain_map = std::unordered_map<std::string, answer_ptr>;

    void run_all(key_store& store) {
        for (const auto& key : keys_) {
            const auto made = store.on_request(key, body, 1, start);
            store.on_finished(key, std::get<run_here>(made).attempt,
                              run_outcome::ran, new_answer(size_), start);
        }
    }

    void fill(plain_map& map) {
        for (const auto& key : keys_) {
            map.emplace(key, new_answer(size_));
        }
    }

    void add(const char* what, const char* unit, double value,
             double baseline) {
        measured_.push_back({what, unit, value, baseline});
    }

    void measure_memory() {
        const auto keys = static_cast<double>(size_.keys);
        const auto before = heap_bytes();
        plain_map map;
        fill(map);
        const auto with_map = heap_bytes();
        key_store store(holder, start, roomy_limits(size_));
        run_all(store);
        const auto with_store = heap_bytes();
        add("memory for a remembered key", "bytes",
            static_cast<double>(with_store - with_map) / keys,
            static_cast<double>(with_map - before) / keys);
    }

    void measure_time() {
        std::optional<key_store> store;
        plain_map map;
        const auto fresh = [&] {
            store.emplace(holder, start, roomy_limits(size_));
            map.clear();
        };
        const auto nothing = [] {};
        const auto map_first =
            median_ns(size_.rounds, size_.keys, fresh, [&] { fill(map); });
        const auto first = median_ns(size_.rounds, size_.keys, fresh,
                                     [&] { run_all(*store); });
        add("first copy and its answer", "ns", first, map_first);
        fresh();
        fill(map);
        run_all(*store);
        std::size_t found = 0;
        const auto map_find = median_ns(size_.rounds, size_.keys, nothing, [&] {
            for (const auto& key : keys_) {
                found += map.find(key)->second->status;
            }
        });
        const auto again = median_ns(size_.rounds, size_.keys, nothing, [&] {
            for (const auto& key : keys_) {
                const auto made = store->on_request(key, body, 2, start);
                found += std::get<replay_answer>(made).answer->status;
            }
        });
        add("resend that gets the same answer", "ns", again, map_find);
        const auto late = start + std::chrono::hours(1);
        const auto refill = [&] {
            store.emplace(holder, start, roomy_limits(size_));
            run_all(*store);
        };
        add("forgetting a key", "ns",
            median_ns(size_.rounds, size_.keys, refill,
                      [&] { store->tick(late); }),
            0);
    }

    void measure_hand_over() {
        std::optional<key_store> here;
        std::optional<key_store> there;
        const auto fresh = [&] {
            here.emplace(holder, start, roomy_limits(size_));
            there.emplace(asker, start, roomy_limits(size_));
        };
        add("hand-over, both sides together", "ns",
            median_ns(size_.rounds, size_.keys, fresh,
                      [&] { hand_over_all(*here, *there); }),
            0);
    }

    void hand_over_all(key_store& from, key_store& to) {
        for (const auto& key : keys_) {
            const auto asked = to.on_request(key, body, 1, start);
            const auto reply = from.on_hand_over_request(
                std::get<ask_peer>(asked).request, start);
            to.on_hand_over_reply(
                std::get<hand_over_reply>(reply.messages.front()), start);
        }
    }

    bench_size size_;
    std::vector<std::string> keys_;
    std::vector<measurement> measured_;
};

} // namespace

std::vector<measurement> measure_keys(const bench_size& size) {
    return key_bench(size).run();
}

} // namespace waxwingvale::bench
