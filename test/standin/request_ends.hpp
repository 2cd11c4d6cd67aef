#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace waxwingvale::standin {

// How the requests ended that instances read, by the lines that they leave of
// each. Lines may come from several threads.
class request_ends {
public:
    // Of all instances that this process has started.
    static request_ends& of_instances();

    // Takes a line of an instance's output; others than those of ended requests
    // and dropped lines are passed over.
    void take(const std::string& line);

    // The lines of requests whose end was the instance's doing, since they
    // were last asked for. Whoever asks decides whether that was right.
    std::vector<std::string> take_instances_doing();
    // Lines of requests that ended so ("answered").
    std::size_t ended(const std::string& end) const;
    // Lines by the name of their request; those without one are left out.
    std::map<std::string, std::vector<std::string>> by_name() const;
    // Whether an instance told of lines that it had no room for: what is
    // counted here is not all then.
    bool lines_were_dropped() const;
    // Forgets all.
    void clear();

private:
    mutable std::mutex mutex_;
    std::vector<std::string> instances_doing_;
    std::map<std::string, std::size_t> counts_; // by end
    std::map<std::string, std::vector<std::string>> named_;
    bool dropped_ = false;
};

} // namespace waxwingvale::standin
