#include "platform/settings_template.hpp"

#include <cctype>
#include <cstddef>

namespace waxwingvale::platform {

namespace {

using nlohmann::ordered_json;

struct section_entry {
    const ordered_json* value = nullptr;
    std::string key;
    bool last = true;
};

const ordered_json* find(const ordered_json& in, const std::string& path) {
    const auto dot = path.find('.');
    const auto name = path.substr(0, dot);
    const ordered_json* found = nullptr;
    if (in.is_object() && in.contains(name)) {
        found = &in.at(name);
    } else if (in.is_array() && !name.empty() &&
               std::isdigit(static_cast<unsigned char>(name[0])) != 0 &&
               std::stoul(name) < in.size()) {
        found = &in.at(std::stoul(name));
    }
    if (found == nullptr || dot == std::string::npos) {
        return found;
    }
    return find(*found, path.substr(dot + 1));
}

std::string plain(const ordered_json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string value_of(std::string name, const ordered_json& fields,
                     const section_entry& entry) {
    const auto as_json = name.find("|json");
    name = name.substr(0, as_json);
    if (name == "@") {
        return entry.key;
    }
    if (name == ",") {
        return entry.last ? "" : ",";
    }
    const auto* value = name == "." ? entry.value : find(fields, name);
    if (value == nullptr) {
        return "";
    }
    return as_json == std::string::npos ? plain(*value) : value->dump();
}

std::string render(const std::string& text, const ordered_json& fields,
                   const section_entry& entry);

std::string render_each(const std::string& body, const ordered_json& list,
                        const ordered_json& fields) {
    std::string rendered;
    std::size_t number = 0;
    for (const auto& [key, value] : list.items()) {
        ++number;
        rendered += render(body, fields, {&value, key, number == list.size()});
    }
    return rendered;
}

std::string render(const std::string& text, const ordered_json& fields,
                   const section_entry& entry) {
    std::string rendered;
    std::size_t at = 0;
    while (true) {
        const auto open = text.find("{{", at);
        rendered += text.substr(at, open - at);
        if (open == std::string::npos) {
            return rendered;
        }
        const auto close = text.find("}}", open);
        const auto name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (name[0] != '#') {
            rendered += value_of(name, fields, entry);
            continue;
        }
        const auto end_mark = "{{/" + name.substr(1) + "}}";
        const auto end = text.find(end_mark, at);
        if (const auto* list = find(fields, name.substr(1))) {
            rendered += render_each(text.substr(at, end - at), *list, fields);
        }
        at = end + end_mark.size();
    }
}

} // namespace

std::string render_template(const std::string& text,
                            const nlohmann::ordered_json& fields) {
    return render(text, fields, {});
}

} // namespace waxwingvale::platform
