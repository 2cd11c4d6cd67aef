#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace waxwingvale::platform {

// Fills in a settings template as the platform does it: {{a.b}} is a value,
// {{a|json}} the same as JSON, {{#a}} .. {{/a}} is repeated for each entry of a
// list or table, within which {{.}} is the entry, {{@}} its key and {{,}} a
// comma after all but the last. What has no value is left empty.
std::string render_template(const std::string& text,
                            const nlohmann::ordered_json& fields);

} // namespace waxwingvale::platform
