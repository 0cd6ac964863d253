#include "hingespan/settings/node_settings.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "hingespan/settings/setting_checks.h"
#include "hingespan/settings/setting_descriptor.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan {
namespace {

constexpr std::size_t kMinSecretLength = 16;
constexpr char kFlagPlace[] = "--set";

// Returns the section of a key, e.g. "http.tls" for "http.tls.key_file".
std::string SectionOf(std::string_view key) {
  const std::size_t dot = key.rfind('.');
  return std::string(dot == std::string_view::npos ? "" : key.substr(0, dot));
}

// Returns whether any setting is in the section or in one of its subsections.
bool IsSection(const std::string& section) {
  const auto& all = AllSettings();
  return std::any_of(all.begin(), all.end(), [&section](const SettingDescriptor& setting) {
    return setting.key.starts_with(section + ".");
  });
}

std::string KeysOf(const std::string& section) {
  std::vector<std::string> keys;
  for (const SettingDescriptor& setting : AllSettings()) {
    if (SectionOf(setting.key) == section) {
      keys.emplace_back(setting.key);
    }
  }
  return absl::StrJoin(keys, ", ");
}

std::string TopSections() {
  std::vector<std::string> sections;
  for (const SettingDescriptor& setting : AllSettings()) {
    std::string section(setting.key.substr(0, setting.key.find('.')));
    if (sections.empty() || sections.back() != section) {
      sections.push_back(std::move(section));
    }
  }
  return absl::StrJoin(sections, ", ");
}

class Loader {
 public:
  explicit Loader(std::string file) : file_(std::move(file)) {}

  LoadedNodeSettings Load(const std::vector<SettingOverride>& overrides) {
    ReadFile();
    for (const SettingOverride& flag : overrides) {
      ApplyOverride(flag);
    }
    ReadSecrets();
    std::sort(settings_.core.zones.begin(), settings_.core.zones.end());
    CheckSettings(settings_, places_, file_, &findings_);
    return {std::move(settings_), std::move(findings_)};
  }

 private:
  void ReadFile() {
    if (file_.empty()) {
      return;
    }
    const Result<std::string> text = ReadTextFile(file_);
    if (!text.ok()) {
      findings_.push_back({{file_, 0, 0}, "file", text.error().message(), "a readable file"});
      return;
    }
    TomlDocument document = ParseToml(*text, file_);
    findings_.insert(findings_.end(), document.findings.begin(), document.findings.end());
    for (const TomlEntry& entry : document.entries) {
      ApplyEntry(entry);
    }
  }

  void ApplyEntry(const TomlEntry& entry) {
    const std::string key = absl::StrJoin(entry.path, ".");
    if (InUnknownSection(key)) {
      return;
    }
    if (!std::holds_alternative<TomlTable>(entry.value)) {
      ApplyValue(key, entry.value, entry.place);
    } else if (!IsSection(key)) {
      unknown_sections_.push_back(key);
      findings_.push_back({entry.place, key, "unknown section", TopSections()});
    }
  }

  // Keys of an unknown section are not reported, as the section itself is.
  bool InUnknownSection(const std::string& key) const {
    return std::any_of(
        unknown_sections_.begin(), unknown_sections_.end(),
        [&key](const std::string& section) { return key.starts_with(section + "."); });
  }

  void ApplyValue(const std::string& key, const TomlValue& value, const Place& place) {
    const SettingDescriptor* setting = FindSetting(key);
    if (setting == nullptr) {
      findings_.push_back({place, key, "unknown key", KeysOf(SectionOf(key))});
      return;
    }
    places_[key] = place;
    std::string problem = AssignSetting(*setting, value, &settings_);
    if (!problem.empty()) {
      findings_.push_back({place, key, std::move(problem), SettingType(*setting)});
    }
  }

  void ApplyOverride(const SettingOverride& flag) {
    const SettingDescriptor* setting = FindSetting(flag.key);
    const TomlValue value =
        setting != nullptr ? ParseFlagValue(*setting, flag.value) : TomlValue(flag.value);
    ApplyValue(flag.key, value, {kFlagPlace, 0, 0});
  }

  void ReadSecrets() {
    const SecretFiles& files = settings_.secret_files;
    settings_.caller_key = ReadSecret("secrets.caller_key_file", files.caller_key_file);
    settings_.operator_key = ReadSecret("secrets.operator_key_file", files.operator_key_file);
    settings_.cluster_key = ReadSecret("secrets.cluster_key_file", files.cluster_key_file);
  }

  std::string ReadSecret(const std::string& key, const std::string& file) {
    if (file.empty()) {
      return "";
    }
    const Result<std::string> text = ReadTextFile(file);
    if (!text.ok()) {
      findings_.push_back(
          {places_[key], key, absl::StrCat("can't read \"", file, "\""), "a readable file"});
      return "";
    }
    std::string secret(absl::StripAsciiWhitespace(*text));
    if (secret.size() < kMinSecretLength) {
      findings_.push_back({places_[key], key, absl::StrCat("the secret in \"", file, "\" is short"),
                           absl::StrCat("at least ", kMinSecretLength, " characters")});
    }
    return secret;
  }

  const std::string file_;
  NodeSettings settings_;
  SettingPlaces places_;
  std::vector<std::string> unknown_sections_;
  Findings findings_;
};

}  // namespace

LoadedNodeSettings LoadNodeSettings(const std::string& file,
                                    const std::vector<SettingOverride>& overrides) {
  return Loader(file).Load(overrides);
}

std::vector<SettingDescription> DescribeNodeSettings() {
  const NodeSettings defaults;
  std::vector<SettingDescription> descriptions;
  for (const SettingDescriptor& setting : AllSettings()) {
    descriptions.push_back({std::string(setting.key), SettingType(setting),
                            PrintSetting(setting, defaults), std::string(setting.meaning)});
  }
  return descriptions;
}

}  // namespace hingespan
