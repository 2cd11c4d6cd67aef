#include <waxwingvale/control/published_state.hpp>

#include <waxwingvale/io/platform_client.hpp>
#include <waxwingvale/model/configuration_file.hpp>

namespace waxwingvale::control {

namespace {

constexpr const char* configuration_value = "configuration";
constexpr const char* instances_value = "instances";

} // namespace

std::vector<std::string> published_values::topics() const {
    return {configuration_value, instances_value};
}

result<published_fact>
published_values::decode(const io::published_item& item) const {
    if (item.key == configuration_value) {
        return published_fact(configuration_text{item.revision, item.value});
    }
    auto list = io::parse_platform_list(item);
    if (!list) {
        return list.error();
    }
    return published_fact(std::move(list.value()));
}

// Values are replaced and never removed.
published_fact
published_values::decode_removal(const std::string&,
                                 const membership::publication_stamp&) const {
    return unrelated_item{};
}

// Its list only names those that the configuration file has, when they leave.
bool published_values::lists_backend_servers(const std::string&) const {
    return false;
}

result<configuration>
published_values::parse(const configuration_text& file) const {
    return parse_configuration(file.text, configuration_value, file.revision);
}

} // namespace waxwingvale::control
