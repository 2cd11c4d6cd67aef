#pragma once

#include <cstddef>
#include <cstdint>

#include <map>
#include <memory>
#include <string>
#include <tuple>

#include <waxwingvale/forwarding/caller_server.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/time.hpp>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template <typename T>
class Family;
} // namespace prometheus

namespace waxwingvale::program {

// Names one kind of call in metrics.
struct call_labels {
    std::string tenant;
    std::string service;
    std::string request_class;

    friend bool operator<(const call_labels& a, const call_labels& b) {
        return std::tie(a.tenant, a.service, a.request_class) <
               std::tie(b.tenant, b.service, b.request_class);
    }
};

// Most different label sets of one metric. Callers choose their tenant's name
// and path, so that without a bound they could fill the memory; what comes
// past it is counted under "other".
constexpr std::size_t label_set_limit = 512;

// A number that only grows. Handles stay valid as long as their metrics.
class counter {
public:
    explicit counter(prometheus::Counter& of) : of_(&of) {}
    void add(double amount = 1) const;

private:
    prometheus::Counter* of_;
};

// A number that goes up and down.
class gauge {
public:
    explicit gauge(prometheus::Gauge& of) : of_(&of) {}
    void set(double value) const;

private:
    prometheus::Gauge* of_;
};

// A histogram of durations, in seconds as Prometheus has them.
class duration_histogram {
public:
    explicit duration_histogram(prometheus::Histogram& of) : of_(&of) {}
    void observe(duration took) const;

private:
    prometheus::Histogram* of_;
};

// One counter for each kind of call.
class call_counter {
public:
    explicit call_counter(prometheus::Family<prometheus::Counter>& family)
        : family_(&family) {}
    void add(const call_labels& labels, double amount = 1);

private:
    prometheus::Family<prometheus::Counter>* family_;
    std::map<call_labels, prometheus::Counter*> known_;
};

// One histogram of durations for each kind of call.
class call_histogram {
public:
    explicit call_histogram(prometheus::Family<prometheus::Histogram>& family)
        : family_(&family) {}
    void observe(const call_labels& labels, duration took);

private:
    prometheus::Family<prometheus::Histogram>* family_;
    std::map<call_labels, prometheus::Histogram*> known_;
};

// The metrics of one process. Names begin with "waxwing_"; counters end in
// "_total", histograms in "_seconds". A name asked for again with other labels
// is the same metric. No thread is started: serve text() over HTTP.
class metrics {
public:
    using labels = std::map<std::string, std::string>;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    counter add_counter(const std::string& name, const std::string& help,
                        const labels& with = {});
    gauge add_gauge(const std::string& name, const std::string& help,
                    const labels& with = {});
    duration_histogram add_histogram(const std::string& name,
                                     const std::string& help,
                                     const labels& with = {});
    call_counter add_call_counter(const std::string& name,
                                  const std::string& help);
    call_histogram add_call_histogram(const std::string& name,
                                      const std::string& help);

    // All metrics in Prometheus' text format.
    std::string text() const;

private:
    std::unique_ptr<prometheus::Registry> registry_;
};

// The answer to GET /metrics.
io::http_response metrics_response(const metrics& of);

// Serves /metrics and /healthz on a port of its own, for programs that have no
// administration API.
class metrics_endpoint {
public:
    metrics_endpoint(kernel::event_loop& loop, kernel::timer_service& timers,
                     const metrics& of,
                     forwarding::caller_server_options options);
    result<void> start();
    std::uint16_t port() const { return server_.port(); }

private:
    const metrics& metrics_;
    forwarding::caller_server server_;
};

} // namespace waxwingvale::program
