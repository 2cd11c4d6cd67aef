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
constexpr duration answer_within = 400ms;
constexpr duration tick_period = 100ms;
constexpr duration step = 10ms;
// A peer that stays silent again and again is asked ever more rarely, but
// after this at the latest.
constexpr duration longest_silence = 16 * answer_within;
constexpr duration quick_answer = 30ms;
constexpr duration slow_answer = 700ms;
constexpr unsigned peer_count = 4;
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

enum class deed {
    publish,        // a file that is valid for all, at one peer
    publish_other,  // one that is valid for peers only
    publish_broken, // one that all refuse
    tell,           // the peer names what it has
    follow,         // the peer takes the newest, and names it
    lose,           // the peer's link, which opens again when it tells
    fall_silent,
    slow_down,
    garble, // the peer's answers do not unpack
    recover,
    platform_tells
};
constexpr int deed_count = 11;

enum class aim { in_time, one_at_a_time, nothing_in_vain };

struct event {
    deed done = deed::tell;
    unsigned peer = 0;
    unsigned steps = 0; // that pass after it
};

struct fellow {
    configuration_register files{parse_elsewhere};
    configuration_exchange exchange{files, answer_within};
    bool linked = true;
    bool silent = false;
    bool garbles = false;
    duration answers_after = quick_answer;
    revision_message named;
    std::optional<time_point> lacking_since; // what it has named is lacking
    unsigned unanswered = 0;
};

struct open_request {
    unsigned peer = 0;
    revision_message named;
    configuration_request request;
    time_point answer_at{};
    time_point until{};
};

// One exchange among peers that answer, are silent, garble and vanish, and the
// aims that it has to keep.
class exchange_world {
public:
    explicit exchange_world(duration wait) : wait_(wait), peers_(peer_count) {}

    void run(const event& next);
    void pass(duration passed);
    // How the aim was missed first, or an empty text.
    std::string missed(aim which) const {
        const auto found = missed_.find(which);
        return found == missed_.end() ? std::string() : found->second;
    }

private:
    void publish(fellow& at, const std::string& text);
    void tell(unsigned peer);
    void lose(unsigned peer);
    void take_due();
    void note_request(unsigned peer, const configuration_request& request);
    void answer();
    void give(unsigned peer, const configuration_message& file);
    void offer(const configuration_text& file);
    bool lacks(const revision_message& named) const;
    void follow_lacking();
    void check_lateness();
    void blame(aim which, const std::string& what);

    duration wait_;
    time_point now_ = start;
    configuration_register here_{parse_here};
    configuration_exchange exchange_{here_, answer_within};
    std::vector<fellow> peers_;
    configuration_text newest_{0, ""};
    std::set<std::uint64_t> given_; // files that were offered here
    std::optional<open_request> open_;
    std::vector<open_request> under_way_;
    time_point free_since_ = start; // no request has been open
    std::map<aim, std::string> missed_;
};

std::string name_of(unsigned peer) {
    return "pdx-" + std::to_string(peer);
}

void exchange_world::blame(aim which, const std::string& what) {
    missed_.emplace(which, what + " at " +
                               std::to_string((now_ - start) / 1ms) + " ms");
}

void exchange_world::run(const event& next) {
    auto& peer = peers_[next.peer];
    switch (next.done) {
    case deed::publish:
        publish(peer, valid_here);
        break;
    case deed::publish_other:
        publish(peer, valid_elsewhere);
        break;
    case deed::publish_broken:
        publish(peer, broken);
        break;
    case deed::tell:
        tell(next.peer);
        break;
    case deed::follow:
        peer.files.offer(newest_);
        tell(next.peer);
        break;
    case deed::lose:
        lose(next.peer);
        break;
    case deed::fall_silent:
        peer.silent = true;
        break;
    case deed::slow_down:
        peer.answers_after = slow_answer;
        break;
    case deed::garble:
        peer.garbles = true;
        break;
    case deed::recover:
        peer.silent = false;
        peer.garbles = false;
        peer.answers_after = quick_answer;
        break;
    case deed::platform_tells:
        offer(newest_);
        break;
    }
    pass(next.steps * step);
}

void exchange_world::publish(fellow& at, const std::string& text) {
    newest_ = {newest_.revision + 1, text};
    at.files.offer(newest_);
}

void exchange_world::tell(unsigned peer) {
    auto& from = peers_[peer];
    from.linked = true;
    from.named = from.exchange.own_revision();
    if (open_ && open_->peer == peer) {
        open_->named = from.named;
    }
    follow_lacking();
    exchange_.hear(name_of(peer), from.named, wait_, now_);
    take_due();
}

void exchange_world::lose(unsigned peer) {
    auto& lost = peers_[peer];
    lost.linked = false;
    lost.named = {};
    lost.unanswered = 0;
    exchange_.lost(name_of(peer));
    under_way_.erase(
        std::remove_if(under_way_.begin(), under_way_.end(),
                       [&](const auto& each) { return each.peer == peer; }),
        under_way_.end());
    if (open_ && open_->peer == peer) {
        open_.reset();
        free_since_ = now_;
    }
    follow_lacking();
}

