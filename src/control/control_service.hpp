#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "control/configuration_intake.hpp"
#include "control/control_metrics.hpp"
#include "control/knowledge.hpp"
#include "control/listed_backends.hpp"
#include "control/peer_links.hpp"
#include "control/publication_pace.hpp"
#include "control/reading_facts.hpp"
#include "control/view_publisher.hpp"
#include <waxwingvale/administration/admin_api.hpp>
#include <waxwingvale/control/published_state.hpp>
#include <waxwingvale/io/http_client.hpp>
#include <waxwingvale/io/message_hub.hpp>
#include <waxwingvale/io/platform_client.hpp>
#include <waxwingvale/kernel/wake_hook.hpp>
#include <waxwingvale/membership/configuration_proof.hpp>
#include <waxwingvale/program/program_frame.hpp>

namespace waxwingvale::control {

// Reads the platform, exchanges with the other entry instances what is known,
// and tells the other parts of the process.
class control_service {
public:
    // Finds the bus and the peers by their names. `self` tells where the
    // instance listens, `incarnation` names this life of it.
    control_service(const program::program_environment& environment,
                    membership::member_record self, std::uint64_t incarnation,
                    const published_state& published);

    result<program::port_map> start();
    // Takes over the seeds and the pace of reading.
    void reload(const program::settings& changed);
    // Tells the peers that this instance leaves.
    void leave();
    // What is to be done once nothing is served any more.
    void stop(std::function<void()> stopped);

private:
    void watch_platform();
    void take_reading(const io::platform_reading& reading);
    void follow_era(const io::platform_reading& reading);
    // What is left to do with a reading once its files are read.
    struct reading_end {
        std::string topic;
        std::uint64_t epoch = 0;
        bool news = false; // anything may have changed
        bool all = false;  // see platform_reading
    };
    void end_reading(const reading_end& end);
    // One of its files was read.
    void end_file();
    // Returns whether anything may have changed.
    bool take_facts(const io::platform_reading& reading);
    // Which backend servers the registry keeps if it is full.
    void follow_services();
    void note_unreadable(const unreadable_item& item);
    void take(const unrelated_item& item);
    void take(const configuration_text& file);
    void log_passed_over(std::uint64_t revision,
                         membership::offer_outcome outcome) const;
    void take(const membership::platform_list& list);
    void take(const membership::registry_record& record);
    void on_platform_state(bool answers, const error& why);
    // When the platform last answered this instance or another reader.
    time_point last_word(time_point now) const;
    void settle_freshness();
    void on_wake();
    void on_tick(time_point now);
    void follow_lateness(time_point now);
    void follow_standing(time_point now);
    void follow_proof(membership::configuration_signs& signs, time_point now);
    void forget_unnamed(time_point now);
    void follow_members();
    void follow_reader_duty(time_point now);
    // Something may have changed: views and messages follow within a moment,
    // several changes together.
    void changed();
    void flush();
    // Now, or as soon as the pace of views allows.
    void publish_view();
    void log_turns();
    void log_awaited(time_point now);
    void log_standing();

    program::program_environment environment_;
    const published_state& published_;
    io::message_hub& hub_;
    io::http_client client_;
    io::platform_client platform_;
    knowledge known_;
    configuration_intake intake_;
    listed_backends list_;
    // The readings whose files are being read, and how many are.
    std::vector<reading_end> held_;
    unsigned files_being_read_ = 0;
    view_publisher views_;
    peer_links peers_;
    control_metrics metrics_;
    std::unique_ptr<administration::admin_server> admin_;
    std::unique_ptr<kernel::wake_hook> wake_;
    kernel::timer_service::subscription ticking_;
    kernel::timer_service::subscription flushing_;
    kernel::timer_service::subscription stopping_;
    unsigned ticks_ = 0;
    std::uint64_t members_followed_ = 0;  // their version
    std::uint64_t services_followed_ = 0; // the configuration's revision
    publication_pace pace_;
    bool publishing_planned_ = false;
    kernel::timer_service::subscription publishing_;
    bool flush_planned_ = false;
    bool platform_failed_ = false;
    std::uint64_t era_ = 0; // of the platform, the newest that was read
    std::uint64_t logged_revision_ = 0;
    std::uint64_t logged_refused_ = 0;
    bool logged_replaced_ = false;
    configuration_standing logged_standing_ =
        configuration_standing::unconfirmed;
};

} // namespace waxwingvale::control
