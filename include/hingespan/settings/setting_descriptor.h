// Descriptor of a setting: its key, the field that stores its value, the allowed values and the
// meaning. Parsing, checks, help and the operators' page use the same list of descriptors.
#ifndef HINGESPAN_SETTINGS_SETTING_DESCRIPTOR_H_
#define HINGESPAN_SETTINGS_SETTING_DESCRIPTOR_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/settings/node_settings.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan {

template <typename T>
using SettingAccessor = T& (*)(NodeSettings&);

// Accessor of the field that stores the value. Its type determines how the value is parsed and
// printed.
using SettingField = std::variant<
    SettingAccessor<bool>, SettingAccessor<int>, SettingAccessor<std::uint32_t>,
    SettingAccessor<std::uint64_t>, SettingAccessor<double>, SettingAccessor<absl::Duration>,
    SettingAccessor<std::string>, SettingAccessor<std::vector<std::string>>,
    SettingAccessor<NodeId>, SettingAccessor<ZoneId>, SettingAccessor<std::vector<ZoneId>>,
    SettingAccessor<LogLevel>, SettingAccessor<LogFormat>, SettingAccessor<KeepWarmMode>>;

// Rules for the content of string values.
enum class TextRule {
  kNone,
  // Up to 64 letters, digits, '.', '_' and '-'.
  kName,
  // "ip:port" with a port above 0.
  kAddress,
  // "ip:port"; port 0 lets the kernel choose a port.
  kListenAddress,
};

// Inclusive range of a number; in milliseconds for durations.
struct NumberRange {
  double minimum = 0;
  double maximum = std::numeric_limits<std::uint32_t>::max();
};

struct SettingDescriptor {
  // Key in the form "section.name"; names of durations end in "_ms".
  std::string_view key;
  SettingField field;
  NumberRange range;
  TextRule rule = TextRule::kNone;
  std::string_view meaning;
};

// All settings, in the order of the operators' page.
const std::vector<SettingDescriptor>& AllSettings();
// Returns null if there is no such setting.
const SettingDescriptor* FindSetting(std::string_view key);

// Returns the allowed values as text, e.g. "integer 1..64" or "milliseconds 1..3600000".
std::string SettingType(const SettingDescriptor& setting);
// Returns the value in `settings` as TOML.
std::string PrintSetting(const SettingDescriptor& setting, NodeSettings settings);

// Sets the value in `settings`. Returns an empty string, or a description of the problem if the
// value is not allowed; `settings` is then unchanged.
std::string AssignSetting(const SettingDescriptor& setting, const TomlValue& value,
                          NodeSettings* settings);
// Parses a flag's text according to the setting's type; lists are split at commas.
TomlValue ParseFlagValue(const SettingDescriptor& setting, std::string_view text);

// Returns whether `text` is "ip:port" with a numeric IPv4 or bracketed IPv6 address.
bool IsIpAndPort(std::string_view text);
// Returns whether an "ip:port" is a loopback address.
bool IsLoopback(std::string_view ip_and_port);
// Returns the port of an "ip:port", or 0 if there is none.
int PortOf(std::string_view ip_and_port);
// Returns whether `text` conforms to TextRule::kName.
bool IsName(std::string_view text);

}  // namespace hingespan

#endif  // HINGESPAN_SETTINGS_SETTING_DESCRIPTOR_H_
