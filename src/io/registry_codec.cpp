#include "io/registry_codec.hpp"

#include <algorithm>

#include "io/model_codec.hpp"

namespace waxwingvale::io {

namespace {

using membership::publication_stamp;
using membership::registry_record;
using nlohmann::json;

// A record of the registry has its name and revision, if its entry is gone; of
// an evacuation the data centre too, and of a backend server much more.
constexpr std::size_t removal_fields = 2;
constexpr std::size_t evacuation_fields = 3;

// How much longer it is cold, as far as is known by now.
duration cold_left(const registry_record& of, time_point now) {
    return std::max(of.entry.cold_for - (now - of.received_at),
                    duration::zero());
}

} // namespace

json write(const registry_record& value, time_point now) {
    auto list = json::array({value.name, value.stamp.revision});
    if (!value.present) {
        return list;
    }
    if (value.subject == membership::registry_subject::evacuation) {
        list.push_back(value.entry.data_centre);
    } else {
        const auto& entry = value.entry;
        for (json each :
             {json(entry.service), json(entry.host), json(entry.port),
              json(entry.data_centre), json(entry.version), json(entry.slots),
              json(entry.leaving), json(cold_left(value, now).count()),
              json(entry.incarnation)}) {
            list.push_back(std::move(each));
        }
    }
    return list;
}

void read(const json& from, time_point, registry_record& value) {
    value.name = from.at(0).get<std::string>();
    value.stamp.revision = read_number<std::uint64_t>(from.at(1));
    value.present = from.size() > removal_fields;
    if (!value.present) {
        return;
    }
    auto& entry = value.entry;
    if (from.size() == evacuation_fields) {
        value.subject = membership::registry_subject::evacuation;
        entry.data_centre = from.at(2).get<std::string>();
        return;
    }
    entry.service = from.at(2).get<std::string>();
    entry.host = from.at(3).get<std::string>();
    entry.port = read_number<std::uint16_t>(from.at(4));
    entry.data_centre = from.at(5).get<std::string>();
    entry.version = from.at(6).get<std::string>();
    entry.slots = read_number<unsigned>(from.at(7));
    entry.leaving = from.at(8).get<bool>();
    entry.cold_for = std::min(duration(read_age(from.at(9))), longest_age);
    entry.incarnation = read_number<std::uint64_t>(from.at(10));
}

void write_stamps(json& to, const std::vector<registry_record>& records) {
    const bool plain = std::all_of(
        records.begin(), records.end(), [](const registry_record& each) {
            return each.stamp == publication_stamp(each.stamp.revision);
        });
    if (plain) {
        return;
    }
    auto& stamps = to["gs"] = json::array();
    for (const auto& each : records) {
        stamps.push_back(json::array(
            {each.stamp.era, each.stamp.writer, each.stamp.writes}));
    }
}

void read_stamps(const json& from, std::vector<registry_record>& records) {
    const auto found = from.find("gs");
    if (found == from.end()) {
        return;
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        const auto& stamp = found->at(i);
        records[i].stamp.era = read_number<std::uint64_t>(stamp.at(0));
        records[i].stamp.writer = read_number<std::uint64_t>(stamp.at(1));
        records[i].stamp.writes = read_number<std::uint64_t>(stamp.at(2));
    }
}

} // namespace waxwingvale::io
