#include "hingespan/operator/settings_command.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "hingespan/settings/node_settings.h"

namespace hingespan {
namespace {

std::string EscapeMarkdown(const std::string& text) {
  return absl::StrReplaceAll(text, {{"|", "\\|"}});
}

std::string CodeOrEmpty(const std::string& text) {
  return text.empty() ? "" : absl::StrCat("`", EscapeMarkdown(text), "`");
}

}  // namespace

ExitCode CheckSettingsFile(const std::string& file, const std::vector<std::string>& flags,
                           const Terminal& terminal) {
  std::vector<SettingOverride> overrides;
  Findings findings;
  for (const std::string& flag : flags) {
    const std::size_t equals = flag.find('=');
    if (equals == std::string::npos) {
      findings.push_back({{"--set", 0, 0}, flag, "is not an assignment", "KEY=VALUE"});
      continue;
    }
    overrides.push_back({flag.substr(0, equals), flag.substr(equals + 1)});
  }
  const LoadedNodeSettings loaded = LoadNodeSettings(file, overrides);
  findings.insert(findings.end(), loaded.findings.begin(), loaded.findings.end());
  if (!findings.empty()) {
    *terminal.err << FormatFindings(findings);
    return ExitCode::kUsage;
  }
  *terminal.out << file << ": no findings\n";
  return ExitCode::kOk;
}

std::string SettingsAsMarkdown() {
  std::string text = "| Key | Allowed | Default | Meaning |\n|---|---|---|---|\n";
  for (const SettingDescription& setting : DescribeNodeSettings()) {
    absl::StrAppend(&text, "| ", CodeOrEmpty(setting.key), " | ", EscapeMarkdown(setting.type),
                    " | ", CodeOrEmpty(setting.default_value), " | ",
                    EscapeMarkdown(setting.meaning), " |\n");
  }
  return text;
}

}  // namespace hingespan
