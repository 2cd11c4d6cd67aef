#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "control/knowledge.hpp"
#include "control/peer_links.hpp"
#include "control/view_publisher.hpp"
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/io/platform_client.hpp>
#include <waxwingvale/program/metrics.hpp>

namespace waxwingvale::control {

// Copies the parts' own counts into the process's metrics. The parts count in
// plain numbers, so that those that are pure stay so.
class control_metrics {
public:
    control_metrics(program::metrics& to, const io::message_hub& hub,
                    const io::platform_client& platform, const knowledge& known,
                    const view_publisher& views, const peer_links& peers);

    void update();

private:
    using reading = std::function<std::uint64_t()>;
    struct copied_counter {
        program::counter to;
        reading from;
        std::uint64_t copied = 0;
    };
    struct copied_gauge {
        program::gauge to;
        reading from;
    };

    // What was sent over links of one class, as copied last.
    struct copied_traffic {
        program::counter messages;
        program::counter bytes;
        io::traffic_sum copied;
    };

    void count(const char* name, const char* help, reading from);
    void show(const char* name, const char* help, reading from);
    void add_link_metrics(const io::message_hub& hub);
    void add_platform_metrics(const io::platform_client& platform);
    void add_knowledge_metrics(const knowledge& known);
    void add_exchange_metrics(const view_publisher& views,
                              const peer_links& peers);

    void copy_traffic();
    copied_traffic& traffic_of(const io::traffic_class& which);

    program::metrics& metrics_;
    const io::message_hub& hub_;
    std::vector<copied_counter> counters_;
    std::vector<copied_gauge> gauges_;
    std::map<io::traffic_class, copied_traffic> traffic_;
};

} // namespace waxwingvale::control
