#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <waxwingvale/membership/peer_exchange.hpp>

using namespace waxwingvale;
using namespace waxwingvale::membership;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};
constexpr duration answer_timeout = 400ms;
constexpr duration tick_period = 100ms;
constexpr duration step = 10ms;
// A peer that repeatedly does not answer is asked less and less often, but at
// least once in this time.
constexpr duration max_request_interval = 16 * answer_timeout;
constexpr duration quick_answer_delay = 30ms;
constexpr duration slow_answer_delay = 700ms;
constexpr unsigned peer_count = 4;
const std::string valid_here = "valid";
const std::string valid_elsewhere = "valid elsewhere";
const std::string valid_nowhere = "broken";

result<configuration> parse_unless_refused(bool refused,
                                           const configuration_text& file) {
    if (refused) {
        return error{error_code::malformed, "test", "", "not valid"};
    }
    configuration parsed;
    parsed.revision = file.revision;
    return parsed;
}

result<configuration> parse_here(const configuration_text& file) {
    return parse_unless_refused(file.text != valid_here, file);
}

result<configuration> parse_elsewhere(const configuration_text& file) {
    return parse_unless_refused(file.text == valid_nowhere, file);
}

enum class peer_action {
    publish,                 // a peer gets a new file that is valid everywhere
    publish_valid_elsewhere, // a peer gets a new file that is invalid here
    publish_invalid,  // a peer gets a new file that is invalid everywhere
    announce,         // the peer announces its revisions
    follow,           // the peer gets the newest file and announces it
    lose_link,        // the peer's link closes until its next announcement
    stop_answering,   // the peer stops answering
    slow_down,        // the peer answers after the timeout
    send_corrupt,     // the peer's files cannot be unpacked
    recover,          // the peer answers correctly again
    platform_delivers // the newest file arrives from the platform
};
constexpr int peer_action_count = 11;

// The properties that every sequence of events has to satisfy.
enum class checked_property { in_time, one_open_request, no_useless_request };

struct event {
    peer_action action = peer_action::announce;
    unsigned peer = 0;
    unsigned steps = 0; // time steps that pass after the event
};

struct simulated_peer {
    configuration_register files{parse_elsewhere};
    configuration_exchange exchange{files, answer_timeout};
    bool linked = true;
    bool silent = false;
    bool sends_corrupt_files = false;
    duration answer_delay = quick_answer_delay;
    revision_message announced;
    // Since when a file that the peer announced has been missing here.
    std::optional<time_point> missing_since;
    unsigned unanswered = 0;
};

struct open_request {
    unsigned peer = 0;
    revision_message announced;
    configuration_request request;
    time_point answer_at{};
    time_point timeout_at{};
};

// One exchange with peers that answer, stay silent, send corrupt files and lose
// their links. Checks the properties that the exchange has to satisfy.
class exchange_world {
public:
    explicit exchange_world(duration wait) : wait_(wait), peers_(peer_count) {}

    void run(const event& next);
    void pass(duration passed);
    // The first violation of the property, or an empty text.
    std::string violation(checked_property which) const {
        const auto found = violations_.find(which);
        return found == violations_.end() ? std::string() : found->second;
    }

private:
    void publish(simulated_peer& peer, const std::string& text);
    void announce(unsigned peer);
    void lose_link(unsigned peer);
    void send_due_request();
    void record_request(unsigned peer, const configuration_request& request);
    void answer();
    void deliver(unsigned peer, const configuration_message& file);
    void offer(const configuration_text& file);
    bool lacks(const revision_message& announced) const;
    void update_missing();
    void check_timeliness();
    void record_violation(checked_property which, const std::string& what);

    duration wait_;
    time_point now_ = start;
    configuration_register here_{parse_here};
    configuration_exchange exchange_{here_, answer_timeout};
    std::vector<simulated_peer> peers_;
    configuration_text newest_{0, ""};
    std::set<std::uint64_t> offered_; // revisions that were offered here
    std::optional<open_request> open_request_;
    std::vector<open_request> in_flight_;
    time_point idle_since_ = start; // since when no request has been open
    std::map<checked_property, std::string> violations_;
};

std::string name_of(unsigned peer) {
    return "pdx-" + std::to_string(peer);
}

