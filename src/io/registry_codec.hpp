#pragma once

#include <vector>

#include <nlohmann/json.hpp>

#include <waxwingvale/membership/registry_table.hpp>
#include <waxwingvale/model/time.hpp>

// How records of the registry travel between instances, as parts of messages.
namespace waxwingvale::io {

nlohmann::json write(const membership::registry_record& value, time_point now);
// Throws what the JSON library throws when a field is missing or of another
// type.
void read(const nlohmann::json& from, time_point now,
          membership::registry_record& value);

// What stamps have besides the revision, for all records of a message: apart
// from them, since earlier releases tell records by their length. Left out
// where the platform has neither eras nor writers that count.
void write_stamps(nlohmann::json& to,
                  const std::vector<membership::registry_record>& records);
void read_stamps(const nlohmann::json& from,
                 std::vector<membership::registry_record>& records);

} // namespace waxwingvale::io
