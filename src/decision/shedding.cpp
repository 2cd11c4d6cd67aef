#include <waxwingvale/decision/shedding.hpp>

#include <algorithm>

namespace waxwingvale::decision {

namespace {

// Holdings within a factor of two count as equal.
unsigned size_class(std::size_t bytes) {
    unsigned size = 0;
    for (; bytes > 1; bytes /= 2) {
        ++size;
    }
    return size;
}

bool goes_before(const held_connection& a, const held_connection& b) {
    const auto rank = [](const held_connection& of) {
        return std::make_tuple(-static_cast<int>(size_class(of.bytes)),
                               of.handed_over, of.since);
    };
    return rank(a) < rank(b);
}

} // namespace

std::vector<std::size_t> choose_to_shed(const std::vector<held_connection>& all,
                                        std::size_t excess,
                                        std::size_t spared) {
    std::vector<std::size_t> order;
    for (std::size_t place = 0; place < all.size(); ++place) {
        if (all[place].bytes >= spared) {
            order.push_back(place);
        }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return goes_before(all[a], all[b]);
    });
    std::size_t freed = 0;
    std::size_t chosen = 0;
    while (chosen < order.size() && freed < excess) {
        freed += all[order[chosen]].bytes;
        ++chosen;
    }
    order.resize(chosen);
    return order;
}

std::size_t choose_to_replace(const std::vector<open_connection>& all) {
    const auto first = std::min_element(
        all.begin(), all.end(),
        [](const open_connection& a, const open_connection& b) {
            return std::tie(a.proven, a.since) < std::tie(b.proven, b.since);
        });
    return static_cast<std::size_t>(first - all.begin());
}

} // namespace waxwingvale::decision
