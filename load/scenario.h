// Load scenario from a TOML file: the arrival of requests and the faults to inject.
#ifndef HINGESPAN_LOAD_SCENARIO_H_
#define HINGESPAN_LOAD_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/finding.h"
#include "hingespan/settings/node_settings.h"

namespace hingespan::load {

// One table row that requests of a class may ask for.
struct WeightedModel {
  std::string model;
  double weight = 1.0;
};

// Requests that arrive together, spread evenly over all routers.
struct Burst {
  absl::Duration at;
  int requests = 1;
  // Arrivals are uniformly distributed in [at, at + spread).
  absl::Duration spread;
  // Number of models drawn by weight for the burst; each is requested at many routers. 0 means all.
  int distinct_models = 0;
};

// A class of requests with common properties.
struct RequestClass {
  std::string name;
  // Rate of Poisson arrivals over the whole run; 0 means none.
  double rate_per_second = 0;
  std::vector<Burst> bursts;
  std::vector<WeightedModel> models;
  bool repeatable = true;
  absl::Duration time_limit = absl::Seconds(30);
  int priority = 0;
  bool stream = true;
  int max_tokens = 16;
  // Number of routers to which each request is sent at the same time, under one idempotency key.
  int copies = 1;
};

// `json` is the fault in the emulator's format.
struct TimedFault {
  absl::Duration at;
  std::string json;
};

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  absl::Duration duration = absl::Seconds(60);
  // Time compression of the emulator for which the scenario and its arrivals are designed.
  double time_compression = 1.0;
  // Memory of one accelerator, used to convert MiB seconds to accelerator hours.
  double accelerator_mib = 81920;
  // Zones in which an experiment starts nodes; experiments need at least one.
  std::vector<std::string> zones;
  // Settings of the experiment's nodes, in addition to the deployment's own. Real-time values must
  // be compressed like the rest.
  std::vector<SettingOverride> node_settings;
  // Maximum number of requests in flight; each uses one thread.
  int maximum_in_flight = 256;
  std::vector<RequestClass> classes;
  std::vector<TimedFault> faults;
};

// A scenario with the findings about it. If there are findings, `scenario` must not be used.
struct LoadedScenario {
  Scenario scenario;
  Findings findings;
};

LoadedScenario LoadScenario(const std::string& file);
// Parses a scenario from TOML text; `name` is the file name that findings show.
LoadedScenario ParseScenario(const std::string& text, const std::string& name);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_SCENARIO_H_
