#pragma once

#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::entry {

// What the request path counts; docs/operations/metrics.md explains each.
struct entry_metrics {
    explicit entry_metrics(program::metrics& all);

    program::call_counter calls;
    program::call_counter refused;
    program::call_counter unknown;
    program::call_counter abandoned;
    program::call_counter retries;
    program::call_counter hedges;
    program::call_histogram call_time;
    program::call_histogram backend_time;
    program::counter not_understood;
    program::counter bodies_not_kept;
    program::counter grants_sent;
    program::counter grants_taken;
    program::counter probes;
    program::counter limits_named;
    program::counter rests_asked;
    program::counter detours_sent;
    program::counter detours_taken;
    program::counter reach_checks;
    program::counter suspicion_words_sent;
    program::counter log_lines_dropped;
    program::gauge limited_servers;
    program::gauge open_calls;
    program::gauge process_lag;
    program::gauge keys;
    program::gauge suspicions;
    program::gauge partitioned;
};

} // namespace waxwingvale::entry
