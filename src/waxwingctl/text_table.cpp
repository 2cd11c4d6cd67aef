#include "waxwingctl/text_table.hpp"

#include <algorithm>
#include <utility>

namespace waxwingvale::ctl {

text_table::text_table(row titles) {
    rows_.push_back(std::move(titles));
}

void text_table::add(row cells) {
    cells.resize(rows_.front().size());
    rows_.push_back(std::move(cells));
}

void text_table::print(std::ostream& out) const {
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& cells : rows_) {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    for (const auto& cells : rows_) {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += cells[i];
            line.append(widths[i] - cells[i].size() + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace waxwingvale::ctl
