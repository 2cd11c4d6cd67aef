#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <variant>

#include <waxwingvale/membership/peer_exchange.hpp>

using namespace waxwingvale;
using namespace waxwingvale::membership;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

member_record self_record() {
    member_record record;
    record.id = {"sea-1", 0};
    return record;
}

// What one instance knows, and its exchange with the peers it has links with.
struct exchanging_instance {
    // With 0 readers each instance reads the platform for itself.
    explicit exchanging_instance(unsigned reader_count = 0)
        : readers("sea-1", reader_count, false, {}, start) {}

    configuration_register configurations{
        [](const configuration_text& file) -> result<configuration> {
            configuration parsed;
            parsed.revision = file.revision;
            return parsed;
        }};
    member_table members{self_record(), {}, start};
    belief_table beliefs{100};
    registry_table registry{100};
    quarantine_table quarantine{{}};
    reader_duty readers;
    freshness fresh{1s, start};
    peer_exchange exchange{
        {configurations, members, beliefs, registry, quarantine, readers},
        fresh,
        {},
        1,
        start};

    // The peer tells all that it knows, in answer to what it was asked.
    void introduce(const std::string& peer) {
        records_message records;
        records.answers_request = true;
        exchange.receive(peer, records, start);
        exchange.tick(start);
        requests(start);
    }

    unsigned requests(time_point now) {
        unsigned count = 0;
        for (const auto& sent : exchange.take_messages(now)) {
            count +=
                std::holds_alternative<configuration_request>(*sent.message)
                    ? 1
                    : 0;
        }
        return count;
    }
};

std::string peer_name(unsigned number) {
    return "pdx-" + std::to_string(number);
}

} // namespace

TEST_CASE("a file that many peers name is asked for once") {
    // An operator's file of 1,600 routes comes into force on one instance
    // after another, and each tells its peers. An instance that asks each of
    // them gets hundreds of kilobytes a dozen times, over a link on which its
    // callers' answers wait meanwhile.
    exchanging_instance one;
    constexpr unsigned peers = 10;
    for (unsigned each = 0; each < peers; ++each) {
        one.exchange.link_up(peer_name(each), start);
    }
    one.requests(start);
    unsigned asked = 0;
    for (unsigned each = 0; each < peers; ++each) {
        const auto now = start + each * 10ms;
        one.exchange.receive(peer_name(each), revision_message{7, 0}, now);
        one.exchange.tick(now);
        asked += one.requests(now);
    }
    CHECK(asked == 1);
    // Whoever was asked sends nothing: another that has it is asked.
    one.exchange.tick(start + 1s);
    CHECK(one.requests(start + 1s) == 1);
}

TEST_CASE("a lost link asks another peer for the file at once") {
    // The peer that was asked for a new configuration ends before it has sent
    // it. Waited for, the old routes would stay in force for as long.
    exchanging_instance one;
    one.exchange.link_up("pdx-1", start);
    one.exchange.link_up("pdx-2", start);
    one.requests(start);
    one.exchange.receive("pdx-1", revision_message{7, 0}, start);
    CHECK(one.requests(start) == 1);
    one.exchange.receive("pdx-2", revision_message{7, 0}, start + 10ms);
    CHECK(one.requests(start + 10ms) == 0);
    one.exchange.link_down("pdx-1", start + 20ms);
    one.exchange.tick(start + 20ms);
    CHECK(one.requests(start + 20ms) == 1);
}

TEST_CASE("links that come and go do not put off asking for a file") {
    // Guards against an old file for as long as whoever named a newer one is
    // lost before the wait for the platform ends.
    const auto kept_for = GENERATE(50ms, 150ms, 240ms);
    exchanging_instance one;
    one.exchange.set_platform_answers(true);
    one.configurations.offer({1, "first"});
    one.exchange.link_up(peer_name(0), start);
    one.introduce(peer_name(0));
    unsigned asked = 0;
    unsigned turn = 0;
    for (auto now = start; now < start + 1s; now += 10ms) {
        if ((now - start) % kept_for == 0s) {
            one.exchange.link_down(peer_name(turn % 2), now);
            ++turn;
            one.exchange.link_up(peer_name(turn % 2), now);
            one.exchange.receive(peer_name(turn % 2), revision_message{2, 0},
                                 now);
        }
        one.exchange.tick(now);
        asked += one.requests(now);
    }
    CAPTURE(kept_for / 1ms);
    CHECK(asked > 0);
}

TEST_CASE("a file is asked for although the first that named it is lost") {
    // Guards against an old file until somebody happens to name the newer one
    // again, although others that have it did.
    exchanging_instance one;
    one.exchange.set_platform_answers(true);
    one.configurations.offer({1, "first"});
    one.exchange.link_up("pdx-1", start);
    one.exchange.link_up("pdx-2", start);
    one.introduce("pdx-1");
    one.exchange.receive("pdx-1", revision_message{2, 0}, start);
    one.exchange.receive("pdx-2", revision_message{2, 0}, start + 10ms);
    one.exchange.link_down("pdx-1", start + 20ms);
    one.exchange.tick(start + 400ms);
    CHECK(one.requests(start + 400ms) == 1);
}

