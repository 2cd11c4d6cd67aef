#include <waxwingvale/program/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace waxwingvale::program {

namespace {

constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;

// Upper bounds in seconds: dense where the time added to a call lies, and up
// to the longest deadlines.
const prometheus::Histogram::BucketBoundaries& duration_buckets() {
    static const prometheus::Histogram::BucketBoundaries bounds{
        0.0001, 0.0002, 0.0004, 0.0006, 0.001, 0.002, 0.005, 0.01, 0.02,
        0.05,   0.1,    0.2,    0.5,    1.,    2.,    5.,    10.,  30.};
    return bounds;
}

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

// The labels under which a call is counted, given those known already.
template <typename Known>
call_labels bounded(const Known& known, const call_labels& wanted) {
    const bool room =
        known.count(wanted) != 0 || known.size() < label_set_limit;
    return room ? wanted : call_labels{"other", "other", "other"};
}

std::map<std::string, std::string> as_map(const call_labels& labels) {
    return {{"tenant", labels.tenant},
            {"service", labels.service},
            {"class", labels.request_class}};
}

} // namespace

void counter::add(double amount) const {
    of_->Increment(amount);
}

void gauge::set(double value) const {
    of_->Set(value);
}

void duration_histogram::observe(duration took) const {
    of_->Observe(seconds(took));
}

void call_counter::add(const call_labels& labels, double amount) {
    const auto under = bounded(known_, labels);
    auto& counted = known_[under];
    if (counted == nullptr) {
        counted = &family_->Add(as_map(under));
    }
    counted->Increment(amount);
}

void call_histogram::observe(const call_labels& labels, duration took) {
    const auto under = bounded(known_, labels);
    auto& observed = known_[under];
    if (observed == nullptr) {
        observed = &family_->Add(as_map(under), duration_buckets());
    }
    observed->Observe(seconds(took));
}

metrics::metrics()
    : registry_(std::make_unique<prometheus::Registry>(
          prometheus::Registry::InsertBehavior::Merge)) {}

metrics::~metrics() = default;

counter metrics::add_counter(const std::string& name, const std::string& help,
                             const labels& with) {
    return counter(prometheus::BuildCounter()
                       .Name(name)
                       .Help(help)
                       .Register(*registry_)
                       .Add(with));
}

gauge metrics::add_gauge(const std::string& name, const std::string& help,
                         const labels& with) {
    return gauge(prometheus::BuildGauge()
                     .Name(name)
                     .Help(help)
                     .Register(*registry_)
                     .Add(with));
}

duration_histogram metrics::add_histogram(const std::string& name,
                                          const std::string& help,
                                          const labels& with) {
    return duration_histogram(prometheus::BuildHistogram()
                                  .Name(name)
                                  .Help(help)
                                  .Register(*registry_)
                                  .Add(with, duration_buckets()));
}

call_counter metrics::add_call_counter(const std::string& name,
                                       const std::string& help) {
    return call_counter(
        prometheus::BuildCounter().Name(name).Help(help).Register(*registry_));
}

call_histogram metrics::add_call_histogram(const std::string& name,
                                           const std::string& help) {
    return call_histogram(
        prometheus::BuildHistogram().Name(name).Help(help).Register(
            *registry_));
}

std::string metrics::text() const {
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

io::http_response metrics_response(const metrics& of) {
    return {200,
            {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}},
            of.text()};
}

metrics_endpoint::metrics_endpoint(kernel::event_loop& loop,
                                   kernel::timer_service& timers,
                                   const metrics& of,
                                   forwarding::caller_server_options options)
    : metrics_(of), server_(loop, timers, std::move(options)) {
    server_.change_limits(forwarding::small_requests());
}

result<void> metrics_endpoint::start() {
    return server_.start([this](const forwarding::caller_exchange_ptr& caller) {
        const auto& request = caller->request();
        if (request.method != "GET") {
            caller->answer({status_method_not_allowed, {{"Allow", "GET"}}, ""});
        } else if (request.target == "/metrics") {
            caller->answer(metrics_response(metrics_));
        } else if (request.target == "/healthz") {
            caller->answer({200, {}, "ok\n"});
        } else {
            caller->answer({status_not_found, {}, "not found\n"});
        }
    });
}

} // namespace waxwingvale::program
