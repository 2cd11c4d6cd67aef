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
    restarted.configurations =
        std::make_unique<membership::configuration_register>(validate, rule_);
    restarted.highest = 0;
}

void fencing_world::run(const fencing_event& event) {
    const auto count = static_cast<unsigned>(instances_.size());
    const auto number = event.instance % count;
    const auto chosen =
        in_flight_.empty() ? 0 : event.choice % in_flight_.size();
    const auto place = in_flight_.begin() + static_cast<std::ptrdiff_t>(chosen);
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
        if (in_flight_.empty()) {
            break;
        }
        if (event.step != fencing_step::lose) {
            offer(place->to, configuration_text(place->file));
        }
        if (event.step != fencing_step::deliver_doubled) {
            in_flight_.erase(place);
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
    const auto& sender = *instances_[from].configurations;
    if (sender.revision() > 0) {
        in_flight_.push_back({to, sender.file_in_force()});
    }
    if (sender.refused()) {
        in_flight_.push_back({to, sender.refused_file()});
    }
}

void fencing_world::offer(unsigned number, const configuration_text& file) {
    instances_[number].configurations->offer(file);
    check(number);
}

void fencing_world::check(unsigned number) {
    auto& checked = instances_[number];
    const auto& configurations = *checked.configurations;
    if (configurations.revision() < checked.highest) {
        violation_ = "instance " + std::to_string(number) +
                     " went back from revision " +
                     std::to_string(checked.highest) + " to " +
                     std::to_string(configurations.revision());
    }
    checked.highest = configurations.revision();
    const bool invalid =
        configurations.file_in_force().text.find(invalid_mark) == 0;
    const bool inconsistent =
        configurations.in_force() &&
        configurations.in_force()->revision != configurations.revision();
    if (invalid || inconsistent) {
        violation_ = "instance " + std::to_string(number) +
                     " has an invalid or partly replaced file in force";
    }
}

void fencing_world::settle() {
    const auto count = static_cast<unsigned>(instances_.size());
    for (const auto& late : std::exchange(in_flight_, {})) {
        offer(late.to, late.file);
    }
    for (unsigned from = 0; from < count; ++from) {
        for (unsigned to = 0; to < count; ++to) {
            send(from, to);
            for (const auto& sent : std::exchange(in_flight_, {})) {
                offer(sent.to, sent.file);
            }
        }
    }
}

bool fencing_world::agreed() const {
    for (const auto& each : instances_) {
        const auto& first = *instances_.front().configurations;
        if (each.configurations->file_in_force() != first.file_in_force() ||
            each.configurations->refused_revision() !=
                first.refused_revision()) {
            return false;
        }
    }
    return true;
}

} // namespace waxwingvale
