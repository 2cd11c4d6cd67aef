#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <waxwingvale/model/time.hpp>

namespace waxwingvale::standin {

// What an operator publishes who changes the configuration again and again:
// some services stay, others come and go. Remembers when each file was sent
// and when the platform had taken it.
class published_files {
public:
    explicit published_files(unsigned seed) : random_(seed) {}

    struct file {
        std::uint64_t revision = 0;
        std::set<std::string> services;
        time_point sent{};
        std::optional<time_point> taken;
    };

    // The next file, sent now.
    const file& next(time_point now);
    void taken(std::uint64_t revision, time_point now);

    const std::vector<file>& all() const { return files_; }
    bool newest_is_taken() const;
    // The newest that was taken by then; null before the first.
    const file* newest_taken(time_point by) const;
    // When the first file newer than that revision was taken.
    std::optional<time_point> superseded(std::uint64_t revision) const;

    // One of that many places; with enough of them, no two services of a file
    // have the same.
    static std::size_t place_of(const std::string& service, std::size_t places);
    static bool stays(const std::string& service);
    // Whether every file allows it that an instance may have in force between
    // the two moments, if it takes each soon after it was taken.
    bool allowed_by_all(const std::string& service, time_point from,
                        time_point until) const;
    // A service that stays, or one that was in some file.
    std::string any_service();

private:
    unsigned draw(unsigned from, unsigned to);

    std::mt19937 random_;
    std::vector<file> files_;
    std::vector<std::pair<std::string, std::uint64_t>> leave_at_;
};

} // namespace waxwingvale::standin
