#pragma once

#include <memory>

#include <waxwingvale/administration/control_snapshot.hpp>
#include <waxwingvale/model/configuration_file.hpp>

// What the instance sea-1 would know in the middle of a bad day: a
// refused file, a member gone, a backend server leaving, a request that
// crashes what runs it.
inline waxwingvale::administration::control_snapshot sample_snapshot() {
    using namespace std::chrono_literals;
    using namespace waxwingvale;
    constexpr const char* file = R"({
  "schema_version": 1,
  "data_centres": [{"name": "sea", "region": "northwest"},
                   {"name": "pdx", "region": "northwest"}],
  "tenants": [{"name": "leagues"}, {"name": "guests"}],
  "services": [{
    "name": "assign-desk", "tenants": ["leagues"], "owners": 2,
    "classes": [
      {"name": "look", "methods": ["GET"], "nature": "retriable"},
      {"name": "confirm", "methods": ["POST"], "nature": "at_most_once",
       "deadline_ms": 5000}],
    "backend_servers": [
      {"name": "desk-1", "host": "10.0.0.1", "port": 9001,
       "data_centre": "sea", "slots": 6},
      {"name": "desk-2", "host": "10.0.0.2", "port": 9001,
       "data_centre": "pdx", "slots": 6}]
  }]
})";
    view seen;
    seen.serial = 12;
    seen.published = {7, file};
    seen.config = std::make_shared<const configuration>(
        parse_configuration(file, "live", 7).value());
    seen.self = {{"sea-1", 100}, "sea", {"10.1.0.1", 7180, 7181, 7102}, {}, {}};
    seen.members = {
        {{"boi-1", 90}, "boi", {"10.1.0.3", 7180, 7181, 7102}, {}, {}},
        {{"pdx-1", 110}, "pdx", {"10.1.0.2", 7180, 7181, 7102}, {}, {}},
        seen.self};
    seen.members[0].state = member_state::gone;
    seen.fresh = true;
    const time_point now{100s};
    seen.beliefs = {{"desk-2", 3, backend_state::leaving,
                     belief_source::traffic, "pdx-1", now - 1500ms}};
    seen.quarantined = {0xabcdef};

    administration::control_snapshot snapshot;
    snapshot.now = now;
    snapshot.seen = std::make_shared<const view>(seen);
    snapshot.newest_revision_seen = 8;
    snapshot.refused = administration::refused_file{
        8,
        {error_code::invalid_argument, "check configuration", "revision 8",
         "services[0].owners: expected a whole number from 0 to 64, found 65"}};
    snapshot.platform = {true, now - 20ms, 42, 1};
    snapshot.links = {{"boi-1", false}, {"pdx-1", true}};
    return snapshot;
}
