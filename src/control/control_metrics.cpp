#include "control/control_metrics.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::control {

namespace {

// A count and where it is found.
template <typename Counters>
struct counted_member {
    const char* name;
    const char* help;
    std::uint64_t Counters::*from;
};

constexpr counted_member<io::message_hub_counters> link_counts[] = {
    {"waxwing_link_messages_in_total", "Messages received over links.",
     &io::message_hub_counters::messages_in},
    {"waxwing_link_messages_out_total", "Messages sent over links.",
     &io::message_hub_counters::messages_out},
    {"waxwing_link_bytes_in_total", "Bytes received over links.",
     &io::message_hub_counters::bytes_in},
    {"waxwing_link_bytes_out_total", "Bytes sent over links.",
     &io::message_hub_counters::bytes_out},
    {"waxwing_links_opened_total", "Links opened and authenticated.",
     &io::message_hub_counters::links_opened},
    {"waxwing_links_closed_total", "Authenticated links closed.",
     &io::message_hub_counters::links_closed},
    {"waxwing_link_connects_failed_total", "Connections that did not open.",
     &io::message_hub_counters::connects_failed},
    {"waxwing_link_refused_malformed_total", "Links closed: not decodable.",
     &io::message_hub_counters::refused_malformed},
    {"waxwing_link_refused_unauthenticated_total",
     "Links closed: peer did not prove who it is.",
     &io::message_hub_counters::refused_unauthenticated},
    {"waxwing_link_refused_replayed_total", "Links closed: message replayed.",
     &io::message_hub_counters::refused_replayed},
    {"waxwing_link_refused_too_large_total", "Messages over the size limit.",
     &io::message_hub_counters::refused_too_large},
    {"waxwing_link_dropped_slow_total", "Links closed: peer read too slowly.",
     &io::message_hub_counters::dropped_slow},
    {"waxwing_link_dropped_silent_total", "Links closed: nothing was heard.",
     &io::message_hub_counters::dropped_silent},
};

constexpr counted_member<io::platform_counters> platform_counts[] = {
    {"waxwing_platform_reads_total", "Reads of the platform, watches too.",
     &io::platform_counters::reads},
    {"waxwing_platform_values_total", "Reads that brought a value.",
     &io::platform_counters::values},
    {"waxwing_platform_unchanged_total", "Watches that ended unchanged.",
     &io::platform_counters::unchanged},
    {"waxwing_platform_unpublished_total", "Reads of unpublished values.",
     &io::platform_counters::unpublished},
    {"waxwing_platform_relists_total", "Reads anew: changes were forgotten.",
     &io::platform_counters::relists},
    {"waxwing_platform_failed_total", "Reads that failed.",
     &io::platform_counters::failed},
    {"waxwing_platform_malformed_total", "Answers not understood.",
     &io::platform_counters::malformed},
};

constexpr counted_member<membership::configuration_counters>
    configuration_counts[] = {
        {"waxwing_configuration_accepted_total", "Files put in force.",
         &membership::configuration_counters::accepted},
        {"waxwing_configuration_refused_total", "Newer files not valid.",
         &membership::configuration_counters::refused},
        {"waxwing_configuration_older_total", "Files older than in force.",
         &membership::configuration_counters::older},
        {"waxwing_configuration_conflicting_total",
         "Other files under a revision already seen.",
         &membership::configuration_counters::conflicting},
};

constexpr counted_member<membership::exchange_counters> exchange_counts[] = {
    {"waxwing_exchange_digests_sent_total", "Digests sent to peers.",
     &membership::exchange_counters::digests_sent},
    {"waxwing_exchange_digests_differed_total", "Digests that differed.",
     &membership::exchange_counters::digests_differed},
    {"waxwing_exchange_records_requested_total",
     "Times that a peer was asked for its records.",
     &membership::exchange_counters::record_requests},
    {"waxwing_exchange_feeds_changed_total",
     "Peers whose news was asked for, or no longer.",
     &membership::exchange_counters::upstream_changes},
    {"waxwing_exchange_records_sent_total", "Records sent to peers.",
     &membership::exchange_counters::records_sent},
    {"waxwing_exchange_records_received_total", "Records from peers.",
     &membership::exchange_counters::records_received},
    {"waxwing_exchange_configurations_requested_total",
     "Times that a peer was asked for a file.",
     &membership::exchange_counters::configurations_requested},
    {"waxwing_exchange_configurations_sent_total", "Files sent to peers.",
     &membership::exchange_counters::configurations_sent},
    {"waxwing_exchange_configurations_received_total", "Files from peers.",
     &membership::exchange_counters::configurations_received},
    {"waxwing_exchange_configurations_malformed_total",
     "Files from peers that did not unpack.",
     &membership::exchange_counters::configurations_malformed},
    {"waxwing_exchange_accusations_total", "Peers found silent.",
     &membership::exchange_counters::accusations},
};

std::uint64_t members_in(const knowledge& known, member_state state) {
    const auto all = known.members.members();
    return static_cast<std::uint64_t>(
        std::count_if(all.begin(), all.end(), [state](const auto& each) {
            return each.state == state;
        }));
}

} // namespace

control_metrics::control_metrics(program::metrics& to,
                                 const io::message_hub& hub,
                                 const io::platform_client& platform,
                                 const knowledge& known,
                                 const view_publisher& views,
                                 const peer_links& peers)
    : metrics_(to), hub_(hub) {
    add_link_metrics(hub);
    add_platform_metrics(platform);
    add_knowledge_metrics(known);
    add_exchange_metrics(views, peers);
}

void control_metrics::count(const char* name, const char* help, reading from) {
    counters_.push_back({metrics_.add_counter(name, help), std::move(from), 0});
}

