#pragma once

#include <string>

#include <waxwingvale/program/settings.hpp>

#include "platform/operator_file.hpp"

namespace waxwingvale::platform {

// An operator's configuration with one route of each kind.
inline const char* const sample_configuration = R"({
  "Version": 7,
  "Routes": [
    {"Name": "look", "Host": "a.example", "PathPrefix": "/look/",
     "Kind": "idempotent", "Timeout": 800, "TargetLatency": 250.5,
     "Priority": 2, "MaxAttempts": 2,
     "TrafficSplit": [{"Service": "view", "Weight": 90},
                      {"Service": "desk", "Weight": 10}]},
    {"Name": "book", "Host": "a.example", "PathPrefix": "/look/book/",
     "Kind": "non_idempotent", "Timeout": 1000, "TargetLatency": 300,
     "Priority": 1, "MaxAttempts": 2, "Service": "desk"},
    {"Name": "fetch", "Host": "b.example", "PathPrefix": "/",
     "Kind": "download", "Timeout": 900, "Service": "view"}],
  "Services": [
    {"Name": "view", "HealthPath": "/healthz", "MaxConnections": 220},
    {"Name": "desk", "HealthPath": "/ok", "MaxConnections": 30}],
  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000,
             "HeaderTimeout": 3000, "IdleTimeout": 15000}
})";

inline program::deployment_settings sample_deployment() {
    program::deployment_settings deployment;
    deployment.data_centres = {{"north", "r"}, {"south", "r"}};
    deployment.owners = 1;
    return deployment;
}

inline configuration read_sample() {
    return read_operator_file({41, sample_configuration}, sample_deployment())
        .value();
}

} // namespace waxwingvale::platform
