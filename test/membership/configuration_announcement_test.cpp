#include <catch2/catch.hpp>

#include <functional>
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

// The tables of one instance and its exchange with linked peers.
struct exchanging_instance {
    // With a reader count of 0, every instance reads the platform itself.
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
    crash_verdict_table quarantine{{}};
    reader_duty readers;
    freshness fresh{1s, start};
    peer_exchange exchange{
        {configurations, members, beliefs, registry, quarantine, readers},
        fresh,
        {},
        1,
        start};

    // Delivers the peer's answer to a request for records, which completes the
    // introduction.
    void introduce(const std::string& peer) {
        records_message records;
        records.answers_request = true;
        exchange.receive(peer, records, start);
        exchange.tick(start);
        count_requests(start);
    }

    unsigned count_requests(time_point now) {
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

TEST_CASE("an instance is behind until it has the newest file it knows of") {
    // Guards against requests run by an old configuration that counts as the
    // newest since a file between the two has arrived.
    exchanging_instance f;
    f.configurations.offer({62, ""});
    f.exchange.receive("pdx-1", revision_message{64, 0}, start);
    f.exchange.receive("pdx-1", revision_message{68, 0}, start + 1s);
    CHECK(f.exchange.files().behind_for(start + 2s) == duration(2s));
    f.configurations.offer({64, ""});
    CHECK(f.exchange.files().behind_for(start + 3s) == duration(2s));
    f.exchange.receive("pdx-2", revision_message{66, 0}, start + 3s);
    CHECK(f.exchange.files().behind_for(start + 3s) == duration(2s));
    f.configurations.offer({68, ""});
    CHECK_FALSE(f.exchange.files().behind_for(start + 3s));
}

TEST_CASE("a file that many peers announce is requested once") {
    // Guards against receiving hundreds of kilobytes a dozen times while
    // callers' answers wait on the same link. An operator's file of 1,600
    // routes comes into force on one instance after another, and each announces
    // it to its peers.
    exchanging_instance instance;
    constexpr unsigned peers = 10;
    for (unsigned each = 0; each < peers; ++each) {
        instance.exchange.link_up(peer_name(each), start);
    }
    instance.count_requests(start);
    unsigned asked = 0;
    for (unsigned each = 0; each < peers; ++each) {
        const auto now = start + each * 10ms;
        instance.exchange.receive(peer_name(each), revision_message{7, 0}, now);
        instance.exchange.tick(now);
        asked += instance.count_requests(now);
    }
    CHECK(asked == 1);
    // The peer that was asked sends nothing, so another one is asked.
    instance.exchange.tick(start + 1s);
    CHECK(instance.count_requests(start + 1s) == 1);
}

TEST_CASE("after a late wake-up several peers are asked for a file") {
    // Guards against an instance that runs in slices and asks one peer in each,
    // which runs late as well and answers in none of them.
    exchanging_instance instance;
    constexpr unsigned peers = 10;
    for (unsigned each = 0; each < peers; ++each) {
        instance.exchange.link_up(peer_name(each), start);
    }
    instance.fresh.beat(start);
    const auto woken = start + 3s;
    REQUIRE(instance.fresh.beat(woken));
    instance.exchange.woke_late(3s, woken);
    instance.count_requests(woken);
    unsigned asked = 0;
    for (unsigned each = 0; each < peers; ++each) {
        instance.exchange.receive(peer_name(each), revision_message{7, 0},
                                  woken + each * 1ms);
        asked += instance.count_requests(woken + each * 1ms);
    }
    CHECK(asked == 3);
}

TEST_CASE("when the link to the peer that was asked is lost, another is asked "
          "at once") {
    // Guards against old routes staying in force until the request times out,
    // when the peer that was asked for a new configuration ends before it has
    // sent it.
    exchanging_instance instance;
    instance.exchange.link_up("pdx-1", start);
    instance.exchange.link_up("pdx-2", start);
    instance.count_requests(start);
    instance.exchange.receive("pdx-1", revision_message{7, 0}, start);
    CHECK(instance.count_requests(start) == 1);
    instance.exchange.receive("pdx-2", revision_message{7, 0}, start + 10ms);
    CHECK(instance.count_requests(start + 10ms) == 0);
    instance.exchange.link_down("pdx-1", start + 20ms);
    instance.exchange.tick(start + 20ms);
    CHECK(instance.count_requests(start + 20ms) == 1);
}

TEST_CASE("links that are lost and reopened do not delay the request for a "
          "file") {
    // Guards against an old file staying in force as long as each peer that
    // announces a newer one is lost before the wait for the platform ends.
    const auto link_lifetime = GENERATE(50ms, 150ms, 240ms);
    exchanging_instance instance;
    instance.exchange.set_platform_answers(true);
    instance.configurations.offer({1, "first"});
    instance.exchange.link_up(peer_name(0), start);
    instance.introduce(peer_name(0));
    unsigned asked = 0;
    unsigned link_count = 0;
    for (auto now = start; now < start + 1s; now += 10ms) {
        if ((now - start) % link_lifetime == 0s) {
            instance.exchange.link_down(peer_name(link_count % 2), now);
            ++link_count;
            instance.exchange.link_up(peer_name(link_count % 2), now);
            instance.exchange.receive(peer_name(link_count % 2),
                                      revision_message{2, 0}, now);
        }
        instance.exchange.tick(now);
        asked += instance.count_requests(now);
    }
    CAPTURE(link_lifetime / 1ms);
    CHECK(asked > 0);
}

TEST_CASE("a file is requested although the peer that announced it first is "
          "lost") {
    // Guards against an old file staying in force until some peer happens to
    // announce the newer one again, although another linked peer already did.
    exchanging_instance instance;
    instance.exchange.set_platform_answers(true);
    instance.configurations.offer({1, "first"});
    instance.exchange.link_up("pdx-1", start);
    instance.exchange.link_up("pdx-2", start);
    instance.introduce("pdx-1");
    instance.exchange.receive("pdx-1", revision_message{2, 0}, start);
    instance.exchange.receive("pdx-2", revision_message{2, 0}, start + 10ms);
    instance.exchange.link_down("pdx-1", start + 20ms);
    instance.exchange.tick(start + 400ms);
    CHECK(instance.count_requests(start + 400ms) == 1);
}

TEST_CASE("an instance that starts serves no older file than its peers") {
    // Guards against callers getting withdrawn routes when an instance starts
    // while the platform, restored from a copy, serves an old configuration.
    // The instance must not count as introduced until a peer's file has
    // arrived.
    exchanging_instance instance;
    instance.exchange.set_platform_answers(true);
    instance.configurations.offer({6, "old"});
    instance.exchange.link_up("pdx-1", start);
    digest_message digest;
    digest.revision = 7;
    instance.exchange.receive("pdx-1", digest, start);
    CHECK(instance.count_requests(start) == 1);
    records_message records;
    records.answers_request = true;
    instance.exchange.receive("pdx-1", records, start + 1ms);
    instance.exchange.tick(start + 1ms);
    CHECK_FALSE(instance.exchange.introduced());
    instance.exchange.receive("pdx-1", configuration_message{7, pack("new")},
                              start + 2ms);
    CHECK(instance.exchange.introduced());
    // Later files usually arrive from the platform; a peer is asked only if
    // they do not.
    instance.exchange.tick(start + 3ms);
    instance.exchange.receive("pdx-1", revision_message{8, 0}, start + 4ms);
    instance.exchange.tick(start + 4ms);
    CHECK(instance.count_requests(start + 4ms) == 0);
    CHECK(instance.exchange.introduced());
}

// Guards against whole files from one peer after the other while the first is
// being read.
TEST_CASE("no file is requested while one is being read") {
    exchanging_instance instance;
    std::function<void(offer_outcome)> tell;
    instance.exchange.offer_files_by([&](const auto&, const auto& then) {
        tell = then;
        return offer_outcome::begun;
    });
    for (const unsigned each : {1U, 2U}) {
        instance.exchange.link_up(peer_name(each), start);
        instance.introduce(peer_name(each));
        instance.exchange.receive(peer_name(each), revision_message{7, 0},
                                  start);
    }
    instance.exchange.tick(start + 1s);
    CHECK(instance.count_requests(start + 1s) == 1);
    instance.exchange.receive("pdx-1", configuration_message{7, pack("new")},
                              start + 1s);
    REQUIRE(tell);
    for (auto now = start + 1s; now < start + 20s; now += 100ms) {
        instance.exchange.tick(now);
        CHECK(instance.count_requests(now) == 0);
    }
    CHECK(instance.exchange.files().behind_for(start + 5s));
    tell(offer_outcome::conflicting); // it could not be used
    instance.exchange.receive("pdx-2", revision_message{8, 0}, start + 20s);
    instance.exchange.tick(start + 21s);
    CHECK(instance.count_requests(start + 21s) > 0);
}

TEST_CASE("a digest is sent again when one of two links with a peer closes") {
    // Guards against a lost announcement. A new configuration is announced on a
    // link that the other end is just closing in favour of a second one;
    // without another message the peer serves by the old file until a periodic
    // digest happens to reach it.
    exchanging_instance instance;
    instance.configurations.offer({3, "new"});
    instance.exchange.link_up("pdx-1", start);
    instance.exchange.tick(start);
    instance.exchange.take_messages(start);
    const auto count_announcements = [&](time_point now) {
        unsigned count = 0;
        for (const auto& sent : instance.exchange.take_messages(now)) {
            const auto* digest = std::get_if<digest_message>(&*sent.message);
            const bool announces_file =
                digest != nullptr && digest->revision == 3;
            count += announces_file && sent.peer == "pdx-1" ? 1 : 0;
        }
        return count;
    };
    instance.exchange.link_replaced("pdx-1", start + 1ms);
    instance.exchange.tick(start + 100ms);
    CHECK(count_announcements(start + 100ms) == 1);
    // Nothing is sent to a peer without any link.
    instance.exchange.link_down("pdx-1", start + 200ms);
    instance.exchange.link_replaced("pdx-1", start + 200ms);
    instance.exchange.tick(start + 300ms);
    CHECK(count_announcements(start + 300ms) == 0);
}

TEST_CASE("the announcement of a newer file is not hidden by that of an older "
          "one") {
    // Guards against serving by an older file until a periodic digest happens
    // to arrive, once after 30 s. An operator publishes twice in quick
    // succession; several peers announce the first file, which the instance
    // then has, and the second file is announced only once.
    exchanging_instance instance;
    for (unsigned each = 0; each < 3; ++each) {
        instance.exchange.link_up(peer_name(each), start);
    }
    instance.count_requests(start);
    instance.exchange.receive(peer_name(0), revision_message{7, 0}, start);
    CHECK(instance.count_requests(start) == 1);
    instance.exchange.receive(peer_name(1), revision_message{7, 0},
                              start + 1ms);
    instance.configurations.offer({7, "first"});
    instance.exchange.receive(peer_name(0), revision_message{8, 0},
                              start + 5ms);
    CHECK(instance.count_requests(start + 5ms) == 1);
}

TEST_CASE("a file is requested although newer ones are announced meanwhile") {
    // Guards against a delay that each newer announcement restarts: as long as
    // the operator keeps publishing, routes that were added long ago would be
    // answered 404.
    exchanging_instance instance;
    instance.exchange.set_platform_answers(true);
    instance.configurations.offer({1, "first"});
    instance.exchange.link_up("pdx-1", start);
    instance.introduce("pdx-1");
    const auto published_every = GENERATE(50ms, 100ms, 200ms, 250ms, 300ms);
    constexpr duration tick = 10ms;
    unsigned asked = 0;
    std::uint64_t revision = 1;
    for (duration passed{}; passed < 1s; passed += tick) {
        const auto now = start + passed;
        if (passed % published_every == duration::zero()) {
            instance.exchange.receive("pdx-1", revision_message{++revision, 0},
                                      now);
        }
        instance.exchange.tick(now);
        asked += instance.count_requests(now);
    }
    CAPTURE(published_every / 1ms);
    CHECK(asked > 0);
}

TEST_CASE("an instance that does not read the platform requests a newer file "
          "at once") {
    // Guards against old routes staying in force while an instance that once
    // read the platform and no longer does waits for it.
    exchanging_instance instance(1);
    member_record reader;
    reader.id = {"pdx-1", 1};
    reader.capacity.cpu_permille = 2 * self_record().capacity.cpu_permille;
    instance.members.merge(reader, start);
    instance.readers.take_members(instance.members.members());
    instance.readers.hear("pdx-1", 0ms, start);
    REQUIRE_FALSE(instance.readers.should_read(start));
    instance.exchange.set_platform_answers(true);
    instance.configurations.offer({1, "first"});
    instance.exchange.link_up("pdx-1", start);
    instance.introduce("pdx-1");
    instance.exchange.receive("pdx-1", revision_message{2, 0}, start + 1ms);
    CHECK(instance.count_requests(start + 1ms) == 1);
}

TEST_CASE("a platform status that waited while the process was stopped does "
          "not count as recent") {
    // Guards against an instance that wakes up, and its subscribers, trusting
    // an old platform status and reading the platform too late themselves.
    exchanging_instance instance(1);
    instance.exchange.link_up("pdx-1", start);
    const platform_status word{"pdx-1", 0ms, instance.registry.fingerprint(),
                               0};
    instance.fresh.beat(start);
    instance.exchange.receive("pdx-1", word, start);
    const auto woken = start + 3s;
    REQUIRE(instance.fresh.beat(woken));
    instance.exchange.woke_late(3s, woken);
    instance.exchange.receive("pdx-1", word, woken);
    CHECK(instance.readers.age(woken) == 3s);
    digest_message answer;
    answer.answered_epoch = instance.fresh.epoch();
    instance.exchange.receive("pdx-1", answer, woken + 1ms);
    instance.exchange.receive("pdx-1", word, woken + 2ms);
    CHECK(instance.readers.age(woken + 2ms) == 0s);
}

TEST_CASE("an instance with many links queries few peers after a wake-up") {
    // Guards against a slice of running time that goes into queries to all, so
    // that nothing else is done in it: an owner has links with all others.
    exchanging_instance instance(1);
    instance.fresh.beat(start);
    for (int peer = 0; peer < 100; ++peer) {
        instance.exchange.link_up("pdx-" + std::to_string(100 + peer), start);
    }
    instance.exchange.take_messages(start);
    const auto woken = start + 3s;
    REQUIRE(instance.fresh.beat(woken));
    instance.exchange.woke_late(3s, woken);
    const auto queried = [&](time_point now) {
        std::set<std::string> peers;
        for (const auto& each : instance.exchange.take_messages(now)) {
            const auto* digest = std::get_if<digest_message>(&*each.message);
            if (digest != nullptr && digest->query_epoch != 0) {
                peers.insert(each.peer);
            }
        }
        return peers;
    };
    const auto first = queried(woken);
    CHECK(first.size() <= 8);
    CHECK(first.size() >= 3);
    // One that was not queried is when it has something to say.
    const std::string other = "pdx-199";
    REQUIRE(first.count(other) == 0);
    const platform_status word{other, 0ms, instance.registry.fingerprint(), 0};
    instance.exchange.receive(other, word, woken + 1ms);
    CHECK(queried(woken + 1ms).count(other) == 1);
    CHECK(instance.readers.age(woken + 1ms) > 2s);
    digest_message answer;
    answer.answered_epoch = instance.fresh.epoch();
    instance.exchange.receive(other, answer, woken + 2ms);
    instance.exchange.receive(other, word, woken + 3ms);
    CHECK(instance.readers.age(woken + 3ms) == 0s);
}

TEST_CASE("a peer is queried again if its answer after a wake-up was lost") {
    // Guards against the platform status of a peer being ignored as old for as
    // long as the link lasts.
    exchanging_instance instance(1);
    instance.exchange.link_up("pdx-1", start);
    instance.fresh.beat(start);
    const auto woken = start + 3s;
    REQUIRE(instance.fresh.beat(woken));
    instance.exchange.woke_late(3s, woken);
    instance.fresh.record_peer_answer(instance.fresh.epoch());
    instance.exchange.take_messages(woken);
    instance.exchange.link_replaced("pdx-1", woken + 1ms);
    instance.exchange.tick(woken + 1ms);
    unsigned asked = 0;
    for (const auto& each : instance.exchange.take_messages(woken + 1ms)) {
        const auto* digest = std::get_if<digest_message>(&*each.message);
        asked +=
            digest != nullptr && digest->query_epoch == instance.fresh.epoch()
                ? 1
                : 0;
    }
    CHECK(asked > 0);
}

TEST_CASE("the next file is requested as soon as the previous one arrives") {
    // Guards against a delay of one tick for each of many files in a row.
    exchanging_instance instance;
    instance.exchange.link_up("pdx-1", start);
    instance.exchange.link_up("pdx-2", start);
    instance.count_requests(start);
    instance.exchange.receive("pdx-1", revision_message{2, 0}, start);
    CHECK(instance.count_requests(start) == 1);
    instance.exchange.receive("pdx-2", revision_message{3, 0}, start + 5ms);
    CHECK(instance.count_requests(start + 5ms) == 0);
    instance.exchange.receive("pdx-1", configuration_message{2, pack("second")},
                              start + 10ms);
    CHECK(instance.count_requests(start + 10ms) == 1);
}

TEST_CASE("an instance reports which newer file it is waiting for") {
    // Guards against instances that keep an old file without reporting why.
    exchanging_instance instance;
    instance.configurations.offer({6, "old"});
    instance.exchange.link_up("pdx-1", start);
    instance.count_requests(start);
    CHECK_FALSE(instance.exchange.files().pending(start));
    instance.exchange.receive("pdx-1", revision_message{7, 0}, start);
    CHECK(instance.count_requests(start) == 1);
    instance.exchange.receive("pdx-1", revision_message{9, 0}, start + 2s);
    const auto awaited = instance.exchange.files().pending(start + 3s);
    REQUIRE(awaited);
    CHECK(awaited->revision == 9);
    CHECK(awaited->announced_by == "pdx-1");
    CHECK(awaited->waiting_time == 3s);
    CHECK(awaited->requests == 2);
    instance.exchange.receive("pdx-1", configuration_message{9, pack("new")},
                              start + 3s);
    CHECK_FALSE(instance.exchange.files().pending(start + 3s));
    CHECK(instance.exchange.files().sender_of(9) == "pdx-1");
    CHECK(instance.exchange.files().sender_of(6).empty());
}

TEST_CASE("an instance sends its member record at once to a linked peer that "
          "it does not know") {
    // Guards against several owners of the same slots when all instances start
    // at once and each data centre finds its own seed first. Updates to the
    // upstream peer reach only the instance's own data centre. Without the
    // record, the other seeds would not know it, each data centre would take
    // itself for the whole fleet for seconds, and requests would queue in the
    // servers behind those of two other owners.
    exchanging_instance instance;
    instance.members.start_life(7);
    instance.exchange.link_up("pdx-1", start);
    instance.exchange.link_up("spk-1", start);
    std::set<std::string> recipients;
    for (const auto& sent : instance.exchange.take_messages(start + 2ms)) {
        const auto* records = std::get_if<records_message>(&*sent.message);
        if (records != nullptr && records->members.size() == 1 &&
            records->members[0].id.name == "sea-1") {
            recipients.insert(sent.peer);
        }
    }
    CHECK(recipients == std::set<std::string>{"pdx-1", "spk-1"});
}

namespace {

// The instance "sea-2", whose upstream peer "sea-1" hears of the platform from
// the reader "pdx-1", and has not got the newest configuration yet.
struct relayed_instance {
    exchanging_instance relay{1};
    exchanging_instance behind{1};

    relayed_instance() {
        relay.configurations.offer({3, "first"});
        relay.exchange.link_up("pdx-1", start);
        relay.exchange.link_up("sea-2", start);
        digest_message subscribes;
        subscribes.subscription = subscription_change::subscribe;
        relay.exchange.receive("sea-2", subscribes, start);
        relay.exchange.take_messages(start);
        behind.configurations.offer({3, "first"});
        behind.exchange.link_up("sea-1", start);
    }

    // The reader has read that revision just now. How often that is passed on.
    unsigned hear(std::uint64_t revision, time_point now) {
        relay.exchange.receive("pdx-1",
                               platform_status{"pdx-1", 0ms,
                                               relay.registry.fingerprint(),
                                               revision},
                               now);
        unsigned passed_on = 0;
        for (const auto& each : relay.exchange.take_messages(now)) {
            if (each.peer == "sea-2" &&
                std::holds_alternative<platform_status>(*each.message)) {
                behind.exchange.receive("sea-1", *each.message, now);
                ++passed_on;
            }
        }
        return passed_on;
    }
};

} // namespace

TEST_CASE(
    "a relay that lacks a configuration tells that there is a newer one") {
    // Guards against instances behind one upstream peer that stay at an old
    // configuration and take it for the newest: the peer tells them that the
    // platform was read a moment ago.
    relayed_instance f;
    const auto now = start + 200ms;
    REQUIRE(f.hear(18, now) == 1);
    REQUIRE(f.behind.readers.age(now) == 0ms);
    const auto pending = f.behind.exchange.files().pending(now);
    REQUIRE(pending);
    CHECK(pending->revision == 18);
}

TEST_CASE("an instance whose upstream peer stays behind reads the platform") {
    // Guards against a configuration that is not in force after 2 s on an
    // instance that reaches the platform all the while.
    relayed_instance f;
    member_record reader;
    reader.id = {"pdx-1", 1};
    reader.capacity.cpu_permille = 2 * self_record().capacity.cpu_permille;
    f.behind.members.merge(reader, start);
    f.behind.readers.take_members(f.behind.members.members());
    auto now = start;
    const auto tick = [&] {
        now += 100ms;
        f.hear(18, now);
        f.behind.exchange.tick(now);
        return f.behind.readers.should_read(now);
    };
    REQUIRE_FALSE(tick());
    bool reads = false;
    for (int i = 0; i < 15; ++i) {
        reads = tick();
    }
    CHECK(reads);
    f.behind.configurations.offer({18, "newest"});
    CHECK_FALSE(tick());
}

TEST_CASE("a configuration that nobody has is not awaited for ever") {
    // Guards against requests that are never refused for good once the platform
    // was restored from a copy, and the instances that had a later file ended.
    relayed_instance f;
    REQUIRE(f.hear(18, start + 200ms) == 1);
    auto& exchange = f.behind.exchange;
    exchange.link_down("sea-1", start + 300ms);
    exchange.tick(start + 5s);
    REQUIRE(exchange.files().pending(start + 5s));
    exchange.tick(start + 11s);
    CHECK_FALSE(exchange.files().pending(start + 11s));
    // A peer that still remembers it does not begin the wait anew.
    exchange.link_up("sea-1", start + 11s);
    exchange.receive("sea-1", platform_status{"pdx-1", 0ms, 0, 3, 18},
                     start + 12s);
    CHECK_FALSE(exchange.files().pending(start + 12s));
    exchange.receive("sea-1", platform_status{"pdx-1", 0ms, 0, 3, 19},
                     start + 13s);
    CHECK(exchange.files().pending(start + 13s));
}
