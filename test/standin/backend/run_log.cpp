#include "standin/backend/run_log.hpp"

namespace waxwingvale::standin {

std::string header_or_empty(const io::http_request& request,
                            const std::string& name) {
    const auto* found = io::find_header(request.headers, name);
    return found == nullptr ? "" : *found;
}

run_log::run_log(const backend_options& options, history_file& history)
    : server_(options.name),
      incarnation_(options.incarnation),
      history_(history) {}

nlohmann::json run_log::describe(const std::string& event) const {
    return {{"event", event},
            {"backend_server", server_},
            {"incarnation", incarnation_}};
}

void run_log::begin(const io::http_request& request) {
    ++begun_;
    const auto key = header_or_empty(request, "Idempotency-Key");
    if (!key.empty()) {
        ++by_key_[key];
    }
    auto event = describe("run_begin");
    event["request"] = header_or_empty(request, "X-Request-Id");
    event["key"] = key;
    history_.write(std::move(event));
}

void run_log::end(const io::http_request& request, const std::string& how) {
    ++ended_[how];
    auto event = describe("run_end");
    event["request"] = header_or_empty(request, "X-Request-Id");
    event["key"] = header_or_empty(request, "Idempotency-Key");
    event["how"] = how;
    history_.write(std::move(event));
}

void run_log::change(const std::string& event) {
    history_.write(describe(event));
}

nlohmann::json run_log::counts() const {
    return {{"begun", begun_},
            {"ended", ended_},
            {"refused", refusals_},
            {"by_key", by_key_}};
}

} // namespace waxwingvale::standin
