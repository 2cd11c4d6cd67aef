#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace waxwingvale::ctl {

// A plain table: columns as wide as their widest cell, two spaces apart.
class text_table {
public:
    using row = std::vector<std::string>;

    explicit text_table(row titles);
    // Cells past the titles are left out, missing ones are empty.
    void add(row cells);
    void print(std::ostream& out) const;

private:
    std::vector<row> rows_;
};

} // namespace waxwingvale::ctl
