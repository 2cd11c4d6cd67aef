#include "standin/process_output.hpp"

#include <cerrno>
#include <unistd.h>
#include <utility>

#include "standin/request_ends.hpp"

namespace waxwingvale::standin {

process_output::process_output(int descriptor)
    : descriptor_(descriptor), reader_([this] { read_on(); }) {}

process_output::~process_output() {
    reader_.join();
    close(descriptor_);
}

void process_output::read_on() {
    constexpr std::size_t piece = 16 * 1024; // bytes
    char buffer[piece];
    for (;;) {
        const auto count = read(descriptor_, buffer, sizeof buffer);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            break;
        }
        take(buffer, static_cast<std::size_t>(count));
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    at_end_ = true;
    changed_.notify_all();
}

void process_output::take(const char* bytes, std::size_t size) {
    line_.append(bytes, size);
    std::size_t begin = 0;
    for (auto end = line_.find('\n'); end != std::string::npos;
         end = line_.find('\n', begin)) {
        request_ends::of_instances().take(line_.substr(begin, end - begin));
        begin = end + 1;
    }
    line_.erase(0, begin);
    const std::lock_guard<std::mutex> lock(mutex_);
    kept_.append(bytes, size);
    changed_.notify_all();
}

std::optional<std::string> process_output::next_line(time_point until) {
    std::unique_lock<std::mutex> lock(mutex_);
    const auto has_line = [this] {
        return kept_.find('\n') != std::string::npos;
    };
    changed_.wait_until(lock, until, [&] { return has_line() || at_end_; });
    if (!has_line()) {
        return std::nullopt;
    }
    const auto end = kept_.find('\n');
    auto line = kept_.substr(0, end);
    kept_.erase(0, end + 1);
    return line;
}

std::string process_output::rest(time_point until) {
    wait_for_end(until);
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(kept_, {});
}

bool process_output::wait_for_end(time_point until) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_until(lock, until, [this] { return at_end_; });
}

} // namespace waxwingvale::standin