void control_metrics::show(const char* name, const char* help, reading from) {
    gauges_.push_back({metrics_.add_gauge(name, help), std::move(from)});
}

void control_metrics::add_link_metrics(const io::message_hub& hub) {
    for (const auto& each : link_counts) {
        count(each.name, each.help,
              [&hub, from = each.from] { return hub.counters().*from; });
    }
    show("waxwing_links", "Entry instances linked with.",
         [&hub] { return hub.connected_peers().size(); });
}

void control_metrics::add_platform_metrics(
    const io::platform_client& platform) {
    for (const auto& each : platform_counts) {
        count(each.name, each.help, [&platform, from = each.from] {
            return platform.counters().*from;
        });
    }
    show("waxwing_platform_answers", "1: the last read was answered.",
         [&platform] { return platform.answers() ? 1U : 0U; });
}

void control_metrics::add_knowledge_metrics(const knowledge& known) {
    for (const auto& each : configuration_counts) {
        count(each.name, each.help, [&known, from = each.from] {
            return known.configurations.counters().*from;
        });
    }
    show("waxwing_configuration_revision", "Revision in force.",
         [&known] { return known.configurations.revision(); });
    show("waxwing_configuration_refused_revision",
         "Newer revision that was refused, or 0.",
         [&known] { return known.configurations.refused_revision(); });
    show("waxwing_members_alive", "Entry instances alive.",
         [&known] { return members_in(known, member_state::alive); });
    show("waxwing_members_suspect", "Entry instances suspected.",
         [&known] { return members_in(known, member_state::suspect); });
    show("waxwing_members_leaving", "Entry instances leaving.",
         [&known] { return members_in(known, member_state::leaving); });
    show("waxwing_members_gone", "Entry instances gone.",
         [&known] { return members_in(known, member_state::gone); });
    show("waxwing_quarantined", "Fingerprints in quarantine.",
         [&known] { return known.refused_requests().size(); });
    show("waxwing_backend_servers_registered", "Found in the registry.",
         [&known] {
             return known.registry.records().size() -
                    known.registry.evacuations().size();
         });
    show("waxwing_evacuations", "Data centres ordered to be evacuated.",
         [&known] { return known.registry.evacuations().size(); });
    count("waxwing_published_items_unreadable_total",
          "Published items that could not be read, each time.",
          [&known] { return known.unreadable.seen(); });
    show("waxwing_view_fresh", "1: heard of since the last wake-up.",
         [&known] { return known.fresh.fresh() ? 1U : 0U; });
    show("waxwing_configuration_proved",
         "1: the platform had no newer one a moment ago.", [&known] {
             return known.standing == configuration_standing::current ? 1U : 0U;
         });
    count("waxwing_late_wakeups_total", "Times the process had been stopped.",
          [&known] { return known.fresh.late_wakeups(); });
    show("waxwing_runs_late", "1: it runs late again and again.",
         [&known] { return known.members.self().runs_late ? 1U : 0U; });
    count("waxwing_belief_changes_total", "Changes of backend beliefs.",
          [&known] { return known.beliefs.counters().changes; });
    count("waxwing_beliefs_over_limit_total", "Beliefs not taken: too many.",
          [&known] { return known.beliefs.counters().over_limit; });
}

void control_metrics::add_exchange_metrics(const view_publisher& views,
                                           const peer_links& peers) {
    for (const auto& each : exchange_counts) {
        count(each.name, each.help, [&peers, from = each.from] {
            return peers.exchange().counters().*from;
        });
    }
    show("waxwing_configuration_named_revision",
         "Newest revision that a peer had in force.",
         [&peers] { return peers.exchange().files().named(); });
    show("waxwing_news_listeners", "Instances that listen to this one.",
         [&peers] { return peers.exchange().tree().subscribers().size(); });
    count("waxwing_messages_malformed_total",
          "Messages of authenticated peers not understood.",
          [&peers] { return peers.malformed(); });
    show("waxwing_backend_servers_evacuated",
         "Backend servers that get nothing, their data centre being evacuated.",
         [&views] {
             return views.last_view()
                        ? views.last_view()->evacuated_servers.size()
                        : 0;
         });
    show("waxwing_view_serial", "Serial of the last view.", [&views] {
        return views.last_view() ? views.last_view()->serial : 0;
    });
}

control_metrics::copied_traffic&
control_metrics::traffic_of(const io::traffic_class& which) {
    const auto known = traffic_.find(which);
    if (known != traffic_.end()) {
        return known->second;
    }
    const program::metrics::labels labels = {{"kind", which.kind},
                                             {"to", which.crosses_data_centres
                                                        ? "other-data-centre"
                                                        : "same-data-centre"}};
    const copied_traffic made{
        metrics_.add_counter("waxwing_link_messages_by_kind_total",
                             "Messages sent over links, by kind.", labels),
        metrics_.add_counter("waxwing_link_payload_bytes_by_kind_total",
                             "Bytes of messages sent over links, by kind.",
                             labels),
        {}};
    return traffic_.emplace(which, made).first->second;
}

void control_metrics::copy_traffic() {
    for (const auto& [which, sum] : hub_.traffic().sent()) {
        auto& to = traffic_of(which);
        to.messages.add(static_cast<double>(sum.messages - to.copied.messages));
        to.bytes.add(static_cast<double>(sum.bytes - to.copied.bytes));
        to.copied = sum;
    }
}

void control_metrics::update() {
    copy_traffic();
    for (auto& each : counters_) {
        const auto total = each.from();
        each.to.add(static_cast<double>(total - each.copied));
        each.copied = total;
    }
    for (const auto& each : gauges_) {
        each.to.set(static_cast<double>(each.from()));
    }
}

} // namespace waxwingvale::control
