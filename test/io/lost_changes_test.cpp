#include <catch2/catch.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "io/paged_reader.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;

namespace {

// Revisions are times in milliseconds; a watch tells since when, and how long
// it waits.
class dated_dialect : public io::paged_dialect {
public:
    explicit dated_dialect(const kernel::monotonic_clock& time) : time_(time) {}

    std::uint64_t now() const {
        return static_cast<std::uint64_t>(time_.now().time_since_epoch() / 1ms);
    }
    std::string watch_target(const std::string&, std::uint64_t revision,
                             duration wait) const override {
        return "/watch/" + std::to_string(wait / 1ms) + "/" +
               std::to_string(revision);
    }
    result<io::published_page>
    read_list(const std::string& topic,
              const io::http_response& answer) const override {
        auto page = io::paged_dialect::read_list(topic, answer);
        if (page) {
            page.value().revision = now();
        }
        return page;
    }
    result<io::published_changes>
    read_watch(const std::string&, std::uint64_t,
               const io::http_response& answer) const override {
        if (answer.status == 410) {
            return error{error_code::stale, "read", "", ""};
        }
        io::published_changes changes;
        changes.revision = now();
        return changes;
    }

private:
    const kernel::monotonic_clock& time_;
};

// Answers a watch that does not wait by what has changed in the last `history`,
// else by 410, or by more than an answer may have; and no watch that waits.
struct forgetful_platform : io::reader_bench {
    forgetful_platform(duration kept, bool refuse)
        : history(kept), refuses(refuse) {
        server
            .start([this](const io::http_request& request,
                          const io::http_responder& respond) {
                if (request.target.rfind("/watch/", 0) == 0) {
                    answer_watch(request, respond);
                } else {
                    answer_list(request, respond);
                }
            })
            .value();
        io::platform_client_options options;
        options.host = "127.0.0.1";
        options.port = server.port();
        client = std::make_unique<io::platform_client>(connections, timers,
                                                       dated, options);
        client->set_share({1000., 1000., 1ms});
        client->watch("all", [this](const io::platform_reading& reading) {
            lists += reading.whole && reading.ends ? 1 : 0;
            pages_listed += reading.items.size();
        });
    }

    void answer_watch(const io::http_request& request,
                      const io::http_responder& respond) {
        const auto slash = request.target.rfind('/');
        const auto since = std::stoull(request.target.substr(slash + 1));
        if (request.target.substr(7, slash - 7) != "1") {
            ++waiting;
            return;
        }
        if (dated.now() - since <= std::uint64_t(history / 1ms)) {
            respond({200, {}, ""});
            return;
        }
        ++lost;
        respond(refuses ? io::http_response{410, {}, ""}
                        : io::http_response{200, {}, too_long});
    }

    void answer_list(const io::http_request& request,
                     const io::http_responder& respond) {
        late.push_back(timers.after(
            20ms, [respond, with = io::page_asked_for(request, pages)](
                      time_point) { respond(with); }));
    }

    static io::http_client::limits small_answers() {
        io::http_client::limits limits;
        limits.response_body = 1000;
        return limits;
    }

    static constexpr unsigned pages = 40;
    const std::string too_long = std::string(2000, 'x');
    duration history;
    bool refuses;
    dated_dialect dated{time};
    unsigned waiting = 0;
    unsigned lost = 0;
    unsigned lists = 0; // read to their ends
    std::size_t pages_listed = 0;
    std::vector<kernel::timer_service::subscription> late;
    io::http_server server{loop, {}};
    io::http_client connections{loop, small_answers()};
    std::unique_ptr<io::platform_client> client;
};

} // namespace

// Guards against a list that never ends, as it begins anew whenever more has
// changed amid it than the platform tells: a server's leaving is not known.
TEST_CASE("a list is read to its end though changes amid it are lost") {
    const bool refuse = GENERATE(false, true);
    CAPTURE(refuse);
    forgetful_platform platform(duration::zero(), refuse);
    CHECK(platform.within(5s, [&] { return platform.lists >= 2; }));
    CHECK(platform.pages_listed >= 2 * platform.pages);
    CHECK(platform.lost > 0);
    CHECK(platform.waiting == 0); // it is not known what has changed
    CHECK(platform.client->answers());
    CHECK(platform.client->counters().failed == 0);
}

// Guards against a list that is read again and again, though what changes amid
// it is to be had by who asks for it often.
TEST_CASE("changes that were lost amid a list are asked for more often") {
    const bool refuse = GENERATE(false, true);
    CAPTURE(refuse);
    forgetful_platform platform(150ms, refuse);
    CHECK(platform.within(8s, [&] { return platform.waiting > 0; }));
    CHECK(platform.lost > 0);
    CHECK(platform.lists >= 2); // one more for what was lost
    CHECK(platform.lists <= 3);
    CHECK(platform.pages_listed == platform.lists * platform.pages);
}
