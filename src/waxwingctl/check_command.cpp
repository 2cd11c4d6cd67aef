#include "waxwingctl/check_command.hpp"

#include <nlohmann/json.hpp>

#include <waxwingvale/model/configuration_file.hpp>

#include "waxwingctl/admin_client.hpp"
#include "waxwingctl/printed_json.hpp"

namespace waxwingvale::ctl {

namespace {

printed_json error_object(const error& of) {
    return {{"code", waxwingvale::to_string(of.code)},
            {"step", of.step},
            {"peer", of.peer},
            {"detail", of.detail}};
}

printed_json refusal(const std::string& file, const error& of) {
    return {{"file", file},
            {"valid", false},
            {"errors", printed_json::array({error_object(of)})}};
}

printed_json check_here(const std::string& file, const std::string& text) {
    auto errors = printed_json::array();
    for (const auto& problem : check_configuration(text, file)) {
        errors.push_back(error_object(problem));
    }
    const bool valid = errors.empty();
    return {{"file", file}, {"valid", valid}, {"errors", errors}};
}

printed_json check_there(const std::string& file, const std::string& text,
                         const command_options& options) {
    const admin_request request{"POST", "/v1/check?file=" + url_escaped(file),
                                text};
    const auto answers =
        ask_admins({options.admins.front()}, options.token, request);
    const auto& document = answers.front().document;
    return document ? document.value() : refusal(file, document.error());
}

printed_json check_file(const std::string& file,
                        const command_options& options) {
    const auto text = program::read_file(file, configuration_size_limit);
    if (!text) {
        return refusal(file, text.error());
    }
    return options.admins.empty() ? check_here(file, text.value())
                                  : check_there(file, text.value(), options);
}

void print_plain(const printed_json& checked, std::ostream& out) {
    const auto file = text_at(checked, "/file");
    if (is_true(checked, "/valid")) {
        out << file << ": ok\n";
    }
    for (const auto& problem : elements(checked, "/errors")) {
        out << file << ": " << text_at(problem, "/detail") << '\n';
    }
    for (const auto& change : elements(checked, "/changes")) {
        out << file << ": against revision "
            << text_at(checked, "/against_revision") << ": " << shown(change)
            << '\n';
    }
}

} // namespace

exit_code run_check(const command_options& options, const command_output& to) {
    auto all = printed_json::array();
    bool valid = true;
    for (const auto& file : options.files) {
        all.push_back(check_file(file, options));
        valid = valid && is_true(all.back(), "/valid");
    }
    if (options.as_json) {
        to.out << to_printed_text(all);
    } else {
        for (const auto& checked : all) {
            print_plain(checked, to.out);
        }
    }
    return valid ? exit_code::ok : exit_code::refused;
}

} // namespace waxwingvale::ctl
