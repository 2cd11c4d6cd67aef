#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace waxwingvale::ctl {

// One line of a process's log, taken apart.
class log_line {
public:
    // Whatever stands before the line's time is passed over, as collectors of
    // logs put their own words there. Nothing when the line has no time or no
    // event, or a quote in it does not end.
    static std::optional<log_line> parse(std::string_view text);

    // The value of a field, or an empty text.
    const std::string& value(std::string_view key) const;
    // All fields but those that each line has, as they were written.
    std::string facts() const;

private:
    std::vector<std::pair<std::string, std::string>> fields_;
};

} // namespace waxwingvale::ctl