void exchange_world::pass(duration passed) {
    for (const auto end = now_ + passed; now_ < end;) {
        now_ += step;
        if (open_ && now_ >= open_->until) {
            ++peers_[open_->peer].unanswered;
            free_since_ = open_->until;
            open_.reset();
        }
        answer();
        if ((now_ - start) % tick_period == duration::zero()) {
            take_due();
        }
        check_lateness();
    }
}

void exchange_world::take_due() {
    const auto due = exchange_.due_request(now_);
    if (!due) {
        return;
    }
    for (unsigned peer = 0; peer < peer_count; ++peer) {
        if (name_of(peer) == due->peer) {
            note_request(peer, std::get<configuration_request>(*due->message));
        }
    }
}

void exchange_world::note_request(unsigned peer,
                                  const configuration_request& request) {
    auto& asked = peers_[peer];
    if (open_) {
        blame(aim::one_at_a_time, "asked while another request is open");
    }
    if (!asked.linked || !lacks(asked.named)) {
        blame(aim::nothing_in_vain,
              "asked a peer that has named nothing that is lacking");
    }
    open_ = open_request{peer, asked.named, request, now_ + asked.answers_after,
                         now_ + answer_within};
    if (!asked.silent) {
        under_way_.push_back(*open_);
    }
    asked.lacking_since.reset();
    follow_lacking();
}

void exchange_world::answer() {
    const auto waiting = std::exchange(under_way_, {});
    for (const auto& each : waiting) {
        if (now_ < each.answer_at) {
            under_way_.push_back(each);
            continue;
        }
        for (const auto& file :
             peers_[each.peer].exchange.answer(each.request)) {
            give(each.peer, file);
        }
    }
}

void exchange_world::give(unsigned peer, const configuration_message& file) {
    auto& from = peers_[peer];
    if (open_ && open_->peer == peer) {
        open_.reset();
        free_since_ = now_;
    }
    if (from.garbles) {
        ++from.unanswered;
    } else {
        from.unanswered = 0;
        from.named = {}; // it has sent all that it had
        given_.insert(file.revision);
    }
    const auto sent = from.garbles ? packed_text{1, 2, 3} : file.text;
    const auto taken = exchange_.take(name_of(peer), {file.revision, sent});
    RC_ASSERT(taken.has_value() != from.garbles);
    follow_lacking();
}

void exchange_world::offer(const configuration_text& file) {
    here_.offer(file);
    given_.insert(file.revision);
    follow_lacking();
    take_due();
}

bool exchange_world::lacks(const revision_message& named) const {
    const auto newest_known =
        std::max(here_.revision(), here_.refused_revision());
    return (named.revision > here_.revision() &&
            given_.count(named.revision) == 0) ||
           named.refused > newest_known;
}

void exchange_world::follow_lacking() {
    if (open_ && !lacks(open_->named)) {
        open_.reset();
        free_since_ = now_;
    }
    for (auto& each : peers_) {
        if (!lacks(each.named)) {
            each.lacking_since.reset();
        } else if (!each.lacking_since) {
            each.lacking_since = now_;
        }
    }
}