void exchange_world::record_violation(checked_property which,
                                      const std::string& what) {
    violations_.emplace(
        which, what + " at " + std::to_string((now_ - start) / 1ms) + " ms");
}

void exchange_world::run(const event& next) {
    auto& peer = peers_[next.peer];
    switch (next.action) {
    case peer_action::publish:
        publish(peer, valid_here);
        break;
    case peer_action::publish_valid_elsewhere:
        publish(peer, valid_elsewhere);
        break;
    case peer_action::publish_invalid:
        publish(peer, valid_nowhere);
        break;
    case peer_action::announce:
        announce(next.peer);
        break;
    case peer_action::follow:
        peer.files.offer(newest_);
        announce(next.peer);
        break;
    case peer_action::lose_link:
        lose_link(next.peer);
        break;
    case peer_action::stop_answering:
        peer.silent = true;
        break;
    case peer_action::slow_down:
        peer.answer_delay = slow_answer_delay;
        break;
    case peer_action::send_corrupt:
        peer.sends_corrupt_files = true;
        break;
    case peer_action::recover:
        peer.silent = false;
        peer.sends_corrupt_files = false;
        peer.answer_delay = quick_answer_delay;
        break;
    case peer_action::platform_delivers:
        offer(newest_);
        break;
    }
    pass(next.steps * step);
}

void exchange_world::publish(simulated_peer& peer, const std::string& text) {
    newest_ = {newest_.revision + 1, text};
    peer.files.offer(newest_);
}

void exchange_world::announce(unsigned peer) {
    auto& from = peers_[peer];
    from.linked = true;
    from.announced = from.exchange.own_revision();
    if (open_request_ && open_request_->peer == peer) {
        open_request_->announced = from.announced;
    }
    update_missing();
    exchange_.handle_announcement(name_of(peer), from.announced, wait_, now_);
    send_due_request();
}

void exchange_world::lose_link(unsigned peer) {
    auto& lost = peers_[peer];
    lost.linked = false;
    lost.announced = {};
    lost.unanswered = 0;
    exchange_.handle_link_down(name_of(peer));
    in_flight_.erase(
        std::remove_if(in_flight_.begin(), in_flight_.end(),
                       [&](const auto& each) { return each.peer == peer; }),
        in_flight_.end());
    if (open_request_ && open_request_->peer == peer) {
        open_request_.reset();
        idle_since_ = now_;
    }
    update_missing();
}

void exchange_world::pass(duration passed) {
    for (const auto end = now_ + passed; now_ < end;) {
        now_ += step;
        if (open_request_ && now_ >= open_request_->timeout_at) {
            ++peers_[open_request_->peer].unanswered;
            idle_since_ = open_request_->timeout_at;
            open_request_.reset();
        }
        answer();
        if ((now_ - start) % tick_period == duration::zero()) {
            send_due_request();
        }
        check_timeliness();
    }
}

void exchange_world::send_due_request() {
    const auto due = exchange_.due_request(now_);
    if (!due) {
        return;
    }
    for (unsigned peer = 0; peer < peer_count; ++peer) {
        if (name_of(peer) == due->peer) {
            record_request(peer,
                           std::get<configuration_request>(*due->message));
        }
    }
}

void exchange_world::record_request(unsigned peer,
                                    const configuration_request& request) {
    auto& asked = peers_[peer];
    if (open_request_) {
        record_violation(checked_property::one_open_request,
                         "a request was sent while another one was open");
    }
    if (!asked.linked || !lacks(asked.announced)) {
        record_violation(
            checked_property::no_useless_request,
            "a request was sent to a peer that announced no missing file");
    }
    open_request_ =
        open_request{peer, asked.announced, request, now_ + asked.answer_delay,
                     now_ + answer_timeout};
    if (!asked.silent) {
        in_flight_.push_back(*open_request_);
    }
    asked.missing_since.reset();
    update_missing();
}

void exchange_world::answer() {
    const auto waiting = std::exchange(in_flight_, {});
    for (const auto& each : waiting) {
        if (now_ < each.answer_at) {
            in_flight_.push_back(each);
            continue;
        }
        for (const auto& file :
             peers_[each.peer].exchange.answer(each.request)) {
            deliver(each.peer, file);
        }
    }
}

