#include "fuzz_target.hpp"

#include <stdexcept>

#include "answer_targets.hpp"
#include "document_targets.hpp"
#include "message_targets.hpp"
#include "request_targets.hpp"

const std::vector<fuzz_target>& fuzz_targets() {
    static const std::vector<fuzz_target> table{
        {"configuration", run_configuration, configuration_seeds},
        {"settings", run_settings, settings_seeds},
        {"link_frame", run_link_frame, link_frame_seeds},
        {"key_message", run_key_message, key_message_seeds},
        {"grant_message", run_grant_message, grant_message_seeds},
        {"suspicion", run_suspicion, suspicion_seeds},
        {"exchange", run_exchange, exchange_seeds},
        {"platform_list", run_platform_list, platform_list_seeds},
        {"caller_headers", run_caller_headers, caller_headers_seeds},
        {"request_key", run_request_key, request_key_seeds},
        {"admin_request", run_admin_request, admin_request_seeds},
        {"answer", run_answer, answer_seeds},
        {"answer_head", run_answer_head, answer_head_seeds},
    };
    return table;
}

const fuzz_target& find_fuzz_target(const std::string& name) {
    for (const auto& target : fuzz_targets()) {
        if (target.name == name) {
            return target;
        }
    }
    throw std::out_of_range("no fuzz target " + name);
}

void must_hold(bool condition, const char* what) {
    if (!condition) {
        throw std::logic_error(what);
    }
}

byte_string to_bytes(const std::string& text) {
    return {text.begin(), text.end()};
}

std::string to_text(const byte_string& bytes) {
    return {bytes.begin(), bytes.end()};
}