TEST_CASE("an instance that starts serves no older file than its peers") {
    // The platform was restored from a copy and gives out an old configuration.
    // An instance that is started then reads it; served by it, callers would
    // get routes that were withdrawn, until a peer's file has come.
    exchanging_instance one;
    one.exchange.set_platform_answers(true);
    one.configurations.offer({6, "old"});
    one.exchange.link_up("pdx-1", start);
    digest_message digest;
    digest.revision = 7;
    one.exchange.receive("pdx-1", digest, start);
    CHECK(one.requests(start) == 1);
    records_message records;
    records.answers_request = true;
    one.exchange.receive("pdx-1", records, start + 1ms);
    one.exchange.tick(start + 1ms);
    CHECK_FALSE(one.exchange.introduced());
    one.exchange.receive("pdx-1", configuration_message{7, pack("new")},
                         start + 2ms);
    CHECK(one.exchange.introduced());
    // Later files come from the platform as a rule; a peer is asked only when
    // they have not.
    one.exchange.tick(start + 3ms);
    one.exchange.receive("pdx-1", revision_message{8, 0}, start + 4ms);
    one.exchange.tick(start + 4ms);
    CHECK(one.requests(start + 4ms) == 0);
    CHECK(one.exchange.introduced());
}

TEST_CASE(
    "what was said over a link that closes beside another is said again") {
    // A peer tells of a new configuration over the link that the other end is
    // just giving up for a second one. Nobody tells it again: the instance
    // serves by the old file until a digest happens to reach it.
    exchanging_instance one;
    one.configurations.offer({3, "new"});
    one.exchange.link_up("pdx-1", start);
    one.exchange.tick(start);
    one.exchange.take_messages(start);
    const auto told = [&](time_point now) {
        unsigned count = 0;
        for (const auto& sent : one.exchange.take_messages(now)) {
            const auto* digest = std::get_if<digest_message>(&*sent.message);
            const bool names_it = digest != nullptr && digest->revision == 3;
            count += names_it && sent.peer == "pdx-1" ? 1 : 0;
        }
        return count;
    };
    one.exchange.link_replaced("pdx-1", start + 1ms);
    one.exchange.tick(start + 100ms);
    CHECK(told(start + 100ms) == 1);
    // Nothing is said to a peer without any link.
    one.exchange.link_down("pdx-1", start + 200ms);
    one.exchange.link_replaced("pdx-1", start + 200ms);
    one.exchange.tick(start + 300ms);
    CHECK(told(start + 300ms) == 0);
}

TEST_CASE("word of a newer file is not lost behind word of an older one") {
    // An operator publishes twice in quick succession. An instance that has
    // been told of the first file by several peers, and has it meanwhile, hears
    // once of the second; nobody says it again, and it serves by the first file
    // until a digest happens to reach it, once after 30 s.
    exchanging_instance one;
    for (unsigned each = 0; each < 3; ++each) {
        one.exchange.link_up(peer_name(each), start);
    }
    one.requests(start);
    one.exchange.receive(peer_name(0), revision_message{7, 0}, start);
    CHECK(one.requests(start) == 1);
    one.exchange.receive(peer_name(1), revision_message{7, 0}, start + 1ms);
    one.configurations.offer({7, "first"});
    one.exchange.receive(peer_name(0), revision_message{8, 0}, start + 5ms);
    CHECK(one.requests(start + 5ms) == 1);
}

TEST_CASE("a file is asked for although newer ones are named meanwhile") {
    // Guards against a wait that each newer word begins anew: routes that were
    // added long ago are answered 404 as long as the operator goes on.
    exchanging_instance one;
    one.exchange.set_platform_answers(true);
    one.configurations.offer({1, "first"});
    one.exchange.link_up("pdx-1", start);
    one.introduce("pdx-1");
    const auto published_every = GENERATE(50ms, 100ms, 200ms, 250ms, 300ms);
    constexpr duration tick = 10ms;
    unsigned asked = 0;
    std::uint64_t revision = 1;
    for (duration passed{}; passed < 1s; passed += tick) {
        const auto now = start + passed;
        if (passed % published_every == duration::zero()) {
            one.exchange.receive("pdx-1", revision_message{++revision, 0}, now);
        }
        one.exchange.tick(now);
        asked += one.requests(now);
    }
    CAPTURE(published_every / 1ms);
    CHECK(asked > 0);
}

TEST_CASE("who left the platform to others asks for a newer file at once") {
    // Guards against old routes for as long as the platform would take to tell,
    // on an instance that read it once and does no more.
    exchanging_instance one(1);
    member_record reader;
    reader.id = {"pdx-1", 1};
    reader.capacity.cpu_permille = 2 * self_record().capacity.cpu_permille;
    one.members.merge(reader, start);
    one.readers.take_members(one.members.members());
    one.readers.hear("pdx-1", 0ms, start);
    REQUIRE_FALSE(one.readers.should_read(start));
    one.exchange.set_platform_answers(true);
    one.configurations.offer({1, "first"});
    one.exchange.link_up("pdx-1", start);
    one.introduce("pdx-1");
    one.exchange.receive("pdx-1", revision_message{2, 0}, start + 1ms);
    CHECK(one.requests(start + 1ms) == 1);
}

