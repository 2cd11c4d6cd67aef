#include "entry/detour_desk.hpp"

#include <algorithm>
#include <utility>

#include <waxwingvale/decision/detour_choice.hpp>
#include <waxwingvale/decision/stable_hash.hpp>

namespace waxwingvale::entry {

namespace {

using namespace std::chrono_literals;

// An instance that took no request is asked again after this.
constexpr duration avoided_for = 300ms;
// All instances together open so many connections to one, whose descriptors
// its own callers need too.
constexpr std::size_t connections_of_all = 512;
constexpr std::size_t least_connections = 4;

} // namespace

detour_desk::detour_desk(std::string self, kernel::timer_service& timers,
                         forwarding::backend_pool& peers, std::string token)
    : self_(std::move(self)),
      timers_(timers),
      peers_(peers),
      token_(std::move(token)) {}

void detour_desk::follow(const view& now) {
    members_ = now.members;
    data_centre_ = now.self.data_centre;
    const auto part =
        connections_of_all / std::max<std::size_t>(members_.size(), 1);
    const auto most = std::max(part, least_connections);
    peers_.limit_connections(most, most);
}

std::optional<member> detour_desk::choose(const std::set<std::string>& tried) {
    const auto now = timers_.now();
    decision::detour_facts facts;
    facts.self = self_;
    facts.data_centre = data_centre_;
    facts.open = open_;
    facts.avoided = tried;
    facts.number = decision::stable_hash(self_, ++number_);
    for (auto at = avoided_until_.begin(); at != avoided_until_.end();) {
        if (at->second <= now) {
            at = avoided_until_.erase(at);
            continue;
        }
        facts.avoided.insert(at->first);
        ++at;
    }
    return decision::choose_detour(members_, facts);
}

forwarding::backend_pool::call_id
detour_desk::send(const member& to, forwarding::backend_call request,
                  const detour_request& with,
                  forwarding::backend_pool::handler on_done,
                  forwarding::long_answer_handlers on_long) {
    request.backend_server = to.id.name;
    request.host = to.addresses.host;
    request.port = to.addresses.detour_port;
    add_detour_header(request.headers, with, token_);
    ++open_[to.id.name];
    return peers_.send(
        std::move(request),
        [this, name = to.id.name,
         on_done = std::move(on_done)](forwarding::backend_result ended) {
            close_one(name);
            on_done(std::move(ended));
        },
        std::move(on_long));
}

void detour_desk::cancel(const std::string& instance,
                         forwarding::backend_pool::call_id call) {
    close_one(instance);
    peers_.cancel(call);
}

void detour_desk::close_one(const std::string& instance) {
    const auto found = open_.find(instance);
    if (found != open_.end() && --found->second == 0) {
        open_.erase(found);
    }
}

void detour_desk::avoid(const std::string& instance) {
    avoided_until_[instance] = timers_.now() + avoided_for;
    peers_.forget(instance);
}

} // namespace waxwingvale::entry
