#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <waxwingvale/io/platform_dialect.hpp>
#include <waxwingvale/membership/platform_list.hpp>
#include <waxwingvale/membership/registry_table.hpp>
#include <waxwingvale/model/configuration.hpp>
#include <waxwingvale/model/error.hpp>
#include <waxwingvale/model/view.hpp>
#include <waxwingvale/program/settings.hpp>

namespace waxwingvale::control {

// Something published that is not for us.
struct unrelated_item {};

// What one published item says.
using published_fact =
    std::variant<unrelated_item, configuration_text, membership::platform_list,
                 membership::registry_record>;

// A configuration that is being read, a little a turn of the loop.
class configuration_reading {
public:
    virtual ~configuration_reading() = default;
    // Reads on for a few milliseconds at most; whether that was its end.
    virtual bool read_on() = 0;
    // At its end: what it says.
    virtual result<configuration> take() = 0;
};

// What the platform publishes, and in which form. One is in use per process;
// it translates and decides nothing.
class published_state {
public:
    virtual ~published_state() = default;
    virtual const io::platform_dialect& dialect() const = 0;
    // The topics to read and watch.
    virtual std::vector<std::string> topics() const = 0;
    // Fails with malformed naming the item.
    virtual result<published_fact>
    decode(const io::published_item& item) const = 0;
    // What the removal of an item says.
    virtual published_fact
    decode_removal(const std::string& key,
                   const membership::publication_stamp& stamp) const = 0;
    // Whether all backend servers that exist are among what is read of it.
    virtual bool lists_backend_servers(const std::string& topic) const = 0;
    // Settings that may change while the process runs; configurations that
    // are read from here on follow them.
    virtual void reload(const program::settings& changed) {
        static_cast<void>(changed);
    }
    // Reads a configuration, whole or not at all.
    virtual result<configuration>
    parse(const configuration_text& file) const = 0;
    // The same of one that takes long; null: it doesn't.
    virtual std::unique_ptr<configuration_reading>
    begin(const configuration_text& file) const {
        static_cast<void>(file);
        return nullptr;
    }
};

// The product's own: one value with the configuration file, and one with the
// list of instances.
class published_values : public published_state {
public:
    const io::platform_dialect& dialect() const override { return dialect_; }
    std::vector<std::string> topics() const override;
    result<published_fact>
    decode(const io::published_item& item) const override;
    published_fact
    decode_removal(const std::string& key,
                   const membership::publication_stamp& stamp) const override;
    bool lists_backend_servers(const std::string& topic) const override;
    result<configuration> parse(const configuration_text& file) const override;

private:
    io::value_dialect dialect_;
};

} // namespace waxwingvale::control
