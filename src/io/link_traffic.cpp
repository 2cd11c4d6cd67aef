#include <waxwingvale/io/link_traffic.hpp>

namespace waxwingvale::io {

void link_traffic::record(const std::string& peer, const std::string& kind,
                          std::size_t bytes) {
    const bool crosses = is_far_ && is_far_(peer);
    auto& sum = sent_[{kind, crosses}];
    ++sum.messages;
    sum.bytes += bytes;
}

} // namespace waxwingvale::io
