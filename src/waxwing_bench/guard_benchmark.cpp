#include "waxwing_bench/guard_benchmark.hpp"

#include <string>
#include <vector>

#include <waxwingvale/decision/fingerprint.hpp>
#include <waxwingvale/decision/hedge_policy.hpp>
#include <waxwingvale/decision/probe_budget.hpp>
#include <waxwingvale/decision/quarantine.hpp>
#include <waxwingvale/decision/retry_policy.hpp>

namespace waxwingvale::bench {
namespace {

using namespace decision;

constexpr std::size_t calls = 100000;
constexpr std::size_t suspects = 4000;
constexpr std::size_t backend_servers = 740;
const time_point start{};

void nothing() {}

measurement ns_for(const bench_size& size, const char* what,
                   const std::function<void()>& work) {
    return {what, "ns", median_ns(size.rounds, calls, nothing, work), 0};
}

measurement measure_fingerprint(const bench_size& size, const char* what,
                                std::size_t body_bytes) {
    const std::string body(body_bytes, 'x');
    std::uint64_t sum = 0;
    return ns_for(size, what, [&] {
        for (std::size_t call = 0; call < calls; ++call) {
            sum += fingerprint_of("assign-desk", "POST", "/games/4711/confirm",
                                  body)
                       .value;
        }
    });
}

measurement measure_crash_fingerprint(const bench_size& size) {
    const std::vector<fingerprint_header> headers{
        {"Accept", "application/json"},
        {"Accept-Language", "en-US,en;q=0.9"},
        {"Authorization", "Bearer " + std::string(64, 't')},
        {"Content-Type", "application/json"},
        {"User-Agent", "roster-phone/4.2 (Android 14)"},
        {"Waxwing-Tenant", "leagues"},
        {"X-Request-Id", "0f8fad5b-d9cb-469f-a165-70867728950e"},
        {"traceparent", "00-0af7651916cd43dd8448eb211c80319c-01"}};
    const std::string body(200, 'x');
    std::uint64_t sum = 0;
    return ns_for(size, "crash fingerprint, 8 headers", [&] {
        for (std::size_t call = 0; call < calls; ++call) {
            sum += crash_fingerprint_of("assign-desk", "POST",
                                        "/games/4711/confirm", body, headers)
                       .value;
        }
    });
}

measurement measure_quarantine(const bench_size& size) {
    quarantine guard("sea-1", {});
    for (std::uint64_t at = 0; at < suspects; ++at) {
        guard.on_backend_died({"b0", at}, {request_fingerprint{at}}, start);
    }
    std::size_t normal = 0;
    return ns_for(size, "quarantine among 4000 suspects", [&] {
        for (std::uint64_t call = 0; call < calls; ++call) {
            const auto made =
                guard.admit(request_fingerprint{call + suspects}, start);
            normal += std::holds_alternative<run_normally>(made) ? 1 : 0;
        }
    });
}

measurement measure_retries(const bench_size& size) {
    retry_policy policy({});
    failed_attempt failed;
    failed.nature = request_nature::retriable;
    failed.deadline = start + std::chrono::seconds(1);
    std::size_t retried = 0;
    return ns_for(size, "retry decision", [&] {
        for (std::size_t call = 0; call < calls; ++call) {
            policy.on_first_attempt();
            retried += policy.on_failed(failed, start).index();
        }
    });
}

measurement measure_hedges(const bench_size& size) {
    hedge_policy policy({});
    hedge_candidate candidate;
    candidate.nature = request_nature::retriable;
    candidate.deadline = start + std::chrono::seconds(1);
    candidate.free_slots = 1;
    std::size_t hedged = 0;
    return ns_for(size, "latency recorded and hedge decision", [&] {
        for (std::size_t call = 0; call < calls; ++call) {
            policy.on_first_attempt();
            policy.on_latency(duration(1000 + call % 1000));
            hedged +=
                policy
                    .on_slow(candidate, start + std::chrono::milliseconds(100))
                    .index();
        }
    });
}

measurement measure_probes(const bench_size& size) {
    probe_budget budget({});
    budget.set_reachable_share(1, start);
    for (std::size_t at = 0; at < backend_servers; ++at) {
        budget.on_ownership_gained("backend-" + std::to_string(at), start);
    }
    std::size_t granted = 0;
    return ns_for(size, "probe decision among 740 servers", [&] {
        for (std::size_t call = 0; call < calls; ++call) {
            const auto name =
                "backend-" + std::to_string(call % backend_servers);
            granted += budget.try_probe(name, start) ? 1 : 0;
        }
    });
}

} // namespace

std::vector<measurement> measure_guards(const bench_size& size) {
    constexpr std::size_t small_body = 200;
    constexpr std::size_t large_body = 10000;
    return {measure_fingerprint(size, "fingerprint, 200 byte body", small_body),
            measure_fingerprint(size, "fingerprint, 10 kB body", large_body),
            measure_crash_fingerprint(size),
            measure_quarantine(size),
            measure_retries(size),
            measure_hedges(size),
            measure_probes(size)};
}

} // namespace waxwingvale::bench
