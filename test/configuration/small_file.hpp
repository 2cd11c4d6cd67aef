#pragma once

#include <string>

// A small valid configuration file that tests change in one place.
inline const char* small_file() {
    return R"({
  "schema_version": 1, // comments are allowed
  "data_centres": [
    {"name": "sea", "region": "northwest"},
    {"name": "pdx", "region": "northwest"}
  ],
  "tenants": [{"name": "leagues", "share": 3}, {"name": "desks"}],
  "request_keys": {"lifetime_ms": 60000, "limit": 1000},
  "addresses": {"keep_min_ms": 1000, "keep_max_ms": 2000},
  "services": [{
    "name": "assign-desk",
    "tenants": ["leagues"],
    "owners": 2,
    "typical_time_ms": 15,
    "budgets": {"retries": 0.2, "hedges": 0, "probes_per_second": 0.5},
    "classes": [
      {"name": "look", "methods": ["GET", "HEAD"], "path_prefix": "/",
       "nature": "retriable", "deadline_ms": 800, "queue_limit": 50},
      {"name": "confirm", "methods": ["POST"], "nature": "at_most_once"}
    ],
    "backend_servers": [
      {"name": "desk-1", "host": "127.0.0.1", "port": 9001,
       "data_centre": "sea", "slots": 6, "connections": 200},
      {"name": "desk-2", "host": "127.0.0.1", "port": 9002,
       "data_centre": "pdx", "slots": 6}
    ]
  }]
})";
}

// The text with its first `from` replaced; `from` must be there.
inline std::string replaced(std::string text, const std::string& from,
                            const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}
