#include <catch2/catch.hpp>

#include <waxwingvale/decision/suspicion_outbox.hpp>

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::decision;

namespace {

const time_point start{1h};

suspicion_outbox gathering_outbox() {
    suspicion_outbox outbox;
    outbox.set_pause(100ms);
    return outbox;
}

suspicion_recipients to(std::set<std::string> peers, bool for_all = false) {
    return {std::move(peers), {{}, 0, for_all}};
}

} // namespace

TEST_CASE("news in quick succession shares a message") {
    auto outbox = gathering_outbox();
    for (std::uint64_t each = 1; each <= 50; ++each) {
        const auto now = start + each * 1ms;
        outbox.add({{each}, {each + 1}}, to({"a", "b"}), now);
    }
    CHECK(outbox.due_at() == start + 101ms);
    const auto batches = outbox.take();
    REQUIRE(batches.size() == 1);
    CHECK(batches[0].peers == std::set<std::string>{"a", "b"});
    CHECK(batches[0].fingerprints.size() == 51);
    CHECK_FALSE(batches[0].for_all);
    CHECK(outbox.empty());
    // The next news begins a wait of its own.
    outbox.add({{1}}, to({"a"}), start + 1s);
    CHECK(outbox.due_at() == start + 1100ms);
}

TEST_CASE("a request that is cleared before anybody was told is not told") {
    auto outbox = gathering_outbox();
    outbox.add({{1}}, to({"a", "b"}), start);
    outbox.add({{2}}, to({"b"}), start);
    outbox.forget(request_fingerprint{1});
    CHECK(outbox.take_for("a").empty());
    REQUIRE(outbox.take_for("b").size() == 1);
    CHECK(outbox.empty());
}

TEST_CASE("peers are told what is meant for them only") {
    auto outbox = gathering_outbox();
    outbox.add({{1}}, to({"a", "b"}), start);
    outbox.add({{2}}, to({"b"}), start);
    outbox.add({{3}}, to({"b", "c"}, true), start);
    std::map<std::string, std::size_t> told;
    std::size_t for_all = 0;
    for (const auto& batch : outbox.take()) {
        for (const auto& peer : batch.peers) {
            told[peer] += batch.fingerprints.size();
        }
        for_all += batch.for_all ? batch.fingerprints.size() : 0;
    }
    CHECK(told ==
          std::map<std::string, std::size_t>{{"a", 1}, {"b", 3}, {"c", 1}});
    CHECK(for_all == 1);
}

TEST_CASE("a peer that asks is told at once what waits for it") {
    // Guards against a copy of a suspect that is sent by an instance which got
    // a slot before it heard of it.
    auto outbox = gathering_outbox();
    outbox.add({{2}}, to({"a", "b"}), start);
    const auto for_a = outbox.take_for("a");
    REQUIRE(for_a.size() == 1);
    CHECK(for_a[0].fingerprints.count({2}) == 1);
    CHECK(outbox.take_for("a").empty());
    outbox.forget(std::string("b"));
    CHECK(outbox.empty());
}