void exchange_world::deliver(unsigned peer, const configuration_message& file) {
    auto& from = peers_[peer];
    if (open_request_ && open_request_->peer == peer) {
        open_request_.reset();
        idle_since_ = now_;
    }
    if (from.sends_corrupt_files) {
        ++from.unanswered;
    } else {
        from.unanswered = 0;
        from.announced = {}; // the peer has sent all that it announced
        offered_.insert(file.revision);
    }
    const auto sent =
        from.sends_corrupt_files ? packed_text{1, 2, 3} : file.text;
    const auto received =
        exchange_.receive(name_of(peer), {file.revision, sent});
    RC_ASSERT(received.has_value() != from.sends_corrupt_files);
    update_missing();
}

void exchange_world::offer(const configuration_text& file) {
    here_.offer(file);
    offered_.insert(file.revision);
    update_missing();
    send_due_request();
}

bool exchange_world::lacks(const revision_message& announced) const {
    const auto newest_known =
        std::max(here_.revision(), here_.refused_revision());
    return (announced.revision > here_.revision() &&
            offered_.count(announced.revision) == 0) ||
           announced.refused > newest_known;
}

void exchange_world::update_missing() {
    if (open_request_ && !lacks(open_request_->announced)) {
        open_request_.reset();
        idle_since_ = now_;
    }
    for (auto& each : peers_) {
        if (!lacks(each.announced)) {
            each.missing_since.reset();
        } else if (!each.missing_since) {
            each.missing_since = now_;
        }
    }
}

// The delay before a request starts with the first announcement of any missing
// file.
void exchange_world::check_timeliness() {
    auto missing_since = now_;
    for (const auto& each : peers_) {
        missing_since =
            std::min(missing_since, each.missing_since.value_or(now_));
    }
    for (const auto& each : peers_) {
        if (open_request_ || !each.missing_since) {
            continue;
        }
        const auto since =
            std::max({missing_since + wait_, *each.missing_since, idle_since_});
        const auto allowed = each.unanswered == 0
                                 ? tick_period
                                 : max_request_interval + answer_timeout;
        if (now_ > since + allowed) {
            record_violation(checked_property::in_time,
                             "a missing file was not requested in time");
        }
    }
}

// A peer that publishes, and a slow link on which its announcements and files
// queue behind each other.
class slow_link {
public:
    explicit slow_link(std::size_t bytes_per_second)
        : bytes_per_second_(bytes_per_second) {}

    void publish(time_point now) {
        files_.offer({files_.revision() + 1, valid_here});
        send({exchange_.own_revision(), announcement_bytes}, now);
    }

    void pass(time_point now) {
        while (!queue_.empty() && queue_.front().arrival <= now) {
            const auto arrived = queue_.front();
            queue_.pop_front();
            if (arrived.bytes == announcement_bytes) {
                receiver_exchange_.handle_announcement(
                    "pdx-1", arrived.announced, 0ms, now);
            } else {
                REQUIRE(receiver_exchange_.receive(
                    "pdx-1", {arrived.announced.revision, pack(valid_here)}));
            }
            send_due_file(now);
        }
        send_due_file(now);
    }

    std::size_t queued_files() const {
        return static_cast<std::size_t>(
            std::count_if(queue_.begin(), queue_.end(), [](const auto& each) {
                return each.bytes == file_bytes;
            }));
    }
    std::uint64_t missing_revisions() const {
        return files_.revision() - here_.revision();
    }

private:
    static constexpr std::size_t announcement_bytes = 50;
    static constexpr std::size_t file_bytes = 44'000;

    struct sent_message {
        revision_message announced;
        std::size_t bytes = 0;
        time_point arrival{};
    };

    void send_due_file(time_point now) {
        const auto due = receiver_exchange_.due_request(now);
        if (due && files_.revision() > here_.revision()) {
            send({exchange_.own_revision(), file_bytes}, now);
        }
    }

    void send(sent_message sent, time_point now) {
        link_free_at_ = std::max(link_free_at_, now) +
                        sent.bytes * duration(1s) / bytes_per_second_;
        sent.arrival = link_free_at_;
        queue_.push_back(sent);
    }

