#include <catch2/catch.hpp>
#include <string>

#include "platform/ending_servers.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

constexpr std::size_t instance_count = 2;
constexpr std::size_t server_count = 4;
constexpr std::size_t ends_until_known = 3;

// Servers whose slots and queue are taken by requests of others: they reset
// the connections of most requests.
class full_servers : public ending_servers {
public:
    full_servers() : ending_servers(instance_count, server_count) {
        for (auto& each : servers) {
            each->load = "4,3,4";
            each->ends_after = 300ms; // it waits for its turn
        }
        decide = [this](const io::http_request& asked) {
            return asked.target == "/look/9" ? run_end::end_process
                   : ++decided_ % 3 == 0     ? run_end::answer
                                             : run_end::reset_connection;
        };
    }

    // Each request is of its own.
    void send_new(const char* prefix, const char* method) {
        const auto target = prefix + std::to_string(++sent_);
        send({prefix, "a.example", target, method, {}, {}}, sent_);
    }

    void send_for(duration time) {
        const auto sending = timers.every(8ms, [this](time_point) {
            send_new("/look/", "GET");
            send_new("/book/", "POST");
        });
        go_on(time);
    }

private:
    unsigned decided_ = 0;
    unsigned sent_ = 100;
};

} // namespace

TEST_CASE("a request that ends full servers is known after three ends") {
    // Guards against a request that ends all servers of a service, since an
    // instance takes the resets of full servers for a partition and drops the
    // proof of its ends.
    full_servers played;
    played.send_for(4s);
    const auto neighbours = played.timers.every(
        20ms, [&](time_point) { played.send_new("/look/", "GET"); });
    const ending_servers::request ending{"ending", "a.example", "/look/9",
                                         "GET",    {},          {}};
    // Each copy waits for its turn, and then ends its server: there may be two
    // in flight until the first has ended one.
    played.repeat(ending, 500ms, 6s);
    CHECK(played.ends.size() <= ends_until_known);
    CHECK(played.sent["ending"].refused_for_good() > 0);
}
