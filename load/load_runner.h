// Runs a scenario against nodes as an open loop: each request is sent at its planned instant,
// independent of the results of earlier ones.
#ifndef HINGESPAN_LOAD_LOAD_RUNNER_H_
#define HINGESPAN_LOAD_LOAD_RUNNER_H_

#include <string>
#include <vector>

#include "load/load_record.h"
#include "load/scenario.h"

namespace hingespan::load {

struct RunOptions {
  // Addresses ("ip:port") of the nodes' HTTP servers; at least one.
  std::vector<std::string> nodes;
  // Address ("ip:port") of the emulator's admin service. If empty, the run has no faults, totals or
  // residency.
  std::string admin;
  std::string label;
};

// Blocks for the scenario's duration and at most until the last answer's time limit.
RunRecord RunScenario(const Scenario& scenario, const RunOptions& options);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_LOAD_RUNNER_H_
