#include <nlohmann/json.hpp>
#include <waxwingvale/model/configuration_file.hpp>

namespace waxwingvale {

namespace {

using json = nlohmann::ordered_json;

std::int64_t to_ms(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

json write(const data_centre& value) {
    json written = {{"name", value.name}, {"region", value.region}};
    if (value.evacuated) {
        written["evacuated"] = true;
    }
    return written;
}

json write(const tenant& value) {
    return {{"name", value.name}, {"share", value.share}};
}

json write(const service_budgets& value) {
    return {{"retries", value.retries},
            {"hedges", value.hedges},
            {"probes_per_second", value.probes}};
}

json write(const request_class& value) {
    const bool retriable = value.nature == request_nature::retriable;
    json written = {{"name", value.name},
                    {"methods", value.methods},
                    {"path_prefix", value.path_prefix},
                    {"nature", retriable ? "retriable" : "at_most_once"},
                    {"deadline_ms", to_ms(value.deadline)},
                    {"queue_limit", value.queue_limit},
                    {"max_attempts", value.max_attempts},
                    {"priority", value.priority}};
    if (value.target_latency > duration::zero()) {
        written["target_latency_ms"] = to_ms(value.target_latency);
    }
    return written;
}

json write(const backend_server& value) {
    return {{"name", value.name},   {"host", value.host},
            {"port", value.port},   {"data_centre", value.data_centre},
            {"slots", value.slots}, {"connections", value.connections}};
}

json write(const service& value);

template <typename Value>
json write_each(const std::vector<Value>& values) {
    auto written = json::array();
    for (const auto& value : values) {
        written.push_back(write(value));
    }
    return written;
}

json write(const service& value) {
    json written = {{"name", value.name},
                    {"tenants", value.tenants},
                    {"owners", value.owners},
                    {"typical_time_ms", to_ms(value.typical_time)},
                    {"budgets", write(value.budgets)},
                    {"classes", write_each(value.classes)},
                    {"backend_servers", write_each(value.backend_servers)}};
    if (!value.health_path.empty()) {
        written["health_path"] = value.health_path;
    }
    return written;
}

} // namespace

std::string write_configuration(const configuration& config) {
    const json file = {{"schema_version", config.schema_version},
                       {"data_centres", write_each(config.data_centres)},
                       {"tenants", write_each(config.tenants)},
                       {"request_keys",
                        {{"lifetime_ms", to_ms(config.key_lifetime)},
                         {"limit", config.key_limit}}},
                       {"addresses",
                        {{"keep_min_ms", to_ms(config.address_keep_min)},
                         {"keep_max_ms", to_ms(config.address_keep_max)}}},
                       {"services", write_each(config.services)}};
    constexpr int indent = 2;
    return file.dump(indent) + "\n";
}

} // namespace waxwingvale
