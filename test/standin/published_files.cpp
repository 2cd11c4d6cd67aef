#include "standin/published_files.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::standin {

namespace {

const std::string first_that_stays = "stays-0";
const std::string second_that_stays = "stays-1";
const std::string prefix = "comes-";
constexpr std::size_t services_that_stay = 2;
// How many files long a service that comes and goes is there.
constexpr unsigned shortest_stay = 4;
constexpr unsigned longest_stay = 30;
constexpr unsigned largest_step = 3; // of revisions
constexpr std::size_t asked_of = 60; // files

} // namespace

unsigned published_files::draw(unsigned from, unsigned to) {
    return std::uniform_int_distribution<unsigned>(from, to)(random_);
}

const published_files::file& published_files::next(time_point now) {
    const auto number = files_.size() + services_that_stay;
    file added;
    added.revision =
        (files_.empty() ? 0 : files_.back().revision) + draw(1, largest_step);
    added.sent = now;
    leave_at_.emplace_back(prefix + std::to_string(number),
                           number + draw(shortest_stay, longest_stay));
    added.services = {first_that_stays, second_that_stays};
    for (const auto& [service, leaves] : leave_at_) {
        if (number < leaves) {
            added.services.insert(service);
        }
    }
    files_.push_back(std::move(added));
    return files_.back();
}

void published_files::taken(std::uint64_t revision, time_point now) {
    for (auto& each : files_) {
        if (each.revision == revision) {
            each.taken = now;
        }
    }
}

bool published_files::newest_is_taken() const {
    return files_.empty() || files_.back().taken.has_value();
}

const published_files::file*
published_files::newest_taken(time_point by) const {
    const auto found =
        std::find_if(files_.rbegin(), files_.rend(), [&](const file& each) {
            return each.taken && *each.taken <= by;
        });
    return found == files_.rend() ? nullptr : &*found;
}

std::optional<time_point>
published_files::superseded(std::uint64_t revision) const {
    for (const auto& each : files_) {
        if (each.revision > revision && each.taken) {
            return each.taken;
        }
    }
    return std::nullopt;
}

std::size_t published_files::place_of(const std::string& service,
                                      std::size_t places) {
    const auto number = std::stoul(service.substr(prefix.size()));
    return stays(service)
               ? number
               : services_that_stay + number % (places - services_that_stay);
}

bool published_files::stays(const std::string& service) {
    return service == first_that_stays || service == second_that_stays;
}

bool published_files::allowed_by_all(const std::string& service,
                                     time_point from, time_point until) const {
    const auto* oldest = newest_taken(from);
    return oldest != nullptr &&
           std::all_of(files_.begin(), files_.end(), [&](const file& each) {
               return each.revision < oldest->revision || each.sent > until ||
                      each.services.count(service) != 0;
           });
}

std::string published_files::any_service() {
    const auto way = draw(0, 3);
    if (way < 2) {
        return way == 0 ? first_that_stays : second_that_stays;
    }
    const auto count = std::min(files_.size(), asked_of);
    const auto back = draw(0, static_cast<unsigned>(count) - 1);
    return prefix +
           std::to_string(files_.size() - 1 - back + services_that_stay);
}

} // namespace waxwingvale::standin
