#include <waxwingvale/program/view_feed.hpp>

#include <utility>
#include <waxwingvale/io/control_messages.hpp>
#include <waxwingvale/model/configuration_file.hpp>
#include <waxwingvale/program/service_name.hpp>
#include <waxwingvale/program/state_log.hpp>

namespace waxwingvale::program {

view_feed::view_feed(const kernel::service_registry& services,
                     const settings& from)
    : hub_(services.need<io::message_hub>(service_name::peers)),
      timers_(services.need<kernel::timer_service>(service_name::timers)),
      bus_(services.need<kernel::message_bus>(service_name::bus)),
      control_name_(from.instance.name + "/control"),
      decoder_(parse_configuration) {
    hub_.on_message(
        "view", [this](const std::string& peer, const io::view_bytes& bytes) {
            // Another instance's control must not steer this one.
            if (peer == control_name_) {
                take(bytes);
            }
        });
    hub_.on_link_change([this](const std::string& peer, bool up) {
        if (peer != control_name_) {
            return;
        }
        log_change("control_link", {{"up", up ? "true" : "false"}});
        if (up) {
            report_in_force();
        }
    });
    hub_.connect(control_name_, from.instance.host, from.control.control_port);
}

void view_feed::take(const io::view_bytes& bytes) {
    auto decoded = decoder_.decode(bytes, timers_.now());
    if (!decoded) {
        log_warning("view_refused", {{"error", to_string(decoded.error())}});
        return;
    }
    if (!is_newer(*decoded.value())) {
        return;
    }
    const auto revision = [](const view_ptr& of) {
        return of && of->config ? of->config->revision : 0;
    };
    const bool other_file = revision(current_) != revision(decoded.value());
    current_ = std::move(decoded.value());
    if (other_file) {
        log_change("configuration_in_force",
                   {{"revision", std::to_string(revision(current_))}});
        report_in_force();
    }
    bus_.publish(view_arrived{current_});
}

// A control process that starts again may know less than its predecessor
// told: then an older file would come into force here. The newest revision
// seen stays, whoever sends.
bool view_feed::is_newer(const view& candidate) const {
    if (!current_) {
        return true;
    }
    if (current_->config &&
        (!candidate.config ||
         candidate.config->revision < current_->config->revision)) {
        return false;
    }
    if (candidate.control_incarnation != current_->control_incarnation) {
        return candidate.control_incarnation > current_->control_incarnation;
    }
    return candidate.serial > current_->serial;
}

void view_feed::report_in_force() const {
    if (!current_ || !current_->config) {
        return;
    }
    hub_.send(control_name_, io::in_force_kind,
              io::encode(io::in_force_report{current_->config->revision}));
}

} // namespace waxwingvale::program
