#include "standin/request_ends.hpp"

#include <utility>

namespace waxwingvale::standin {

namespace {

// The value of a field, as these lines have them: quoted only where it is
// empty.
std::string field(const std::string& line, const std::string& key) {
    const auto sign = " " + key + "=";
    const auto found = line.find(sign);
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + sign.size();
    const auto value = line.substr(begin, line.find(' ', begin) - begin);
    return value == "\"\"" ? std::string() : value;
}

} // namespace

request_ends& request_ends::of_instances() {
    static request_ends all;
    return all;
}

void request_ends::take(const std::string& line) {
    const auto event = field(line, "event");
    const std::lock_guard<std::mutex> lock(mutex_);
    if (event == "log_lines_dropped") {
        dropped_ = true;
    }
    if (event != "request_ended") {
        return;
    }
    ++counts_[field(line, "end")];
    if (field(line, "by") == "instance") {
        instances_doing_.push_back(line);
    }
    const auto name = field(line, "request");
    if (!name.empty()) {
        named_[name].push_back(line);
    }
}

std::vector<std::string> request_ends::take_instances_doing() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(instances_doing_, {});
}

std::size_t request_ends::ended(const std::string& end) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = counts_.find(end);
    return found == counts_.end() ? 0 : found->second;
}

std::map<std::string, std::vector<std::string>> request_ends::by_name() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return named_;
}

bool request_ends::lines_were_dropped() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return dropped_;
}

void request_ends::clear() {
    const std::lock_guard<std::mutex> lock(mutex_);
    instances_doing_.clear();
    counts_.clear();
    named_.clear();
    dropped_ = false;
}

} // namespace waxwingvale::standin
