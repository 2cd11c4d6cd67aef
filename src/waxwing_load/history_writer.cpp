#include "waxwing_load/history_writer.hpp"

#include <nlohmann/json.hpp>

namespace waxwingvale::load {

namespace {

using nlohmann::json;

json describe(const char* event, time_point now, const history_call& call) {
    return {{"event", event},
            {"at_us", now.time_since_epoch().count()},
            {"request", call.request},
            {"key", call.key},
            {"at_most_once", call.write}};
}

} // namespace

result<void> history_writer::open(const std::string& file_name) {
    if (file_name.empty()) {
        return success();
    }
    file_.open(file_name, std::ios::app);
    if (!file_) {
        return error{error_code::unavailable, "open history", file_name,
                     "cannot be written"};
    }
    return success();
}

void history_writer::invoke(time_point now, const history_call& call) {
    if (file_.is_open()) {
        file_ << describe("invoke", now, call).dump() << '\n';
    }
}

void history_writer::attempt(time_point now, const history_call& call,
                             unsigned status, const std::string& outcome) {
    if (!file_.is_open()) {
        return;
    }
    auto event = describe("answer", now, call);
    event["status"] = status;
    event["outcome"] = outcome;
    file_ << event.dump() << '\n';
}

void history_writer::end(time_point now, const history_call& call,
                         call_end how) {
    if (!file_.is_open()) {
        return;
    }
    auto event = describe("end", now, call);
    event["how"] = to_string(how);
    file_ << event.dump() << '\n';
}

} // namespace waxwingvale::load
