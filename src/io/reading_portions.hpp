#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include <waxwingvale/io/platform_client.hpp>
#include <waxwingvale/io/platform_dialect.hpp>
#include <waxwingvale/model/error.hpp>

namespace waxwingvale::io {

// What one answer of the platform has published, given on a little at a time:
// whoever takes it must not hold the loop for longer than a portion takes.
class reading_portions {
public:
    explicit reading_portions(published_page page);
    explicit reading_portions(published_changes changes);

    bool empty() const;
    // Adds the next portion. Fails with malformed where an item is none.
    result<void> take(platform_reading& into);
    // The key of the last item taken so far.
    const std::string& last_key() const { return last_key_; }

private:
    result<published_change> next();
    void add(published_change&& change, platform_reading& into);

    bool whole_;
    std::vector<published_change> read_;
    std::size_t next_ = 0; // of those
    std::shared_ptr<unread_changes> rest_;
    std::string last_key_;
};

} // namespace waxwingvale::io