// The wait begins with the first word of any file that is lacking.
void exchange_world::check_lateness() {
    auto lacking_since = now_;
    for (const auto& each : peers_) {
        lacking_since =
            std::min(lacking_since, each.lacking_since.value_or(now_));
    }
    for (const auto& each : peers_) {
        if (open_ || !each.lacking_since) {
            continue;
        }
        const auto since =
            std::max({lacking_since + wait_, *each.lacking_since, free_since_});
        const auto allowed = each.unanswered == 0
                                 ? tick_period
                                 : longest_silence + answer_within;
        if (now_ > since + allowed) {
            blame(aim::in_time, "a lacking file was not asked for");
        }
    }
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

// One instance among two, either of which may be the one that reads.
struct platform_instance {
    explicit platform_instance(bool is_reader) {
        member_record other;
        other.id = {"pdx-1", 1};
        other.capacity.cpu_permille = is_reader ? 1 : 2 * own_strength;
        members.merge(other, start);
        readers.take_members(members.members());
        readers.hear("pdx-1", 0ms, start);
        REQUIRE(readers.should_read(start) == is_reader);
    }

    static member_record self() {
        member_record record;
        record.id = {"sea-1", 0};
        record.capacity.cpu_permille = own_strength;
        return record;
    }

    // A newer file that is named after this instance knows what peers know.
    bool asks_at_once() {
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

    static constexpr unsigned own_strength = 1000;

    configuration_register configurations{parse_here};
    member_table members{self(), {}, start};
    belief_table beliefs{100};
    registry_table registry{100};
    quarantine_table quarantine{{}};
    reader_duty readers{"sea-1", 1, false, {}, start};
    freshness fresh{1s, start};
    peer_exchange exchange{
        {configurations, members, beliefs, registry, quarantine, readers},
        fresh,
        {},
        1,
        start};
};

// The name is the library's.
void showValue( // NOLINT(readability-identifier-naming)
    const event& each, std::ostream& out) {
    constexpr std::array<const char*, deed_count> names{
        "publish", "publish_other", "publish_broken", "tell",
        "follow",  "lose",          "fall_silent",    "slow_down",
        "garble",  "recover",       "platform_tells"};
    out << names.at(static_cast<std::size_t>(each.done)) << " at " << each.peer
        << ", " << each.steps << " steps";
}

rc::Gen<event> any_event() {
    return rc::gen::build<event>(
        rc::gen::set(&event::done,
                     rc::gen::cast<deed>(rc::gen::inRange(0, deed_count))),
        rc::gen::set(&event::peer, rc::gen::inRange(0U, peer_count)),
        rc::gen::set(&event::steps, rc::gen::inRange(0U, 30U)));
}

void play_any(aim which, duration wait) {
    const auto events = *rc::gen::container<std::vector<event>>(any_event());
    exchange_world world(wait);
    for (const auto& each : events) {
        world.run(each);
    }
    world.pass(longest_silence + 2s);
    if (!world.missed(which).empty()) {
        RC_FAIL(world.missed(which));
    }
}

bool holds(aim which) {
    const auto wait = GENERATE(0ms, 250ms);
    CAPTURE(wait / 1ms);
    return rc::check([which, wait] { play_any(which, wait); });
}

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
    const auto bytes_a_second = GENERATE(40'000U, 200'000U, 2'500'000U);
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

TEST_CASE("who named a file is asked for it when another's link is lost") {
    // Guards against word that is forgotten since another peer said it first.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_within);
    exchange.hear("pdx-1", {7, 0}, 250ms, start);
    exchange.hear("pdx-2", {7, 0}, 250ms, start + 10ms);
    exchange.lost("pdx-1");
    const auto due = exchange.due_request(start + 350ms);
    REQUIRE(due);
    CHECK(due->peer == "pdx-2");
}

TEST_CASE("the only peer that has a file is asked again when it was silent") {
    // Guards against a request that was lost with one of two links, and a file
    // that is never asked for again.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_within);
    exchange.hear("pdx-1", {7, 0}, 0ms, start);
    CHECK(exchange.due_request(start));
    CHECK_FALSE(exchange.due_request(start + answer_within - step));
    CHECK(exchange.due_request(start + answer_within));
    // The longer it is silent the more rarely.
    CHECK_FALSE(exchange.due_request(start + 2 * answer_within));
    CHECK(exchange.due_request(start + 3 * answer_within));
    unsigned asked = 0;
    for (duration passed = 10s; passed < 70s; passed += step) {
        asked += exchange.due_request(start + passed) ? 1 : 0;
    }
    CHECK(asked >= 60s / longest_silence);
}

TEST_CASE("of peers that have a file one that was not silent is asked") {
    // Guards against a silent peer that is asked before one that would answer.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_within);
    exchange.hear("pdx-1", {7, 0}, 0ms, start);
    REQUIRE(exchange.due_request(start));
    exchange.hear("pdx-2", {7, 0}, 0ms, start + 10ms);
    exchange.hear("pdx-3", {8, 0}, 0ms, start + 20ms);
    const auto second = exchange.due_request(start + answer_within);
    REQUIRE(second);
    CHECK(second->peer == "pdx-3");
    const auto third = exchange.due_request(start + 2 * answer_within);
    REQUIRE(third);
    CHECK(third->peer == "pdx-2");
}

TEST_CASE("a file that came by another way is not waited for") {
    // Guards against a newer file that waits for the answer of a silent peer.
    configuration_register here(parse_here);
    configuration_exchange exchange(here, answer_within);
    exchange.hear("pdx-1", {7, 0}, 0ms, start);
    REQUIRE(exchange.due_request(start));
    here.offer({7, valid_here});
    exchange.hear("pdx-2", {8, 0}, 0ms, start + 10ms);
    CHECK(exchange.due_request(start + 10ms));
}

TEST_CASE("only who reads a platform that answers waits for it") {
    // Guards against old routes for as long as nobody would tell, and against
    // a file from a peer beside that of the platform.
    const bool answers = GENERATE(true, false);
    const bool reads = GENERATE(true, false);
    CAPTURE(answers, reads);
    platform_instance one(reads);
    one.exchange.set_platform_answers(answers);
    CHECK(one.asks_at_once() == !(answers && reads));
}

TEST_CASE("whatever peers do, a lacking file is asked for in time") {
    // Guards against files that are asked for late, or never.
    CHECK(holds(aim::in_time));
}

TEST_CASE("whatever peers do, one of them is asked for a file at a time") {
    // Guards against a heap of requests, each answered by a whole file.
    CHECK(holds(aim::one_at_a_time));
}

TEST_CASE("whatever peers do, no file is asked for that was refused before") {
    // Guards against a file that is sent again with every word of it.
    CHECK(holds(aim::nothing_in_vain));
}
