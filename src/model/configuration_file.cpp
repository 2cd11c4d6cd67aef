#include <waxwingvale/model/configuration_file.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "model/document_reader.hpp"

namespace waxwingvale {

namespace {

using namespace std::chrono_literals;

constexpr number_range data_centre_count{1, 64};
constexpr number_range tenant_count{0, 1000};
constexpr number_range service_count{0, 1000};
constexpr number_range class_count{1, 32};
constexpr number_range method_count{1, 16};
constexpr number_range backend_server_count{1, 2000};
constexpr number_range share_range{1, 1000};
constexpr number_range port_range{1, 65535};
constexpr number_range slot_range{1, 1024};
constexpr number_range connection_range{1, 65535};
constexpr number_range deadline_range{1, 600'000};     // ms
constexpr number_range typical_time_range{1, 600'000}; // ms
constexpr number_range queue_range{0, 100'000};        // requests
constexpr number_range owner_range{0, 64};             // entry instances
constexpr number_range attempt_range{0, 16};           // backend servers
constexpr number_range priority_range{0, 9};
constexpr number_range lifetime_range{1000, 86'400'000}; // ms
constexpr number_range key_range{1, 10'000'000};         // keys
constexpr number_range keep_range{100, 3'600'000};       // ms
constexpr fraction_range budget_range{0., 1.};           // of first attempts
constexpr fraction_range probe_range{0., 10.};           // calls a second

constexpr duration default_deadline = 10s;
constexpr duration default_typical_time = 20ms;
constexpr std::size_t default_queue_limit = 1000;
constexpr unsigned default_connections = 64;
constexpr duration default_key_lifetime = 10min;
constexpr std::size_t default_key_limit = 200'000;
constexpr duration default_keep_min = 5s;
constexpr duration default_keep_max = 30s;

constexpr word_meaning<request_nature> natures[] = {
    {"at_most_once", request_nature::at_most_once},
    {"retriable", request_nature::retriable}};

constexpr std::size_t path_limit = 256; // characters of a path prefix

bool is_method(const std::string& text) {
    constexpr std::size_t method_limit = 16; // characters
    return !text.empty() && text.size() <= method_limit &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool is_path_prefix(const std::string& text) {
    const auto allowed = [](char c) {
        return c > ' ' && c < '\x7f' && c != '?' && c != '#';
    };
    return !text.empty() && text.front() == '/' && text.size() <= path_limit &&
           std::all_of(text.begin(), text.end(), allowed);
}

// True when every request that the later class matches goes to the earlier.
bool hides(const request_class& earlier, const request_class& later) {
    const auto taken = [&](const std::string& method) {
        return std::find(earlier.methods.begin(), earlier.methods.end(),
                         method) != earlier.methods.end();
    };
    return later.path_prefix.compare(0, earlier.path_prefix.size(),
                                     earlier.path_prefix) == 0 &&
           std::all_of(later.methods.begin(), later.methods.end(), taken);
}

// Names seen so far; a second use of one is a problem.
class unique_names {
public:
    // The reader is the object whose field `field` holds the name.
    void take(object_reader& reader, const char* field,
              const std::string& name) {
        if (name.empty()) {
            return;
        }
        const auto placed = first_.emplace(name, reader.path_of(field));
        if (!placed.second) {
            reader.complain(field, "expected a name of its own, but " +
                                       placed.first->second + " is " + name +
                                       " too");
        }
    }

    bool knows(const std::string& name) const {
        return first_.count(name) != 0;
    }

private:
    std::map<std::string, std::string> first_; // name to path
};

// Reads one file from top to bottom; what earlier parts name, later ones may
// refer to.
class configuration_reader {
public:
    configuration read(object_reader& file);

private:
    data_centre read_data_centre(object_reader& reader);
    tenant read_tenant(object_reader& reader);
    service read_service(object_reader& reader);
    request_class read_class(object_reader& reader);
    backend_server read_backend_server(object_reader& reader);
    static service_budgets read_budgets(object_reader reader);
    void read_request_keys(object_reader reader, configuration& into) const;
    static void read_addresses(object_reader reader, configuration& into);
    static void check_methods(object_reader& reader,
                              const std::vector<std::string>& methods);
    void check_tenants(object_reader& reader,
                       const std::vector<std::string>& tenants) const;

    unique_names data_centres_;
    unique_names tenants_;
    unique_names services_;
    unique_names backend_servers_;
    unique_names endpoints_;
    duration longest_at_most_once_{};
};

configuration configuration_reader::read(object_reader& file) {
    configuration config;
    config.schema_version = static_cast<unsigned>(
        file.number("schema_version", {configuration_schema_version,
                                       configuration_schema_version}));
    for (auto& reader : file.objects("data_centres", data_centre_count)) {
        config.data_centres.push_back(read_data_centre(reader));
    }
    for (auto& reader : file.objects_or_none("tenants", tenant_count)) {
        config.tenants.push_back(read_tenant(reader));
    }
    for (auto& reader : file.objects("services", service_count)) {
        config.services.push_back(read_service(reader));
    }
    read_request_keys(file.object_or_empty("request_keys"), config);
    read_addresses(file.object_or_empty("addresses"), config);
    file.finish();
    return config;
}

data_centre configuration_reader::read_data_centre(object_reader& reader) {
    data_centre read;
    read.name = reader.name("name");
    data_centres_.take(reader, "name", read.name);
    read.region = reader.name("region");
    read.evacuated = reader.flag_or("evacuated", false);
    reader.finish();
    return read;
}

tenant configuration_reader::read_tenant(object_reader& reader) {
    tenant read;
    read.name = reader.name("name");
    tenants_.take(reader, "name", read.name);
    read.share =
        static_cast<unsigned>(reader.number_or("share", share_range, 1));
    reader.finish();
    return read;
}

service configuration_reader::read_service(object_reader& reader) {
    service read;
    read.name = reader.name("name");
    services_.take(reader, "name", read.name);
    read.tenants = reader.texts_or_none("tenants", tenant_count);
    check_tenants(reader, read.tenants);
    read.owners =
        static_cast<unsigned>(reader.number_or("owners", owner_range, 0));
    read.typical_time = reader.milliseconds_or(
        "typical_time_ms", typical_time_range, default_typical_time);
    read.health_path = reader.text_or("health_path", "");
    read.budgets = read_budgets(reader.object_or_empty("budgets"));
    unique_names class_names;
    for (auto& inner : reader.objects("classes", class_count)) {
        auto next = read_class(inner);
        class_names.take(inner, "name", next.name);
        for (const auto& earlier : read.classes) {
            if (hides(earlier, next)) {
                inner.complain("path_prefix",
                               "expected some request that is left to this "
                               "class, but class " +
                                   earlier.name + " before it takes all");
                break;
            }
        }
        read.classes.push_back(std::move(next));
    }
    for (auto& inner :
         reader.objects("backend_servers", backend_server_count)) {
        read.backend_servers.push_back(read_backend_server(inner));
    }
    reader.finish();
    return read;
}

void configuration_reader::check_tenants(
    object_reader& reader, const std::vector<std::string>& tenants) const {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        const auto field = "tenants[" + std::to_string(i) + "]";
        if (!tenants_.knows(tenants[i])) {
            reader.complain_at(field, "expected a tenant of this file, found " +
                                          object_reader::quoted(tenants[i]));
        } else if (!seen.insert(tenants[i]).second) {
            reader.complain_at(field, "expected each tenant once, found " +
                                          tenants[i] + " again");
        }
    }
}

service_budgets configuration_reader::read_budgets(object_reader reader) {
    service_budgets read;
    read.retries = reader.fraction_or("retries", budget_range, read.retries);
    read.hedges = reader.fraction_or("hedges", budget_range, read.hedges);
    read.probes =
        reader.fraction_or("probes_per_second", probe_range, read.probes);
    reader.finish();
    return read;
}

void configuration_reader::check_methods(
    object_reader& reader, const std::vector<std::string>& methods) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < methods.size(); ++i) {
        const auto field = "methods[" + std::to_string(i) + "]";
        if (!is_method(methods[i])) {
            reader.complain_at(field,
                               "expected an HTTP method in capitals, found " +
                                   object_reader::quoted(methods[i]));
        } else if (!seen.insert(methods[i]).second) {
            reader.complain_at(field, "expected each method once, found " +
                                          methods[i] + " again");
        }
    }
}

request_class configuration_reader::read_class(object_reader& reader) {
    request_class read;
    read.name = reader.name("name");
    read.methods = reader.texts("methods", method_count);
    check_methods(reader, read.methods);
    read.path_prefix = reader.text_or("path_prefix", "/");
    if (!read.path_prefix.empty() && !is_path_prefix(read.path_prefix)) {
        reader.complain("path_prefix",
                        "expected a path that begins with '/' and holds no "
                        "space, '?' or '#', found " +
                            object_reader::quoted(read.path_prefix));
    }
    read.nature = reader.word("nature", natures);
    read.deadline =
        reader.milliseconds_or("deadline_ms", deadline_range, default_deadline);
    read.queue_limit =
        reader.number_or("queue_limit", queue_range, default_queue_limit);
    read.target_latency = reader.milliseconds_or(
        "target_latency_ms", deadline_range, duration::zero());
    read.max_attempts = static_cast<unsigned>(
        reader.number_or("max_attempts", attempt_range, 0));
    read.priority =
        static_cast<unsigned>(reader.number_or("priority", priority_range, 0));
    if (read.nature == request_nature::at_most_once) {
        longest_at_most_once_ = std::max(longest_at_most_once_, read.deadline);
    }
    reader.finish();
    return read;
}

backend_server
configuration_reader::read_backend_server(object_reader& reader) {
    backend_server read;
    read.name = reader.name("name");
    backend_servers_.take(reader, "name", read.name);
    read.host = reader.ip_number("host");
    read.port = static_cast<std::uint16_t>(reader.number("port", port_range));
    if (!read.host.empty()) {
        endpoints_.take(reader, "port",
                        read.host + ":" + std::to_string(read.port));
    }
    read.data_centre = reader.name("data_centre");
    if (!read.data_centre.empty() && !data_centres_.knows(read.data_centre)) {
        reader.complain("data_centre",
                        "expected a data centre of this file, found " +
                            object_reader::quoted(read.data_centre));
    }
    read.slots = static_cast<unsigned>(reader.number("slots", slot_range));
    read.connections = static_cast<unsigned>(
        reader.number_or("connections", connection_range, default_connections));
    reader.finish();
    return read;
}

void configuration_reader::read_request_keys(object_reader reader,
                                             configuration& into) const {
    into.key_lifetime = reader.milliseconds_or("lifetime_ms", lifetime_range,
                                               default_key_lifetime);
    into.key_limit = reader.number_or("limit", key_range, default_key_limit);
    // A key forgotten while its first request may still run could not stop
    // the second run of a resend.
    if (into.key_lifetime < longest_at_most_once_) {
        reader.complain("lifetime_ms",
                        "expected at least the longest deadline of an "
                        "at_most_once class, " +
                            std::to_string(longest_at_most_once_ / 1ms));
    }
    reader.finish();
}

void configuration_reader::read_addresses(object_reader reader,
                                          configuration& into) {
    into.address_keep_min =
        reader.milliseconds_or("keep_min_ms", keep_range, default_keep_min);
    into.address_keep_max =
        reader.milliseconds_or("keep_max_ms", keep_range, default_keep_max);
    if (into.address_keep_max < into.address_keep_min) {
        reader.complain("keep_max_ms",
                        "expected at least keep_min_ms, " +
                            std::to_string(into.address_keep_min / 1ms));
    }
    reader.finish();
}

configuration read_configuration(std::string_view text,
                                 document_problems& problems) {
    const auto document =
        parse_document(text, configuration_size_limit, problems);
    if (!problems.empty()) {
        return {};
    }
    object_reader file(document, "", problems);
    return configuration_reader().read(file);
}

document_problems problems_of(std::string_view file_name) {
    return {"check configuration", std::string(file_name)};
}

} // namespace

result<configuration> parse_configuration(std::string_view text,
                                          std::string_view file_name,
                                          std::uint64_t revision) {
    auto problems = problems_of(file_name);
    auto config = read_configuration(text, problems);
    if (!problems.empty()) {
        return problems.errors().front();
    }
    config.revision = revision;
    return config;
}

std::vector<error> check_configuration(std::string_view text,
                                       std::string_view file_name) {
    auto problems = problems_of(file_name);
    read_configuration(text, problems);
    return problems.errors();
}

} // namespace waxwingvale
