#include "standin/platform/published_values.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::standin {

std::uint64_t published_values::put(const std::string& name, std::string body,
                                    std::uint64_t revision_or_zero) {
    auto& published = values_[name];
    const auto next = published.empty() ? 1 : published.back().revision + 1;
    const auto revision = revision_or_zero == 0 ? next : revision_or_zero;
    published.push_back({revision, std::move(body)});
    return revision;
}

const published_value*
published_values::read(const std::string& name,
                       std::size_t publications_ago) const {
    const auto found = values_.find(name);
    if (found == values_.end()) {
        return nullptr;
    }
    const auto& published = found->second;
    const auto back = std::min(publications_ago, published.size() - 1);
    return &published[published.size() - 1 - back];
}

} // namespace waxwingvale::standin
