#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace review {

// How a case ended, as its exit code.
enum class verdict { held = 0, broken = 1, not_run = 2 };

// Lines of what was sent, answered and run, with milliseconds since the start.
class record {
public:
    explicit record(const std::string& file);
    void line(const std::string& text);

private:
    std::mutex lock_;
    std::ofstream out_;
};

// Where a case runs: the repository, and whether the disruption is played.
struct case_frame {
    std::string root;
    std::string folder; // of the case
    bool trouble = true;
};

case_frame frame_of(int argc, char** argv);

// Milliseconds since the program started.
long elapsed_ms();
void pause_ms(long milliseconds);

// Ends the program at once: threads of the stand-ins may still wait.
[[noreturn]] void end_with(verdict how);

} // namespace review
