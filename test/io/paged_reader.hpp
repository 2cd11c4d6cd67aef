#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/io/platform_client.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

namespace waxwingvale::io {

// A list of numbered pages, each of one item: "3+" is the third of more.
class paged_dialect : public platform_dialect {
public:
    std::string list_target(const std::string&,
                            const std::string& after) const override {
        return "/list/" + (after.empty() ? "0" : after);
    }
    std::string watch_target(const std::string&, std::uint64_t,
                             duration) const override {
        return "/watch";
    }
    result<published_page>
    read_list(const std::string&, const http_response& answer) const override {
        if (answer.status != 200) {
            return error{error_code::unavailable, "read", "", ""};
        }
        published_page page;
        page.more = answer.body.back() == '+';
        page.items.push_back(
            {answer.body.substr(0, answer.body.find('+')), "", 1, ""});
        page.revision = 1;
        return page;
    }
    result<published_changes> read_watch(const std::string&, std::uint64_t,
                                         const http_response&) const override {
        return published_changes{};
    }
};

// The page of so many that a target of that dialect asks for.
inline http_response page_asked_for(const http_request& request,
                                    unsigned pages) {
    const auto page = std::stoul(request.target.substr(6)) + 1;
    return {200, {}, std::to_string(page) + (page < pages ? "+" : "")};
}

// Reads a platform of that dialect, and keeps what it lists.
struct reader_bench {
    kernel::event_loop loop;
    kernel::monotonic_clock time;
    kernel::timer_service timers{time, loop};
    http_client http{loop, {}};
    paged_dialect dialect;
    std::vector<std::string> listed;
    unsigned readings = 0;

    std::unique_ptr<platform_client>
    start_reading(std::uint16_t port,
                  duration answer_within = std::chrono::seconds(3)) {
        platform_client_options options;
        options.host = "127.0.0.1";
        options.port = port;
        options.answer_within = answer_within;
        options.seed = 1;
        auto client =
            std::make_unique<platform_client>(http, timers, dialect, options);
        client->set_share({1000., 1000., std::chrono::milliseconds(1)});
        client->watch("all", [this](const platform_reading& reading) {
            readings += reading.ends ? 1 : 0;
            if (reading.begins) {
                listed.clear();
            }
            for (const auto& item : reading.items) {
                listed.push_back(item.key);
            }
        });
        return client;
    }

    // Whether the condition holds within that time.
    bool within(duration limit, const std::function<bool()>& condition) {
        const auto until = time.now() + limit;
        const auto ticking =
            timers.every(std::chrono::milliseconds(5), [](time_point) {});
        while (!condition() && time.now() < until) {
            loop.run_once(true);
        }
        return condition();
    }
};

} // namespace waxwingvale::io
