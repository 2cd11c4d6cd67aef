#pragma once

#include <map>
#include <string>

#include "platform/two_zones.hpp"

namespace waxwingvale::platform {

// Four instances on a store. Configuration N has the routes /look/, /1/ to
// /N/.
struct growing_routes : two_zones {
    // How many instances gave each answer: a status, or "503 " and the reason;
    // "0": none at all.
    using answer_counts = std::map<std::string, unsigned>;

    std::uint64_t write_configuration(unsigned version) {
        auto file = nlohmann::json::parse(operator_text());
        file["Version"] = version;
        for (unsigned each = 1; each <= version; ++each) {
            auto route = file["Routes"]["look"];
            route["Name"] = "r" + std::to_string(each);
            route["PathPrefix"] = path_of(each);
            file["Routes"][route["Name"].get<std::string>()] = route;
        }
        return store.write(file.dump());
    }

    static std::string path_of(unsigned version) {
        return "/" + std::to_string(version) + "/";
    }

    // Asks every instance for the route that a configuration has added, and
    // waits for the answers.
    answer_counts ask_all_for(unsigned version) {
        answer_counts counts;
        unsigned open = 0;
        for (std::size_t each = 0; each < instances.size(); ++each) {
            io::http_call call;
            call.host = "127.0.0.1";
            call.port = instances.caller_port(each);
            call.method = "POST";
            call.target = path_of(version) + "x";
            call.headers = {{"Host", "a.example"},
                            {"Waxwingvale-Attempt-Id", std::to_string(++asked)},
                            {"Waxwingvale-Request-Deadline", "800"}};
            call.timeout = std::chrono::seconds(2);
            ++open;
            client.send(std::move(call), [&](const io::http_call_result& got) {
                --open;
                ++counts[got.response ? text_of(got.response.value()) : "0"];
            });
        }
        while (open > 0) {
            loop.run_once(true);
        }
        return counts;
    }

    static std::string text_of(const io::http_response& answer) {
        const auto status = std::to_string(answer.status);
        const auto reason = answer.body.substr(0, answer.body.find('\n'));
        return answer.status == 503 ? status + " " + reason : status;
    }

    // Whether all know the route that a configuration has added.
    bool all_know(unsigned version) {
        const auto counts = ask_all_for(version);
        return counts.count("404") == 0 && counts.count("0") == 0 &&
               counts.count("503 stale-view") == 0 &&
               counts.count("503 unproved-configuration") == 0 &&
               counts.count("503 no-configuration") == 0;
    }

    bool all_know_within(unsigned version, duration limit) {
        const auto until = timers.now() + limit;
        while (timers.now() < until) {
            if (all_know(version)) {
                return true;
            }
            go_on(std::chrono::milliseconds(50));
        }
        return false;
    }
};

} // namespace waxwingvale::platform
