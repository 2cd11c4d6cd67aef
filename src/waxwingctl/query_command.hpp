#pragma once

#include "waxwingctl/command.hpp"

namespace waxwingvale::ctl {

// Commands that ask each entry instance for one document and show it.
enum class query_kind {
    status,
    members,
    owners,
    backends,
    config,
    quarantine,
    explain
};

// Shows one document of each instance, as a table or as JSON. Instances that
// give no answer are told on the error stream; the others are shown still.
exit_code run_query(query_kind kind, const command_options& options,
                    const command_output& to);

template <query_kind Kind>
exit_code run_query(const command_options& options, const command_output& to) {
    return run_query(Kind, options, to);
}

} // namespace waxwingvale::ctl
