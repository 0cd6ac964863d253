// Settings of a small, fast emulator for tests.
#ifndef HINGESPAN_TESTS_EMULATOR_TEST_SETTINGS_H_
#define HINGESPAN_TESTS_EMULATOR_TEST_SETTINGS_H_

#include <string>

#include "absl/strings/str_cat.h"
#include "emulator/emulator_settings.h"

namespace hingespan::emulator {

// Two zones, "z1" and "z2"; workers w1, w2, ... are assigned to them in turn.
class TestSettings {
 public:
  TestSettings() {
    settings_.lifetime = absl::Seconds(60);
    settings_.zones = {ZoneId("z1"), ZoneId("z2")};
    settings_.platform.latency = absl::ZeroDuration();
    settings_.platform.machine_list_lag = absl::ZeroDuration();
    settings_.platform.table_calls_per_second = 0;
    settings_.weight_store.begins_per_second = 1000;
    engine_.memory_mib = 1000;
    engine_.token_interval = absl::Milliseconds(2);
    engine_.remote_load_per_gib = absl::Milliseconds(1);
    engine_.status_lag = absl::ZeroDuration();
  }

  EngineOptions& engine() { return engine_; }
  PlatformSettings& platform() { return settings_.platform; }
  WeightStoreOptions& weight_store() { return settings_.weight_store; }

  EmulatorSettings Build(int workers) {
    for (int i = 1; i <= workers; ++i) {
      EmulatorWorker worker;
      worker.worker = WorkerId(absl::StrCat("w", i));
      worker.zone = settings_.zones[(i - 1) % settings_.zones.size()];
      worker.options = engine_;
      settings_.workers.push_back(worker);
    }
    return settings_;
  }

 private:
  EmulatorSettings settings_;
  EngineOptions engine_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_TESTS_EMULATOR_TEST_SETTINGS_H_