TEST_CASE("word that waited while the process was stopped is not new") {
    // Guards against an instance that wakes, and those that listen to it, who
    // trust old word and read the platform too late for themselves.
    exchanging_instance one(1);
    one.exchange.link_up("pdx-1", start);
    const platform_word word{"pdx-1", 0ms, one.registry.fingerprint(), 0};
    one.fresh.beat(start);
    one.exchange.receive("pdx-1", word, start);
    const auto woken = start + 3s;
    REQUIRE(one.fresh.beat(woken));
    one.exchange.woke_late(woken);
    one.exchange.receive("pdx-1", word, woken);
    CHECK(one.readers.age(woken) == 3s);
    digest_message answer;
    answer.answers = one.fresh.epoch();
    one.exchange.receive("pdx-1", answer, woken + 1ms);
    one.exchange.receive("pdx-1", word, woken + 2ms);
    CHECK(one.readers.age(woken + 2ms) == 0s);
}

TEST_CASE("a peer is asked again whose answer after a wake-up was lost") {
    // Guards against word of a peer that counts for old as long as the link
    // lasts.
    exchanging_instance one(1);
    one.exchange.link_up("pdx-1", start);
    one.fresh.beat(start);
    const auto woken = start + 3s;
    REQUIRE(one.fresh.beat(woken));
    one.exchange.woke_late(woken);
    one.fresh.hear(one.fresh.epoch());
    one.exchange.take_messages(woken);
    one.exchange.link_replaced("pdx-1", woken + 1ms);
    one.exchange.tick(woken + 1ms);
    unsigned asked = 0;
    for (const auto& each : one.exchange.take_messages(woken + 1ms)) {
        const auto* digest = std::get_if<digest_message>(&*each.message);
        asked += digest != nullptr && digest->asks == one.fresh.epoch() ? 1 : 0;
    }
    CHECK(asked > 0);
}

TEST_CASE("the next file is asked for as soon as the one before has come") {
    // Guards against a tick of delay for each of many files in a row.
    exchanging_instance one;
    one.exchange.link_up("pdx-1", start);
    one.exchange.link_up("pdx-2", start);
    one.requests(start);
    one.exchange.receive("pdx-1", revision_message{2, 0}, start);
    CHECK(one.requests(start) == 1);
    one.exchange.receive("pdx-2", revision_message{3, 0}, start + 5ms);
    CHECK(one.requests(start + 5ms) == 0);
    one.exchange.receive("pdx-1", configuration_message{2, pack("second")},
                         start + 10ms);
    CHECK(one.requests(start + 10ms) == 1);
}

TEST_CASE("an instance tells which newer file it waits for") {
    // Guards against instances that stay at an old file without a word why.
    exchanging_instance one;
    one.configurations.offer({6, "old"});
    one.exchange.link_up("pdx-1", start);
    one.requests(start);
    CHECK_FALSE(one.exchange.files().awaited(start));
    one.exchange.receive("pdx-1", revision_message{7, 0}, start);
    CHECK(one.requests(start) == 1);
    one.exchange.receive("pdx-1", revision_message{9, 0}, start + 2s);
    const auto awaited = one.exchange.files().awaited(start + 3s);
    REQUIRE(awaited);
    CHECK(awaited->revision == 9);
    CHECK(awaited->named_by == "pdx-1");
    CHECK(awaited->waited == 3s);
    CHECK(awaited->asked == 2);
    one.exchange.receive("pdx-1", configuration_message{9, pack("new")},
                         start + 3s);
    CHECK_FALSE(one.exchange.files().awaited(start + 3s));
    CHECK(one.exchange.files().sender_of(9) == "pdx-1");
    CHECK(one.exchange.files().sender_of(6).empty());
}

TEST_CASE("a stranger is told at once who linked with it") {
    // All instances start in one moment, and each data centre finds its own
    // seed first. What an instance says to its feed reaches its own data centre
    // only; if it says nothing to the other seeds, each data centre takes
    // itself for the whole fleet for seconds, with an owner of its own for the
    // same slots, and requests wait inside the servers behind those of two
    // others.
    exchanging_instance one;
    one.members.start_life(7);
    one.exchange.link_up("pdx-1", start);
    one.exchange.link_up("spk-1", start);
    std::set<std::string> told;
    for (const auto& sent : one.exchange.take_messages(start + 2ms)) {
        const auto* records = std::get_if<records_message>(&*sent.message);
        if (records != nullptr && records->members.size() == 1 &&
            records->members[0].id.name == "sea-1") {
            told.insert(sent.peer);
        }
    }
    CHECK(told == std::set<std::string>{"pdx-1", "spk-1"});
}
