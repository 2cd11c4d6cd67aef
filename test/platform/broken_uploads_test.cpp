#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "platform/scripted_world.hpp"

using namespace std::chrono_literals;
using namespace waxwingvale;
using namespace waxwingvale::platform;

namespace {

constexpr unsigned unavailable = 503;
constexpr std::size_t upload_size = 12 * 1024 * 1024; // bytes
// More than an instance waits for before it begins to send a body.
constexpr std::size_t begun_size = 320 * 1024; // bytes
constexpr std::size_t callers_at_once = 24;
// So many uploads are to meet a server that cuts its answer. One that has done
// so gets little for a while, so that further rounds need other servers.
constexpr std::size_t least_cut = 48;
constexpr std::size_t rounds_in_a_world = 3;
constexpr std::size_t most_worlds = 6;
constexpr std::size_t server_count = 12;

const std::string head = "HTTP/1.1 200 OK\r\n"
                         "Waxwingvale-Response-Signature: s\r\n"
                         "Waxwingvale-Attempt-Id: {id}\r\n";

struct upload_case {
    const char* name;
    const char* head_line; // of the answer, besides the signature
    std::size_t part;      // bytes of its body
    std::size_t piece;     // bytes of the upload at a time
    answer_ending ending;
    bool reads_on;
};

constexpr std::size_t small_part = 3000;
constexpr std::size_t large_part = 2 * 1024 * 1024;
constexpr std::size_t small_piece = 4 * 1024;
constexpr std::size_t large_piece = 128 * 1024;

constexpr upload_case cases[] = {
    {"reset, small pieces, a small part", "", small_part, small_piece,
     answer_ending::reset, true},
    {"reset, small pieces, a large part", "Connection: close\r\n", large_part,
     small_piece, answer_ending::reset, true},
    {"reset, large pieces, not read", "", small_part, large_piece,
     answer_ending::reset, false},
    {"closed with bytes unread", "Connection: close\r\n", small_part,
     small_piece, answer_ending::close_unread, false},
};

bool is_upload(const io::http_request& request) {
    return request.target.find("/up") != std::string::npos;
}

scripted_answer cut_answer(const upload_case& of) {
    scripted_answer answer;
    answer.bytes = head + of.head_line + "\r\n" + std::string(of.part, 'p');
    answer.ending = of.ending;
    answer.at_head = true;
    answer.reads_on = of.reads_on;
    answer.until_ending = 15ms;
    return answer;
}

scripted_server::script cut_uploads(const upload_case& as) {
    return [as](const io::http_request& request) {
        return is_upload(request) ? std::optional(cut_answer(as))
                                  : std::nullopt;
    };
}

// Copies of one request whose connections are lost are held back for a while.
enum class crowd { of_copies, of_different };

// The number picks the route, and whether the body goes in chunks.
raw_request upload(std::size_t number, const upload_case& of,
                   crowd from = crowd::of_different) {
    raw_request request;
    request.method = "POST";
    request.target = number % 2 == 0 ? "/look/up" : "/book/up";
    if (from == crowd::of_different) {
        request.target += "/" + std::to_string(number);
    }
    request.body_size = upload_size;
    request.chunked = number % 4 < 2;
    request.at_once = begun_size;
    request.piece = of.piece;
    return request;
}

// By the first instances, so many as are named.
std::vector<std::unique_ptr<raw_call>> upload_at_once(scripted_world& world,
                                                      const upload_case& of,
                                                      crowd from,
                                                      std::size_t instances) {
    std::vector<std::unique_ptr<raw_call>> calls;
    for (std::size_t each = 0; each < callers_at_once; ++each) {
        calls.push_back(world.call(each % instances, upload(each, of, from)));
    }
    REQUIRE(world.run_until([&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto& each) { return each->over(); });
    }));
    return calls;
}

// What holds of uploads of which each may meet such a server; how many did.
std::size_t check_cut(const scripted_world& world,
                      const std::vector<std::unique_ptr<raw_call>>& calls) {
    std::size_t cut = 0;
    for (const auto& each : calls) {
        const auto got = each->answer();
        INFO(each->bytes().substr(0, 300));
        CHECK_FALSE(got.whole_success());
        CHECK(answers_begun(each->bytes()) <= 1);
        if (world.arrivals(each->id()) > 0) {
            ++cut;
            CHECK_FALSE((got.complete && got.status == unavailable));
        }
    }
    return cut;
}

} // namespace

// Guards against a part of an answer that a caller takes for the whole, since
// the connection was reset while the caller's upload was still being sent.
TEST_CASE("a part of an answer to an upload never looks complete") {
    const auto played =
        GENERATE(from_range(std::begin(cases), std::end(cases)));
    const auto from = GENERATE(crowd::of_copies, crowd::of_different);
    INFO(played.name);
    CAPTURE(static_cast<int>(from));
    std::size_t cut = 0;
    for (std::size_t each = 0; each < most_worlds && cut < least_cut; ++each) {
        scripted_world world(cut_uploads(played), server_count);
        for (std::size_t round = 0; round < rounds_in_a_world; ++round) {
            cut += check_cut(world, upload_at_once(world, played, from,
                                                   world.instances.size()));
        }
        CHECK(world.serves_a_read());
    }
    CHECK(cut >= least_cut);
}

// Guards against the same where another instance has the request run, since the
// first one reaches no server.
TEST_CASE("a part of an answer on a detour never looks complete") {
    const auto played = GENERATE(cases[0], cases[2]);
    INFO(played.name);
    std::size_t cut = 0;
    for (std::size_t each = 0; each < most_worlds && cut < callers_at_once;
         ++each) {
        scripted_world world(cut_uploads(played), server_count, cut_node);
        world.partition_first();
        REQUIRE(world.serves_a_read());
        for (std::size_t round = 0; round < rounds_in_a_world; ++round) {
            cut += check_cut(
                world, upload_at_once(world, played, crowd::of_copies, 1));
        }
        CHECK(world.serves_a_read());
    }
    CHECK(cut >= callers_at_once);
}

// Guards against sound answers without a length that are lost since they come
// while an upload is being sent.
TEST_CASE("an early answer without a length that ends in order is whole") {
    const std::size_t size = GENERATE(small_part, large_part);
    CAPTURE(size);
    scripted_world world(
        [&](const io::http_request& request) -> std::optional<scripted_answer> {
            if (!is_upload(request)) {
                return std::nullopt;
            }
            scripted_answer answer;
            answer.bytes = head + "\r\n" + std::string(size, 'p');
            answer.ending = answer_ending::close;
            answer.until_ending = 200ms;
            return answer;
        });
    for (std::size_t number = 0; number < 8; ++number) {
        auto request = upload(number, cases[0]);
        request.body_size = begun_size + 64 * small_piece;
        const auto call = world.call(number, request);
        REQUIRE(world.finish(*call));
        const auto got = call->answer();
        INFO(call->bytes().substr(0, 300));
        CHECK(got.whole_success());
        CHECK(got.body.size() == size);
    }
}
