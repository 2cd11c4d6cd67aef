#include <waxwingvale/decision/suspicion_outbox.hpp>

#include <iterator>
#include <utility>

namespace waxwingvale::decision {

namespace {

using fingerprints = std::set<request_fingerprint>;

fingerprints select(const std::map<request_fingerprint, bool>& from,
                    bool for_all) {
    fingerprints selected;
    for (const auto& each : from) {
        if (each.second == for_all) {
            selected.insert(each.first);
        }
    }
    return selected;
}

} // namespace

void suspicion_outbox::add(const std::vector<request_fingerprint>& of,
                           const suspicion_recipients& to, time_point now) {
    if (of.empty()) {
        return;
    }
    due_at_ = empty() ? now + pause_ : due_at_;
    for (const auto& peer : to.peers) {
        auto& news = waiting_[peer];
        for (const auto& fingerprint : of) {
            auto& for_all = news[fingerprint];
            for_all = for_all || to.reach.for_all;
        }
    }
}

void suspicion_outbox::forget(const std::string& peer) {
    waiting_.erase(peer);
}

void suspicion_outbox::forget(request_fingerprint fingerprint) {
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        at->second.erase(fingerprint);
        at = at->second.empty() ? waiting_.erase(at) : std::next(at);
    }
}

std::vector<suspicion_batch> suspicion_outbox::take() {
    std::map<std::pair<bool, fingerprints>, std::set<std::string>> peers_of;
    for (const auto& [peer, news] : std::exchange(waiting_, {})) {
        for (const bool for_all : {false, true}) {
            auto selected = select(news, for_all);
            if (!selected.empty()) {
                peers_of[{for_all, std::move(selected)}].insert(peer);
            }
        }
    }
    std::vector<suspicion_batch> batches;
    batches.reserve(peers_of.size());
    for (const auto& [news, peers] : peers_of) {
        batches.push_back({peers, news.second, news.first});
    }
    return batches;
}

std::vector<suspicion_batch>
suspicion_outbox::take_for(const std::string& peer) {
    std::vector<suspicion_batch> batches;
    const auto known = waiting_.find(peer);
    if (known == waiting_.end()) {
        return batches;
    }
    for (const bool for_all : {false, true}) {
        auto selected = select(known->second, for_all);
        if (!selected.empty()) {
            batches.push_back({{peer}, std::move(selected), for_all});
        }
    }
    waiting_.erase(known);
    return batches;
}

} // namespace waxwingvale::decision
