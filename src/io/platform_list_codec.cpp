#include <waxwingvale/io/platform_client.hpp>

#include "model/document_reader.hpp"

namespace waxwingvale::io {

namespace {

using membership::listed_backend_server;
using membership::listed_member;
using membership::platform_list;

constexpr std::size_t list_size_limit = 1024 * 1024; // bytes
constexpr number_range port_range{0, 65535};
constexpr number_range entry_count{0, 10'000};
constexpr number_range any_number{0, UINT64_MAX};

constexpr word_meaning<bool> leaving_words[] = {{"live", false},
                                                {"leaving", true}};

bool read_leaving(object_reader& from) {
    return from.has("state") && from.word("state", leaving_words);
}

std::uint16_t read_port(object_reader& from, const char* field) {
    return static_cast<std::uint16_t>(from.number(field, port_range));
}

listed_member read_listed_member(object_reader& from) {
    listed_member value;
    value.name = from.name("name");
    value.data_centre = from.name("data_centre");
    value.addresses.host = from.ip_number("host");
    value.addresses.caller_port = read_port(from, "caller_port");
    value.addresses.steer_port = read_port(from, "steer_port");
    value.addresses.control_port = read_port(from, "control_port");
    value.leaving = read_leaving(from);
    return value;
}

listed_backend_server read_listed_backend_server(object_reader& from) {
    listed_backend_server value;
    value.name = from.name("name");
    value.incarnation = from.number_or("incarnation", any_number, 0);
    value.leaving = read_leaving(from);
    return value;
}

} // namespace

// Fields that are not known are passed over: the platform's list is not ours,
// and may say more than we read. What is missing counts as an empty list,
// which says nothing of anybody.
result<platform_list> parse_platform_list(const published_item& published) {
    document_problems problems("read platform's list", published.key);
    const auto document =
        parse_document(published.value, list_size_limit, problems);
    platform_list list;
    list.revision = published.revision;
    if (problems.empty()) {
        object_reader file(document, "", problems);
        for (auto& each :
             file.objects_or_none("entry_instances", entry_count)) {
            list.members.push_back(read_listed_member(each));
        }
        for (auto& each :
             file.objects_or_none("backend_servers", entry_count)) {
            list.backend_servers.push_back(read_listed_backend_server(each));
        }
    }
    if (!problems.empty()) {
        auto first = problems.errors().front();
        first.code = error_code::malformed;
        return first;
    }
    return list;
}

} // namespace waxwingvale::io
