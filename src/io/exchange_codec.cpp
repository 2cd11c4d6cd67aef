#include "io/exchange_codec.hpp"

#include <algorithm>
#include <map>

#include "io/model_codec.hpp"
#include "io/registry_codec.hpp"

namespace waxwingvale::io {

namespace {

using membership::belief_record;
using membership::configuration_message;
using membership::configuration_request;
using membership::crash_verdict;
using membership::death_record;
using membership::digest_buckets;
using membership::digest_message;
using membership::exchange_message;
using membership::member_record;
using membership::platform_status;
using membership::records_message;
using membership::records_request;
using membership::registry_record;
using membership::revision_message;
using membership::subscription_change;
using nlohmann::json;

constexpr const char* decode_step = "decode peer's message";

// Beside those below, for the templates.
using io::read;
using io::write;

// No message may make us hold more records than this.
constexpr std::size_t record_limit = 16384;

json write(const member_record& value, time_point) {
    auto list = write_member(membership::to_member(value));
    list.push_back(value.assertion);
    list.push_back(static_cast<unsigned>(value.life));
    list.push_back(value.leaving);
    list.push_back(value.partitioned);
    list.push_back(value.addresses.detour_port);
    if (value.runs_late) {
        list.push_back(true); // rare, and most bytes are those of records
    }
    return list;
}

// Instances of an earlier release know of no partitions and take no requests of
// partitioned peers.
void read_partition(const json& from, member_record& value) {
    constexpr std::size_t size_with_partition = 15;
    if (from.size() >= size_with_partition) {
        value.partitioned = from.at(13).get<bool>();
        value.addresses.detour_port = read_number<std::uint16_t>(from.at(14));
    }
    value.runs_late = from.size() > size_with_partition &&
                      from.at(size_with_partition).get<bool>();
}

void read(const json& from, time_point, member_record& value) {
    const auto base = read_member(from);
    value.id = base.id;
    value.data_centre = base.data_centre;
    value.addresses = base.addresses;
    value.capacity = base.capacity;
    value.assertion = read_number<std::uint64_t>(from.at(10));
    value.life = read_enum(from.at(11), membership::liveness::gone);
    value.leaving = from.at(12).get<bool>();
    read_partition(from, value);
}

json write(const belief_record& value, time_point now) {
    return json::array({value.backend_server, value.incarnation, value.version,
                        value.dead, value.leaving,
                        static_cast<unsigned>(value.source), value.observer,
                        age_of(value.since, now)});
}

void read(const json& from, time_point now, belief_record& value) {
    value.backend_server = from.at(0).get<std::string>();
    value.incarnation = read_number<std::uint64_t>(from.at(1));
    value.version = read_number<std::uint64_t>(from.at(2));
    value.dead = from.at(3).get<bool>();
    value.leaving = from.at(4).get<bool>();
    value.source = read_enum(from.at(5), belief_source::peer);
    value.observer = from.at(6).get<std::string>();
    value.since = moment_of(read_age(from.at(7)), now);
}

json write(const crash_verdict& value, time_point now) {
    return json::array(
        {value.fingerprint, value.observer, age_of(value.since, now)});
}

void read(const json& from, time_point now, crash_verdict& value) {
    value.fingerprint = read_number<std::uint64_t>(from.at(0));
    value.observer = from.at(1).get<std::string>();
    value.since = moment_of(read_age(from.at(2)), now);
}

json write(const death_record& value, time_point now) {
    return json::array({value.fingerprint, value.backend_server,
                        value.incarnation, value.alone,
                        age_of(value.since, now)});
}

void read(const json& from, time_point now, death_record& value) {
    value.fingerprint = read_number<std::uint64_t>(from.at(0));
    value.backend_server = from.at(1).get<std::string>();
    value.incarnation = read_number<std::uint64_t>(from.at(2));
    value.alone = from.at(3).get<bool>();
    value.since = moment_of(read_age(from.at(4)), now);
}

// Empty lists are left out: most messages hold one record of one table.
template <typename Record>
void write_list(json& to, const char* field, const std::vector<Record>& list,
                time_point now) {
    if (list.empty()) {
        return;
    }
    auto& array = to[field] = json::array();
    for (const auto& each : list) {
        array.push_back(write(each, now));
    }
}

template <typename Record>
void read_list(const json& from, const char* field, time_point now,
               std::vector<Record>& list) {
    const auto found = from.find(field);
    if (found == from.end()) {
        return;
    }
    if (found->size() > record_limit) {
        throw json::other_error::create(501, "too many records", &from);
    }
    for (const auto& each : *found) {
        read(each, now, list.emplace_back());
    }
}

json write_message(const digest_message& value, time_point) {
    json object = {{"r", value.revision},
                   {"m", value.tables.members},
                   {"b", value.tables.beliefs},
                   {"g", value.tables.registry},
                   {"q", value.tables.quarantine}};
    // What most digests do not have is left out.
    if (value.query_epoch != 0) {
        object["a"] = value.query_epoch;
    }
    if (value.answered_epoch != 0) {
        object["w"] = value.answered_epoch;
    }
    if (value.refused != 0) {
        object["x"] = value.refused;
    }
    if (value.subscription != subscription_change::none) {
        object["l"] = static_cast<unsigned>(value.subscription);
    }
    return object;
}

json write_message(const records_request& value, time_point) {
    json object = json::object();
    if (value.members) {
        object["m"] = *value.members;
    }
    if (value.beliefs) {
        object["b"] = *value.beliefs;
    }
    if (value.registry) {
        object["g"] = *value.registry;
    }
    object["q"] = value.quarantine;
    return object;
}

json write_message(const records_message& value, time_point now) {
    json object = json::object();
    write_list(object, "m", value.members, now);
    write_list(object, "b", value.beliefs, now);
    write_list(object, "g", value.registry, now);
    write_stamps(object, value.registry);
    write_list(object, "q", value.quarantine, now);
    write_list(object, "d", value.deaths, now);
    if (!value.member_buckets.empty()) {
        object["mb"] = value.member_buckets;
    }
    if (!value.belief_buckets.empty()) {
        object["bb"] = value.belief_buckets;
    }
    if (!value.registry_buckets.empty()) {
        object["gb"] = value.registry_buckets;
    }
    if (value.complete_quarantine) {
        object["wq"] = true;
    }
    if (value.answers_request) {
        object["an"] = true;
    }
    return object;
}

json write_message(const revision_message& value, time_point) {
    return {{"r", value.revision}, {"x", value.refused}};
}

json write_message(const configuration_request& value, time_point) {
    return {{"r", value.revision}, {"x", value.refused}};
}

json write_message(const configuration_message& value, time_point) {
    return {{"r", value.revision}, {"t", json::binary(value.text)}};
}

exchange_message read_digest(const json& from, time_point) {
    digest_message value;
    value.query_epoch = read_number_or<std::uint64_t>(from, "a", 0);
    value.answered_epoch = read_number_or<std::uint64_t>(from, "w", 0);
    value.revision = read_number<std::uint64_t>(from.at("r"));
    value.refused = read_number_or<std::uint64_t>(from, "x", 0);
    value.tables.members = read_number<std::uint64_t>(from.at("m"));
    value.tables.beliefs = read_number<std::uint64_t>(from.at("b"));
    value.tables.registry = read_number<std::uint64_t>(from.at("g"));
    value.tables.quarantine = read_number<std::uint64_t>(from.at("q"));
    const auto listens = from.find("l");
    if (listens != from.end()) {
        value.subscription = read_enum(*listens, subscription_change::declined);
    }
    return value;
}

std::optional<digest_buckets> read_digest_buckets(const json& from,
                                                  const char* field) {
    const auto found = from.find(field);
    if (found == from.end()) {
        return std::nullopt;
    }
    return found->get<digest_buckets>();
}

exchange_message read_records_request(const json& from, time_point) {
    records_request value;
    value.members = read_digest_buckets(from, "m");
    value.beliefs = read_digest_buckets(from, "b");
    value.registry = read_digest_buckets(from, "g");
    value.quarantine = from.value("q", false);
    return value;
}

// Buckets past the last are those of a version with more of them; it finds
// its records again by its own digest.
std::vector<unsigned> read_buckets(const json& from, const char* field) {
    std::vector<unsigned> buckets;
    for (const auto bucket : from.value(field, std::vector<unsigned>())) {
        if (bucket < membership::bucket_count) {
            buckets.push_back(bucket);
        }
    }
    return buckets;
}

exchange_message read_records(const json& from, time_point now) {
    records_message value;
    read_list(from, "m", now, value.members);
    read_list(from, "b", now, value.beliefs);
    read_list(from, "g", now, value.registry);
    read_stamps(from, value.registry);
    read_list(from, "q", now, value.quarantine);
    read_list(from, "d", now, value.deaths);
    value.member_buckets = read_buckets(from, "mb");
    value.belief_buckets = read_buckets(from, "bb");
    value.registry_buckets = read_buckets(from, "gb");
    value.complete_quarantine = from.value("wq", false);
    value.answers_request = from.value("an", false);
    return value;
}

exchange_message read_revision(const json& from, time_point) {
    return revision_message{read_number<std::uint64_t>(from.at("r")),
                            read_number<std::uint64_t>(from.at("x"))};
}

exchange_message read_request(const json& from, time_point) {
    return configuration_request{read_number<std::uint64_t>(from.at("r")),
                                 read_number<std::uint64_t>(from.at("x"))};
}

exchange_message read_file(const json& from, time_point) {
    return configuration_message{read_number<std::uint64_t>(from.at("r")),
                                 from.at("t").get_binary()};
}

json write_message(const platform_status& value, time_point) {
    return {{"n", value.reader},
            {"a", value.age.count()},
            {"g", value.registry},
            {"r", value.revision},
            {"w", value.newest}};
}

exchange_message read_word(const json& from, time_point) {
    platform_status value;
    value.reader = from.at("n").get<std::string>();
    value.age = std::min(duration(read_age(from.at("a"))), longest_age);
    value.registry = read_number<std::uint64_t>(from.at("g"));
    value.revision = read_number<std::uint64_t>(from.at("r"));
    if (from.contains("w")) { // an older release sends none
        value.newest = read_number<std::uint64_t>(from.at("w"));
    }
    return value;
}

using message_reader = exchange_message (*)(const json&, time_point);

const std::map<std::string, message_reader>& readers() {
    static const std::map<std::string, message_reader> table = {
        {exchange_kinds[0], read_digest},
        {exchange_kinds[1], read_records},
        {exchange_kinds[2], read_revision},
        {exchange_kinds[3], read_request},
        {exchange_kinds[4], read_file},
        {exchange_kinds[5], read_word},
        {exchange_kinds[6], read_records_request}};
    return table;
}

} // namespace

const char* kind_of(const exchange_message& message) {
    return exchange_kinds[message.index()];
}

std::vector<std::uint8_t> encode_exchange(const exchange_message& message,
                                          time_point now) {
    return std::visit(
        [now](const auto& typed) {
            return json::to_cbor(write_message(typed, now));
        },
        message);
}

result<exchange_message> decode_exchange(const std::string& kind,
                                         const std::vector<std::uint8_t>& bytes,
                                         time_point now) {
    const auto reader = readers().find(kind);
    if (reader == readers().end()) {
        return error{error_code::malformed, decode_step, "",
                     "kind not known: " + kind};
    }
    return decode_guarded<exchange_message>(
        bytes, decode_step,
        [&](const json& from) { return reader->second(from, now); });
}

} // namespace waxwingvale::io
