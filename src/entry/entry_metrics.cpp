#include "entry/entry_metrics.hpp"

namespace waxwingvale::entry {

entry_metrics::entry_metrics(program::metrics& all)
    : calls(all.add_call_counter("waxwing_calls_total",
                                 "Callers' requests, by their class.")),
      refused(all.add_call_counter("waxwing_calls_refused_total",
                                   "Answered as not run.")),
      unknown(all.add_call_counter("waxwing_calls_unknown_total",
                                   "Answered as of unknown outcome.")),
      abandoned(all.add_call_counter("waxwing_calls_abandoned_total",
                                     "Callers that left before an answer.")),
      retries(all.add_call_counter("waxwing_retries_total",
                                   "Attempts after the first.")),
      hedges(all.add_call_counter("waxwing_hedges_total",
                                  "Second attempts beside a slow first.")),
      call_time(all.add_call_histogram("waxwing_call_seconds",
                                       "From arrival to answer.")),
      backend_time(all.add_call_histogram(
          "waxwing_backend_seconds", "From sending an attempt to its answer.")),
      not_understood(all.add_counter("waxwing_calls_not_understood_total",
                                     "Requests of no known service or class.")),
      bodies_not_kept(all.add_counter(
          "waxwing_calls_body_not_kept_total",
          "Long uploads not sent again, a part of their body being gone.")),
      grants_sent(all.add_counter("waxwing_grant_messages_sent_total",
                                  "Scheduler messages to other instances.")),
      grants_taken(all.add_counter("waxwing_grant_messages_received_total",
                                   "Scheduler messages of other instances.")),
      probes(all.add_counter("waxwing_probes_total",
                             "Probes sent to backend servers.")),
      limits_named(
          all.add_counter("waxwing_backend_limits_named_total",
                          "Answers in which a backend server names a limit.")),
      rests_asked(
          all.add_counter("waxwing_backend_rests_asked_total",
                          "Answers in which a backend server asks for rest.")),
      detours_sent(all.add_counter(
          "waxwing_detours_sent_total",
          "Requests handed to other instances while partitioned.")),
      detours_taken(
          all.add_counter("waxwing_detours_taken_total",
                          "Requests served for partitioned instances.")),
      reach_checks(
          all.add_counter("waxwing_reach_checks_total",
                          "Checks whether backend servers can be reached.")),
      suspicion_words_sent(all.add_counter(
          "waxwing_suspicion_words_sent_total",
          "Word of requests under suspicion, by each instance told.")),
      log_lines_dropped(all.add_counter(
          "waxwing_log_lines_dropped_total",
          "Log lines that neither the limits nor the reader took.")),
      limited_servers(
          all.add_gauge("waxwing_backend_servers_limited",
                        "Backend servers that name a limit at present.")),
      open_calls(all.add_gauge("waxwing_open_calls", "Calls without answer.")),
      process_lag(all.add_gauge(
          "waxwing_process_lag_seconds",
          "The longest lag of the process before the last summary.")),
      keys(all.add_gauge("waxwing_request_keys", "Request keys remembered.")),
      suspicions(all.add_gauge(
          "waxwing_request_suspicions",
          "Requests that were in flight when a backend server ended.")),
      partitioned(
          all.add_gauge("waxwing_backend_partitioned",
                        "1 while no backend server is reached here alone.")) {}

} // namespace waxwingvale::entry
