// Runs one scenario on a local cluster, once for each keep-warm policy.
#ifndef HINGESPAN_LOAD_EXPERIMENT_H_
#define HINGESPAN_LOAD_EXPERIMENT_H_

#include <string>
#include <vector>

#include "load/local_cluster.h"
#include "load/summary.h"

namespace hingespan::load {

struct ExperimentOptions {
  // Directory that contains the programs to start.
  std::string program_directory;
  // Directory with emulator.toml, node.toml, table.toml and scenario.toml.
  std::string deployment;
  // Output directory for record-<mode>.jsonl, experiment.txt and experiment.json.
  std::string directory;
  int nodes_per_zone = 1;
  // Values of the setting keep_warm.mode.
  std::vector<std::string> modes = {"always", "drop_at_once", "fixed_timeout", "weighted"};
};

struct ExperimentResult {
  ClusterStatus status;
  // Table with one row for each mode that ran.
  std::string table;
};

ExperimentResult RunExperiment(const ExperimentOptions& options);

// Returns a table with one row per summary. Runs with lost or wrong answers are included, so that a
// policy does not look good by failing.
std::string CompareSummaries(const std::vector<RunSummary>& summaries);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_EXPERIMENT_H_