    std::size_t bytes_per_second_;
    configuration_register files_{parse_elsewhere};
    configuration_exchange exchange_{files_, answer_timeout};
    configuration_register here_{parse_here};
    configuration_exchange receiver_exchange_{here_, answer_timeout};
    std::deque<sent_message> queue_;
    time_point link_free_at_ = start;
};

// One of two instances, either of which may be the one that reads the platform.
struct platform_instance {
    explicit platform_instance(bool is_reader) {
        member_record other;
        other.id = {"pdx-1", 1};
        other.capacity.cpu_permille = is_reader ? 1 : 2 * own_cpu_permille;
        members.merge(other, start);
        readers.take_members(members.members());
        readers.hear("pdx-1", 0ms, start);
        REQUIRE(readers.should_read(start) == is_reader);
    }

    static member_record self() {
        member_record record;
        record.id = {"sea-1", 0};
        record.capacity.cpu_permille = own_cpu_permille;
        return record;
    }

    // Whether a newer file that a peer announces after the introduction is
    // requested without delay.
    bool requests_at_once() {
        configurations.offer({1, valid_here});
        exchange.link_up("pdx-1", start);
        records_message records;
        records.answers_request = true;
        exchange.receive("pdx-1", records, start);
        exchange.tick(start);
        exchange.take_messages(start);
        exchange.receive("pdx-1", revision_message{2, 0}, start + step);
        const auto sent = exchange.take_messages(start + step);
        return std::any_of(sent.begin(), sent.end(), [](const auto& each) {
            return std::holds_alternative<configuration_request>(*each.message);
        });
    }

    static constexpr unsigned own_cpu_permille = 1000;

    configuration_register configurations{parse_here};
    member_table members{self(), {}, start};
    belief_table beliefs{100};
    registry_table registry{100};
    crash_verdict_table quarantine{{}};
    reader_duty readers{"sea-1", 1, false, {}, start};
    freshness fresh{1s, start};
    peer_exchange exchange{
        {configurations, members, beliefs, registry, quarantine, readers},
        fresh,
        {},
        1,
        start};
};

// RapidCheck requires this name.
void showValue( // NOLINT(readability-identifier-naming)
    const event& each, std::ostream& out) {
    constexpr std::array<const char*, peer_action_count> names{
        "publish",          "publish_valid_elsewhere",
        "publish_invalid",  "announce",
        "follow",           "lose_link",
        "stop_answering",   "slow_down",
        "send_corrupt",     "recover",
        "platform_delivers"};
    out << names.at(static_cast<std::size_t>(each.action)) << " at "
        << each.peer << ", " << each.steps << " steps";
}

rc::Gen<event> any_event() {
    return rc::gen::build<event>(
        rc::gen::set(
            &event::action,
            rc::gen::cast<peer_action>(rc::gen::inRange(0, peer_action_count))),
        rc::gen::set(&event::peer, rc::gen::inRange(0U, peer_count)),
        rc::gen::set(&event::steps, rc::gen::inRange(0U, 30U)));
}

void run_random_events(checked_property which, duration wait) {
    const auto events = *rc::gen::container<std::vector<event>>(any_event());
    exchange_world world(wait);
    for (const auto& each : events) {
        world.run(each);
    }
    world.pass(max_request_interval + 2s);
    if (!world.violation(which).empty()) {
        RC_FAIL(world.violation(which));
    }
}

bool satisfies(checked_property which) {
    const auto wait = GENERATE(0ms, 250ms);
    CAPTURE(wait / 1ms);
    return rc::check([which, wait] { run_random_events(which, wait); });
}

} // namespace

TEST_CASE("a file that is invalid here is not requested with every "
          "announcement") {
    // Guards against peers of another release sending the whole file again and
    // again, and against a log line that reports it as awaited.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_timeout);
    const auto file = pack(valid_elsewhere);
    unsigned requests = 0;
    for (duration passed{}; passed < 10s; passed += 150ms) {
        const auto now = start + passed;
        exchange.handle_announcement("pdx-1", {7, 0}, 0ms, now);
        if (exchange.due_request(now)) {
            ++requests;
            REQUIRE(exchange.receive("pdx-1", {7, file}));
        }
    }
    CHECK(requests == 1);
    CHECK_FALSE(exchange.pending(start + 10s));
}

