#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "standin/control_fleet.hpp"
#include "standin/published_files.hpp"

namespace waxwingvale::standin {

// Entry instances, one of which reads the platform for all, whose operator
// changes the configuration every `period` while callers ask every instance.
// What they are answered is held against what the files allow.
class changing_fleet {
public:
    changing_fleet(unsigned instances, duration period, unsigned seed);

    // All have the first file and know each other.
    void start();
    // Changes and requests go on for so long.
    void go_on(duration time);

    control_fleet& fleet() { return fleet_; }
    // Who reads the platform: whose reads grow most within a moment.
    unsigned reader();
    unsigned other_than(unsigned instance) const;

    // What holds only for instances that run undisturbed does not hold for
    // this one from here until some time after the end.
    void begin_trouble(unsigned instance);
    void end_trouble(unsigned instance);
    void begin_trouble_everywhere();
    void end_trouble_everywhere();
    void kill(unsigned instance);
    void start_again(unsigned instance);

    struct findings {
        std::uint64_t served = 0;
        std::uint64_t not_found = 0; // that some file in force may say
        std::uint64_t unavailable = 0;
        std::uint64_t polls = 0;
        duration longest_lag{}; // of an undisturbed instance
        std::string lagged_longest;
        std::uint64_t faults = 0;
        std::vector<std::string> first_faults;
    };
    const findings& seen() const { return seen_; }
    std::string describe() const;

private:
    struct asked_instance {
        unsigned life = 0;
        bool troubled = false;
        bool runs = false;
        time_point calm_since{};
        std::uint64_t revision = 0; // newest seen in this life
    };
    // What was asked when.
    struct question {
        unsigned instance = 0;
        unsigned life = 0;
        std::string service;
        std::string target;
        time_point sent{};
    };

    void publish();
    void ask_all();
    void ask(unsigned instance);
    void ask_addresses(unsigned instance);
    question question_to(unsigned instance);
    void send(const question& asked, std::uint16_t port);
    void take_answer(const question& asked, const io::http_response& answer);
    void poll_all();
    void take_revision(const question& asked, std::uint64_t revision);
    bool undisturbed_for(unsigned instance, duration time, time_point at) const;
    void fault(const question& asked, const std::string& what);
    std::string place_of(const question& asked) const;
    std::string any_target(const std::string& service);
    std::string file_text(const published_files::file& of) const;

    duration period_;
    std::mt19937 random_;
    published_files files_;
    std::vector<asked_instance> instances_;
    findings seen_;
    time_point started_{};
    child_process backends_;
    std::vector<std::uint16_t> backend_ports_;
    control_fleet fleet_;
};

} // namespace waxwingvale::standin
