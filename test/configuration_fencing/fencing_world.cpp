#include "fencing_world.hpp"

#include <utility>

namespace waxwingvale {

namespace {

constexpr const char* invalid_mark = "invalid";

result<configuration> validate(const configuration_text& file) {
    if (file.text.find(invalid_mark) == 0) {
        return error{error_code::invalid_argument, "parse", "file", "field"};
    }
    configuration parsed;
    parsed.revision = file.revision;
    return parsed;
}

} // namespace

fencing_world::fencing_world(
    unsigned instances,
    std::shared_ptr<const membership::configuration_precedence> rule)
    : rule_(std::move(rule)), instances_(instances) {
    for (unsigned each = 0; each < instances; ++each) {
        restart(each);
    }
}

void fencing_world::restart(unsigned number) {
    auto& restarted = instances_[number];
    restarted.holds =
        std::make_unique<membership::configuration_register>(validate, rule_);
    restarted.highest = 0;
}

void fencing_world::run(const fencing_event& event) {
    const auto count = static_cast<unsigned>(instances_.size());
    const auto number = event.instance % count;
    const auto chosen =
        under_way_.empty() ? 0 : event.choice % under_way_.size();
    const auto place = under_way_.begin() + static_cast<std::ptrdiff_t>(chosen);
    switch (event.step) {
    case fencing_step::publish_valid:
    case fencing_step::publish_invalid:
        publish(event.step == fencing_step::publish_valid);
        break;
    case fencing_step::read_platform:
        read_platform(number, event.choice);
        break;
    case fencing_step::send_to_peer:
        send(number, event.choice % count);
        break;
    case fencing_step::restart:
        restart(number);
        break;
    case fencing_step::deliver:
    case fencing_step::deliver_doubled:
    case fencing_step::lose:
        if (under_way_.empty()) {
            break;
        }
        if (event.step != fencing_step::lose) {
            offer(place->to, configuration_text(place->file));
        }
        if (event.step != fencing_step::deliver_doubled) {
            under_way_.erase(place);
        }
        break;
    }
}

void fencing_world::publish(bool valid) {
    const auto revision = published_.size() + 1;
    const std::string mark = valid ? "valid " : "invalid ";
    published_.push_back({revision, mark + std::to_string(revision)});
}

void fencing_world::read_platform(unsigned number, unsigned age) {
    if (published_.empty()) {
        return;
    }
    const auto back = age % published_.size();
    offer(number, published_[published_.size() - 1 - back]);
}

void fencing_world::send(unsigned from, unsigned to) {
    const auto& sender = *instances_[from].holds;
    if (sender.revision() > 0) {
        under_way_.push_back({to, sender.published()});
    }
    if (sender.refused()) {
        under_way_.push_back({to, sender.refused_file()});
    }
}

void fencing_world::offer(unsigned number, const configuration_text& file) {
    instances_[number].holds->offer(file);
    check(number);
}

void fencing_world::check(unsigned number) {
    auto& checked = instances_[number];
    const auto& holds = *checked.holds;
    if (holds.revision() < checked.highest) {
        violation_ = "instance " + std::to_string(number) + " went back from " +
                     std::to_string(checked.highest) + " to " +
                     std::to_string(holds.revision());
    }
    checked.highest = holds.revision();
    const bool invalid = holds.published().text.find(invalid_mark) == 0;
    const bool torn =
        holds.in_force() && holds.in_force()->revision != holds.revision();
    if (invalid || torn) {
        violation_ = "what is in force was not taken whole";
    }
}

void fencing_world::settle() {
    const auto count = static_cast<unsigned>(instances_.size());
    for (const auto& late : std::exchange(under_way_, {})) {
        offer(late.to, late.file);
    }
    for (unsigned from = 0; from < count; ++from) {
        for (unsigned to = 0; to < count; ++to) {
            send(from, to);
            for (const auto& sent : std::exchange(under_way_, {})) {
                offer(sent.to, sent.file);
            }
        }
    }
}

bool fencing_world::agreed() const {
    for (const auto& each : instances_) {
        const auto& first = *instances_.front().holds;
        if (each.holds->published() != first.published() ||
            each.holds->refused_revision() != first.refused_revision()) {
            return false;
        }
    }
    return true;
}

} // namespace waxwingvale
