#include "control/reading_facts.hpp"

#include <utility>

namespace waxwingvale::control {

namespace {

membership::publication_stamp stamp_of(const io::published_item& item) {
    return {item.revision, item.era};
}

// Collects what the items of one reading say.
class fact_collector {
public:
    fact_collector(bool whole, const published_state& published)
        : whole_(whole), published_(published) {}

    void add(const io::published_item& item) {
        auto fact = published_.decode(item);
        if (!fact) {
            add_unreadable(item, fact.error());
            return;
        }
        auto* record = std::get_if<membership::registry_record>(&fact.value());
        if (whole_ && record != nullptr) {
            collected_.listed.push_back(std::move(*record));
            return;
        }
        collected_.facts.push_back(std::move(fact.value()));
    }

    void add_removal(const io::published_item& item) {
        collected_.facts.push_back(
            published_.decode_removal(item.key, stamp_of(item)));
    }

    reading_facts take() { return std::move(collected_); }

private:
    void add_unreadable(const io::published_item& item, const error& why) {
        collected_.unreadable.push_back({item.key, stamp_of(item), why});
        auto gone = published_.decode_removal(item.key, stamp_of(item));
        if (auto* record = std::get_if<membership::registry_record>(&gone)) {
            collected_.withdrawn.push_back(std::move(*record));
        }
    }

    bool whole_;
    const published_state& published_;
    reading_facts collected_;
};

} // namespace

reading_facts facts_of(const io::platform_reading& reading,
                       const published_state& published) {
    fact_collector collector(reading.whole, published);
    for (const auto& item : reading.items) {
        collector.add(item);
    }
    for (const auto& change : reading.changes) {
        if (change.removed) {
            collector.add_removal(change.item);
        } else {
            collector.add(change.item);
        }
    }
    return collector.take();
}

} // namespace waxwingvale::control
