#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <waxwingvale/io/http_server.hpp>
#include <waxwingvale/kernel/timer_service.hpp>

#include "standin/request_target.hpp"

namespace waxwingvale::platform {

// What becomes of an answer of the store on its way.
enum class answer_fate { prompt, late, lost };

// The platform's store, read and watched on the loop of the test.
class stand_in_store {
public:
    stand_in_store(kernel::event_loop& loop, kernel::timer_service& timers);
    std::uint16_t port() const { return server_.port(); }
    // Each returns the store's revision after the change.
    std::uint64_t write(const std::string& configuration);
    std::uint64_t put(const std::string& key, const std::string& value);
    std::uint64_t remove(const std::string& key);
    // From now on no question is answered; those of the time stay so.
    void set_silent(bool silent) { silent_ = silent; }

    // All that is in the store, to come back from.
    class copy;
    copy take_copy() const;
    // Comes back from a copy: what was changed since is lost, its revisions are
    // given out again, and the era rises by one. Watches are not answered any
    // more.
    void come_back_from(const copy& former);
    // Answers of this moment to the next questions are kept until they are
    // released, whatever the store holds by then.
    void keep_answers(bool kept) { keeps_answers_ = kept; }
    void release_answers();
    // Asked before each answer; a late one comes late_answer after its moment.
    void set_fate(std::function<answer_fate()> fate) {
        fate_ = std::move(fate);
    }
    static constexpr duration late_answer = std::chrono::milliseconds(600);
    // The most items of a list that one answer has.
    void set_page_size(std::size_t items) { page_size_ = items; }
    std::uint64_t revision() const { return revision_; }
    std::uint64_t lists_told() const { return lists_told_; }

private:
    struct watch {
        std::uint64_t after = 0;
        io::http_responder respond;
        kernel::timer_service::subscription expiry;
    };

    // The last change of one key.
    struct item {
        std::string value; // in base64
        std::uint64_t revision = 0;
        bool removed = false;
    };

    // An answer with the headers that all have.
    io::http_response made(unsigned status, std::string body = {}) const;
    void tell(const io::http_responder& respond, io::http_response what);
    void tell_late(const io::http_responder& respond, io::http_response what);
    std::uint64_t change(const std::string& key, item to);
    void answer(const io::http_request& request,
                const io::http_responder& respond);
    // One page of the items whose keys follow `after`.
    std::string list(const std::string& after) const;
    std::string changes(std::uint64_t after) const;
    static std::string written(const std::string& key, const item& of);
    void add_watch(const standin::request_target& asked,
                   const io::http_responder& respond);

    kernel::timer_service& timers_;
    std::list<watch> watches_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 1;
    std::function<answer_fate()> fate_;
    std::list<kernel::timer_service::subscription> later_;
    std::size_t page_size_ = 500;
    bool silent_ = false;
    bool keeps_answers_ = false;
    std::vector<std::pair<io::http_responder, io::http_response>> kept_;
    std::uint64_t lists_told_ = 0;
    // Last: it still takes what was sent to it while it ends.
    io::http_server server_;
};

class stand_in_store::copy {
private:
    friend class stand_in_store;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 0;
};

} // namespace waxwingvale::platform