TEST_CASE("files do not queue up on a link that is slower than the changes") {
    // Guards against a request for a whole file for each announcement that was
    // delayed on a busy link.
    const auto bytes_per_second = GENERATE(40'000U, 200'000U, 2'500'000U);
    slow_link link(bytes_per_second);
    std::size_t most_queued = 0;
    for (duration passed{}; passed < 20s; passed += step) {
        if (passed % 100ms == duration::zero()) {
            link.publish(start + passed);
        }
        link.pass(start + passed);
        most_queued = std::max(most_queued, link.queued_files());
    }
    CAPTURE(bytes_per_second, link.missing_revisions());
    CHECK(most_queued <= 4);
}

TEST_CASE("another peer that announced a file is asked when the first peer's "
          "link is lost") {
    // Guards against forgetting an announcement because another peer sent it
    // first.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_timeout);
    exchange.handle_announcement("pdx-1", {7, 0}, 250ms, start);
    exchange.handle_announcement("pdx-2", {7, 0}, 250ms, start + 10ms);
    exchange.handle_link_down("pdx-1");
    const auto due = exchange.due_request(start + 350ms);
    REQUIRE(due);
    CHECK(due->peer == "pdx-2");
}

TEST_CASE("the only peer that has a file is asked again if it did not answer") {
    // Guards against a file that is never requested again after the request was
    // lost with one of two links.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_timeout);
    exchange.handle_announcement("pdx-1", {7, 0}, 0ms, start);
    CHECK(exchange.due_request(start));
    CHECK_FALSE(exchange.due_request(start + answer_timeout - step));
    CHECK(exchange.due_request(start + answer_timeout));
    // The delay between requests doubles while the peer does not answer.
    CHECK_FALSE(exchange.due_request(start + 2 * answer_timeout));
    CHECK(exchange.due_request(start + 3 * answer_timeout));
    unsigned asked = 0;
    for (duration passed = 10s; passed < 70s; passed += step) {
        asked += exchange.due_request(start + passed) ? 1 : 0;
    }
    CHECK(asked >= 60s / max_request_interval);
}

TEST_CASE("a peer without unanswered requests is asked before one with them") {
    // Guards against asking a silent peer before one that would answer.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_timeout);
    exchange.handle_announcement("pdx-1", {7, 0}, 0ms, start);
    REQUIRE(exchange.due_request(start));
    exchange.handle_announcement("pdx-2", {7, 0}, 0ms, start + 10ms);
    exchange.handle_announcement("pdx-3", {8, 0}, 0ms, start + 20ms);
    const auto second = exchange.due_request(start + answer_timeout);
    REQUIRE(second);
    CHECK(second->peer == "pdx-3");
    const auto third = exchange.due_request(start + 2 * answer_timeout);
    REQUIRE(third);
    CHECK(third->peer == "pdx-2");
}

TEST_CASE("a file that arrived from another source is no longer waited for") {
    // Guards against the request for a newer file waiting for the answer of a
    // silent peer.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_timeout);
    exchange.handle_announcement("pdx-1", {7, 0}, 0ms, start);
    REQUIRE(exchange.due_request(start));
    here.offer({7, valid_here});
    exchange.handle_announcement("pdx-2", {8, 0}, 0ms, start + 10ms);
    CHECK(exchange.due_request(start + 10ms));
}

TEST_CASE("only an instance that reads an available platform waits for it") {
    // Guards against old routes while an instance waits for a file that the
    // platform will not deliver, and against transferring a file from a peer in
    // addition to the platform's.
    const bool answers = GENERATE(true, false);
    const bool reads = GENERATE(true, false);
    CAPTURE(answers, reads);
    platform_instance instance(reads);
    instance.exchange.set_platform_answers(answers);
    CHECK(instance.requests_at_once() == !(answers && reads));
}

TEST_CASE("a missing file is requested in time under all peer behaviour") {
    // Guards against files that are requested late or never.
    CHECK(satisfies(checked_property::in_time));
}

TEST_CASE("only one request is open at a time under all peer behaviour") {
    // Guards against many simultaneous requests, each answered by a whole file.
    CHECK(satisfies(checked_property::one_open_request));
}

TEST_CASE("a file that was refused is not requested again under all peer "
          "behaviour") {
    // Guards against a file being sent again with every announcement.
    CHECK(satisfies(checked_property::no_useless_request));
}
