// The `check-settings` command.
#ifndef HINGESPAN_OPERATOR_SETTINGS_COMMAND_H_
#define HINGESPAN_OPERATOR_SETTINGS_COMMAND_H_

#include <string>
#include <vector>

#include "hingespan/operator/exit_code.h"
#include "hingespan/operator/output.h"

namespace hingespan {

// Checks a node's settings file together with the overrides in `flags` ("key=value" each), and
// prints every finding.
ExitCode CheckSettingsFile(const std::string& file, const std::vector<std::string>& flags,
                           const Terminal& terminal);

// Returns all settings as a Markdown table, for the operators' documentation.
std::string SettingsAsMarkdown();

}  // namespace hingespan

#endif  // HINGESPAN_OPERATOR_SETTINGS_COMMAND_H_
