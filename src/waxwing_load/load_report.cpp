#include "waxwing_load/load_report.hpp"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace waxwingvale::load {

namespace {

using nlohmann::ordered_json;

constexpr double us_per_ms = 1000;

struct named_quantile {
    const char* name;
    double part;
};

constexpr std::array<named_quantile, 4> quantiles = {
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}}};

constexpr std::array<call_end, 6> all_ends = {
    call_end::answered, call_end::failed, call_end::refused,
    call_end::unknown,  call_end::lost,   call_end::foreign};

double in_ms(duration value) {
    return static_cast<double>(value.count()) / us_per_ms;
}

template <typename... Values>
std::string print(const char* format, Values... values) {
    std::array<char, 256> line{};
    std::snprintf(line.data(), line.size(), format, values...);
    return line.data();
}

ordered_json latencies(const latency_histogram& of) {
    ordered_json found;
    for (const auto& each : quantiles) {
        found[each.name] = in_ms(of.quantile(each.part));
    }
    found["max"] = in_ms(of.max());
    return found;
}

ordered_json describe(const call_tally& tally) {
    ordered_json found;
    found["calls"] = tally.calls();
    found["not_sent"] = tally.calls_not_sent();
    found["attempts"] = tally.attempts();
    for (const auto end : all_ends) {
        found["ends"][to_string(end)] = tally.count(end);
    }
    found["statuses"] = ordered_json::object();
    for (const auto& each : tally.statuses()) {
        found["statuses"][std::to_string(each.first)] = each.second;
    }
    found["outcomes"] = tally.outcomes();
    found["reasons"] = tally.reasons();
    found["latency_ms"] = latencies(tally.latency());
    found["send_lag_ms"] = latencies(tally.lag());
    return found;
}

std::string row(const char* name, const call_tally& tally) {
    auto text = print("%-8s %9llu", name,
                      static_cast<unsigned long long>(tally.calls()));
    for (const auto end : all_ends) {
        text +=
            print(" %9llu", static_cast<unsigned long long>(tally.count(end)));
    }
    for (const auto& each : quantiles) {
        text += print(" %9.3f", in_ms(tally.latency().quantile(each.part)));
    }
    return text + print(" %9.3f\n", in_ms(tally.latency().max()));
}

double added(const load_result& found, double part) {
    return in_ms(found.through.latency().quantile(part) -
                 found.direct.latency().quantile(part));
}

bool compares(const load_result& found) {
    return found.through.calls() > 0 && found.direct.calls() > 0;
}

std::string notes(const load_options& options, const load_result& found) {
    std::string text;
    if (compares(found)) {
        text +=
            print("added by going through: %.3f ms at p50, %.3f ms at "
                  "p99, %.3f ms at p99.9\n",
                  added(found, 0.5), added(found, 0.99), added(found, 0.999));
    }
    const auto not_sent =
        found.through.calls_not_sent() + found.direct.calls_not_sent();
    if (not_sent > 0) {
        text += print("not sent, --open-limit reached: %llu\n",
                      static_cast<unsigned long long>(not_sent));
    }
    latency_histogram lag = found.through.lag();
    lag.merge(found.direct.lag());
    text += print("sent after the due time: %.3f ms at p99; seed %llu\n",
                  in_ms(lag.quantile(0.99)),
                  static_cast<unsigned long long>(options.seed));
    return text;
}

} // namespace

std::string table_of(const load_options& options, const load_result& found) {
    auto text = print("%-8s %9s", "way", "calls");
    for (const auto end : all_ends) {
        text += print(" %9s", to_string(end));
    }
    for (const auto& each : quantiles) {
        text += print(" %6s ms", each.name);
    }
    text += print(" %6s ms\n", "max");
    if (!options.steers.empty()) {
        text += row("through", found.through);
    }
    if (!options.direct.empty()) {
        text += row("direct", found.direct);
    }
    return text + notes(options, found);
}

std::string json_of(const load_options& options, const load_result& found) {
    ordered_json report;
    report["seed"] = options.seed;
    report["askings"] = found.askings;
    if (!options.steers.empty()) {
        report["through"] = describe(found.through);
    }
    if (!options.direct.empty()) {
        report["direct"] = describe(found.direct);
    }
    if (compares(found)) {
        for (const auto& each : quantiles) {
            report["added_ms"][each.name] = added(found, each.part);
        }
    }
    return report.dump(2) + "\n";
}

bool nothing_lost(const load_result& found) {
    const auto whole = [](const call_tally& tally) {
        return tally.count(call_end::lost) == 0 &&
               tally.count(call_end::foreign) == 0 &&
               tally.calls_not_sent() == 0;
    };
    return whole(found.through) && whole(found.direct);
}

} // namespace waxwingvale::load
