// Checks that involve more than one of a node's settings.
#ifndef HINGESPAN_SETTINGS_SETTING_CHECKS_H_
#define HINGESPAN_SETTINGS_SETTING_CHECKS_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "hingespan/common/finding.h"
#include "hingespan/settings/node_settings.h"

namespace hingespan {

// Place of each given key.
using SettingPlaces = absl::flat_hash_map<std::string, Place>;

// Appends a finding for each conflict between settings and each missing required key. `file` is
// reported as the place of keys that were not given.
void CheckSettings(const NodeSettings& settings, const SettingPlaces& places,
                   const std::string& file, Findings* findings);

}  // namespace hingespan

#endif  // HINGESPAN_SETTINGS_SETTING_CHECKS_H_
