#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <string>

#include <waxwingvale/membership/configuration_exchange.hpp>

using namespace waxwingvale;
using namespace waxwingvale::membership;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr duration answer_within = 400ms;
constexpr duration step = 10ms;
const std::string valid_here = "valid";
const std::string valid_elsewhere = "valid elsewhere";
const std::string broken = "broken";

result<configuration> parse_unless(bool refused,
                                   const configuration_text& file) {
    if (refused) {
        return error{error_code::malformed, "test", "", "not valid"};
    }
    configuration parsed;
    parsed.revision = file.revision;
    return parsed;
}

result<configuration> parse_here(const configuration_text& file) {
    return parse_unless(file.text != valid_here, file);
}

result<configuration> parse_elsewhere(const configuration_text& file) {
    return parse_unless(file.text == broken, file);
}

// A peer that publishes, and a link on which its words and files wait for each
// other.
class slow_link {
public:
    explicit slow_link(std::size_t bytes_a_second)
        : bytes_a_second_(bytes_a_second) {}

    void publish(time_point now) {
        files_.offer({files_.revision() + 1, valid_here});
        send({exchange_.own_revision(), word_bytes}, now);
    }

    void pass(time_point now) {
        while (!waiting_.empty() && waiting_.front().arrives <= now) {
            const auto arrived = waiting_.front();
            waiting_.pop_front();
            if (arrived.bytes == word_bytes) {
                here_exchange_.hear("pdx-1", arrived.named, 0ms, now);
            } else {
                REQUIRE(here_exchange_.take(
                    "pdx-1", {arrived.named.revision, pack(valid_here)}));
            }
            ask(now);
        }
        ask(now);
    }

    std::size_t files_waiting() const {
        return static_cast<std::size_t>(std::count_if(
            waiting_.begin(), waiting_.end(),
            [](const auto& each) { return each.bytes == file_bytes; }));
    }
    std::uint64_t behind() const {
        return files_.revision() - here_.revision();
    }

private:
    static constexpr std::size_t word_bytes = 50;
    static constexpr std::size_t file_bytes = 44'000;

    struct sent_message {
        revision_message named;
        std::size_t bytes = 0;
        time_point arrives{};
    };

    void ask(time_point now) {
        const auto due = here_exchange_.due_request(now);
        if (due && files_.revision() > here_.revision()) {
            send({exchange_.own_revision(), file_bytes}, now);
        }
    }

    void send(sent_message sent, time_point now) {
        free_at_ = std::max(free_at_, now) +
                   sent.bytes * duration(1s) / bytes_a_second_;
        sent.arrives = free_at_;
        waiting_.push_back(sent);
    }

    std::size_t bytes_a_second_;
    configuration_register files_{parse_elsewhere};
    configuration_exchange exchange_{files_, answer_within};
    configuration_register here_{parse_here};
    configuration_exchange here_exchange_{here_, answer_within};
    std::deque<sent_message> waiting_;
    time_point free_at_ = start;
};

} // namespace

TEST_CASE("a file that is not valid here is not asked for with each word") {
    // Guards against a whole file that peers of another release send again and
    // again, and against a word in the log that says it is awaited.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_within);
    const auto file = pack(valid_elsewhere);
    unsigned requests = 0;
    for (duration passed{}; passed < 10s; passed += 150ms) {
        const auto now = start + passed;
        exchange.hear("pdx-1", {7, 0}, 0ms, now);
        if (exchange.due_request(now)) {
            ++requests;
            REQUIRE(exchange.take("pdx-1", {7, file}));
        }
    }
    CHECK(requests == 1);
    CHECK_FALSE(exchange.awaited(start + 10s));
}

TEST_CASE("files do not heap up on a link that is slower than the changes") {
    // Guards against a whole file for each word that a busy link held up.
    const auto bytes_a_second = GENERATE(200'000U, 2'500'000U);
    slow_link link(bytes_a_second);
    std::size_t most_waiting = 0;
    for (duration passed{}; passed < 20s; passed += step) {
        if (passed % 100ms == duration::zero()) {
            link.publish(start + passed);
        }
        link.pass(start + passed);
        most_waiting = std::max(most_waiting, link.files_waiting());
    }
    CAPTURE(bytes_a_second, link.behind());
    CHECK(most_waiting <= 4);
}
