#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include <waxwingvale/io/http_message.hpp>

#include <waxwingvale/administration/control_snapshot.hpp>

namespace waxwingvale::administration {

// The documents of the administration API, as docs/operations/
// administration-api.md describes them. Each needs a snapshot with a view.
using admin_document = nlohmann::ordered_json;

admin_document status_document(const control_snapshot& of);
admin_document members_document(const control_snapshot& of);
admin_document owners_document(const control_snapshot& of);
admin_document backends_document(const control_snapshot& of);
admin_document configuration_document(const control_snapshot& of);
admin_document quarantine_document(const control_snapshot& of);

// What would be wrong with a file, and what it would change against the one in
// force. Nothing is applied.
admin_document check_document(const control_snapshot& of, std::string_view text,
                              const std::string& file_name);

admin_document error_document(const error& of);

// Text of any bytes; what is not UTF-8 is replaced.
std::string to_text(const admin_document& document);

} // namespace waxwingvale::administration
