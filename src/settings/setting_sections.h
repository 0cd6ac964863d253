// Helpers shared by the files that list settings. Internal to the module.
#ifndef HINGESPAN_SETTINGS_SETTING_SECTIONS_H_
#define HINGESPAN_SETTINGS_SETTING_SECTIONS_H_

#include <string_view>
#include <vector>

#include "hingespan/settings/setting_descriptor.h"

namespace hingespan::setting_sections {

using S = NodeSettings;
using Settings = std::vector<SettingDescriptor>;

// Upper limits of ranges, in milliseconds.
inline constexpr double kMinute = 60'000;
inline constexpr double kTenMinutes = 10 * kMinute;
inline constexpr double kHour = 60 * kMinute;
inline constexpr double kDay = 24 * kHour;
// Largest integer, 2^53, up to which all integers are exact in NumberRange.
inline constexpr double kLargestInteger = 9'007'199'254'740'992;

inline SettingDescriptor Ranged(std::string_view key, SettingField field, NumberRange range,
                                std::string_view meaning) {
  return {key, field, range, TextRule::kNone, meaning};
}

inline SettingDescriptor Text(std::string_view key, SettingField field, TextRule rule,
                              std::string_view meaning) {
  return {key, field, {}, rule, meaning};
}

inline SettingDescriptor Plain(std::string_view key, SettingField field, std::string_view meaning) {
  return {key, field, {}, TextRule::kNone, meaning};
}

// Settings of placers, which choose the granted worker that loads a model and when another one
// does.
Settings PlacerSection();

}  // namespace hingespan::setting_sections

#endif  // HINGESPAN_SETTINGS_SETTING_SECTIONS_H_
