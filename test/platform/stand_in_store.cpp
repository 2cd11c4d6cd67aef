#include "platform/stand_in_store.hpp"

#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "platform/wire_names.hpp"

namespace waxwingvale::platform {

namespace {

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr std::uint64_t usual_wait_ms = 1000;
constexpr std::size_t page_bytes = 1024 * 1024; // but for one item

std::string base64(const std::string& bytes) {
    constexpr char letters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t three = 0;
        for (std::size_t i = at; i < at + 3; ++i) {
            const auto byte =
                i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0U;
            three = three << 8U | byte;
        }
        const auto known = std::min<std::size_t>(bytes.size() - at, 3);
        for (std::size_t i = 0; i < 4; ++i) {
            const auto letter = three >> (18U - 6U * i) & 63U;
            text += i <= known ? letters[letter] : '=';
        }
    }
    return text;
}

} // namespace

stand_in_store::stand_in_store(kernel::event_loop& loop,
                               kernel::timer_service& timers)
    : timers_(timers), server_(loop, {}) {
    const auto started =
        server_.start([this](const io::http_request& request,
                             const io::http_responder& respond) {
            answer(request, respond);
        });
    if (!started) {
        throw std::runtime_error(to_string(started.error()));
    }
}

std::uint64_t stand_in_store::write(const std::string& configuration) {
    return put(wire::configuration_key, configuration);
}

std::uint64_t stand_in_store::put(const std::string& key,
                                  const std::string& value) {
    return change(key, {base64(value), 0, false});
}

std::uint64_t stand_in_store::remove(const std::string& key) {
    return change(key, {"", 0, true});
}

stand_in_store::copy stand_in_store::take_copy() const {
    copy taken;
    taken.items_ = items_;
    taken.revision_ = revision_;
    return taken;
}

void stand_in_store::come_back_from(const copy& former) {
    items_ = former.items_;
    revision_ = former.revision_;
    ++era_;
    watches_.clear();
}

void stand_in_store::release_answers() {
    keeps_answers_ = false;
    for (auto& each : kept_) {
        each.first(std::move(each.second));
    }
    kept_.clear();
}

io::http_response stand_in_store::made(unsigned status,
                                       std::string body) const {
    return {status, {{wire::store_era, std::to_string(era_)}}, std::move(body)};
}

void stand_in_store::tell(const io::http_responder& respond,
                          io::http_response what) {
    if (keeps_answers_) {
        kept_.emplace_back(respond, std::move(what));
        return;
    }
    const auto fate = fate_ ? fate_() : answer_fate::prompt;
    if (fate == answer_fate::late) {
        tell_late(respond, std::move(what));
    } else if (fate == answer_fate::prompt) {
        respond(std::move(what));
    }
}

void stand_in_store::tell_late(const io::http_responder& respond,
                               io::http_response what) {
    later_.emplace_back();
    const auto place = std::prev(later_.end());
    *place = timers_.after(late_answer, [this, place, respond,
                                         what = std::move(what)](time_point) {
        const auto ended = std::move(*place);
        later_.erase(place);
        respond(what);
    });
}

std::uint64_t stand_in_store::change(const std::string& key, item to) {
    to.revision = ++revision_;
    items_[key] = std::move(to);
    for (const auto& each : watches_) {
        if (!silent_) {
            tell(each.respond, made(status_ok, changes(each.after)));
        }
    }
    watches_.clear();
    return revision_;
}

void stand_in_store::answer(const io::http_request& request,
                            const io::http_responder& respond) {
    const standin::request_target asked(request.target);
    const auto after = asked.number("after", 0);
    if (!silent_ && asked.path() == wire::range_path) {
        ++lists_told_;
        tell(respond, made(status_ok, list(asked.text("after", ""))));
    } else if (!silent_ && after > revision_) {
        tell(respond, made(status_gone));
    } else if (!silent_ && after < revision_) {
        tell(respond, made(status_ok, changes(after)));
    } else {
        add_watch(asked, respond);
    }
}

std::string stand_in_store::list(const std::string& after) const {
    std::string items;
    auto next = after.empty() ? items_.begin() : items_.upper_bound(after);
    for (std::size_t count = 0; next != items_.end() && count < page_size_;
         ++next) {
        const auto& [key, each] = *next;
        if (each.removed) {
            continue;
        }
        if (count > 0 && items.size() + each.value.size() > page_bytes) {
            break;
        }
        items += (count++ > 0 ? "," : "") + written(key, each);
    }
    const bool more = next != items_.end();
    return R"({"items":[)" + items + R"(],"HasMore":)" +
           (more ? "true" : "false") + R"(,"AsOf":)" +
           std::to_string(revision_) + "}";
}

std::string stand_in_store::changes(std::uint64_t after) const {
    std::string events;
    for (const auto& [key, each] : items_) {
        if (each.revision > after) {
            events += (events.empty() ? "" : ",") + written(key, each);
        }
    }
    return R"({"events":[)" + events + R"(],"AsOf":)" +
           std::to_string(revision_) + "}";
}

// Values are written as they are: a library that looks at each of their bytes
// would hold the test's loop, on which servers answer too.
std::string stand_in_store::written(const std::string& key, const item& of) {
    const auto what = of.removed ? std::string(R"("Tombstone":true)")
                                 : R"("Value":")" + of.value + '"';
    return R"({"Key":)" + json(key).dump() + R"(,"Revision":)" +
           std::to_string(of.revision) + "," + what + "}";
}

void stand_in_store::add_watch(const standin::request_target& asked,
                               const io::http_responder& respond) {
    watches_.push_back({asked.number("after", 0), respond, {}});
    const auto added = std::prev(watches_.end());
    added->expiry = timers_.after(
        std::chrono::milliseconds(asked.number("WaitMs", usual_wait_ms)),
        [this, added](time_point) {
            if (!silent_) {
                tell(added->respond, made(status_ok, changes(added->after)));
            }
            watches_.erase(added);
        });
}

} // namespace waxwingvale::platform
