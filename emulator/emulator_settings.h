// Settings of the emulator: a TOML file whose keys flags can override.
#ifndef HINGESPAN_EMULATOR_EMULATOR_SETTINGS_H_
#define HINGESPAN_EMULATOR_EMULATOR_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "emulator/engine_fleet.h"
#include "hingespan/common/finding.h"
#include "hingespan/common/ids.h"

namespace hingespan::emulator {

struct EmulatorWorker {
  WorkerId worker;
  ZoneId zone;
  EngineOptions options;
  std::vector<CheckpointPreload> preloads;
};

struct PlatformSettings {
  // Calls per second over all callers, and the burst size; a rate of 0 means no limit.
  double table_calls_per_second = 100;
  double object_calls_per_second = 100;
  double machine_list_calls_per_second = 100;
  double burst = 50;
  // Latency of every answer (real time).
  absl::Duration latency = absl::Milliseconds(2);
  // Delay until the machine list shows a change (emulated time).
  absl::Duration machine_list_lag = absl::Seconds(1);
  // Connections served concurrently on each platform address.
  int threads = 256;
};

struct EmulatorSettings {
  std::string host = "127.0.0.1";
  // Port to listen on; 0 lets the kernel choose.
  int platform_port = 0;
  int engine_port = 0;
  int admin_port = 0;
  // Real time after which the emulator exits by itself.
  absl::Duration lifetime = absl::Minutes(10);
  std::uint64_t seed = 1;
  // Factor by which engines, weight store and machine list lag run faster than real time.
  double time_compression = 1.0;
  bool abort_on_overcommit = false;
  std::size_t log_entries = 200000;
  // Connections served concurrently by all engines together.
  int engine_threads = 700;
  // Initial one-way delay of the links between zones (real time).
  absl::Duration link_delay;
  std::vector<ZoneId> zones;
  std::vector<EmulatorWorker> workers;
  WeightStoreOptions weight_store;
  PlatformSettings platform;
};

// Settings with the findings about them. If there are findings, `settings` must not be used.
struct LoadedEmulatorSettings {
  EmulatorSettings settings;
  Findings findings;
};

// One "key=value" from a flag, e.g. "weight_store.loads_per_second=5". The value is TOML; strings
// need no quotes.
struct EmulatorOverride {
  std::string key;
  std::string value;
};

// Loads settings from a file; unknown keys are findings.
LoadedEmulatorSettings LoadEmulatorSettings(const std::string& file,
                                            const std::vector<EmulatorOverride>& overrides);
// Parses settings from TOML text; `name` is the file name that findings show.
LoadedEmulatorSettings ParseEmulatorSettings(const std::string& text, const std::string& name,
                                             const std::vector<EmulatorOverride>& overrides);

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_EMULATOR_SETTINGS_H_
