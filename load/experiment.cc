#include "load/experiment.h"

#include <filesystem>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "load/child_process.h"
#include "load/load_record.h"
#include "load/load_runner.h"
#include "load/scenario.h"

namespace hingespan::load {
namespace {

constexpr absl::Duration kImportTimeout = absl::Seconds(30);
constexpr char kModeKey[] = "keep_warm.mode";
constexpr char kCompressionKey[] = "time_compression";

ClusterStatus Failed(std::error_code error, const std::string& what) {
  return ClusterStatus{error, absl::StrCat(what, ": ", error.message())};
}

// Imports the deployment's rows into the platform's table with the hingespan command.
ClusterStatus ImportTable(const ExperimentOptions& options, const std::string& platform) {
  const std::string what = "import of the table";
  const Result<std::unique_ptr<ChildProcess>> import =
      ChildProcess::Start({options.program_directory + "/hingespan", "--platform", platform,
                           "table", "import", options.deployment + "/table.toml"});
  if (!import) {
    return Failed(import.error(), what);
  }
  const Result<ExitStatus> exit = (*import)->WaitForExit(kImportTimeout);
  if (!exit) {
    return Failed(exit.error(), what);
  }
  if (!exit->clean()) {
    return ClusterStatus{Error::kInternal,
                         absl::StrCat(what, " failed:\n", (*import)->ErrorTail())};
  }
  return {};
}

LocalClusterOptions MakeClusterOptions(const ExperimentOptions& options, const Scenario& scenario,
                                       const std::string& mode) {
  LocalClusterOptions cluster;
  cluster.program_directory = options.program_directory;
  cluster.emulator_settings = options.deployment + "/emulator.toml";
  cluster.emulator_overrides = {{kCompressionKey, absl::StrCat(scenario.time_compression)}};
  cluster.node_settings = options.deployment + "/node.toml";
  cluster.node_overrides = scenario.node_settings;
  cluster.node_overrides.push_back(SettingOverride{kModeKey, mode});
  for (const std::string& zone : scenario.zones) {
    cluster.zones.push_back(ZoneNodes{ZoneId(zone), options.nodes_per_zone});
  }
  return cluster;
}

// Runs the scenario once on a separate cluster.
ClusterStatus RunMode(const ExperimentOptions& options, const Scenario& scenario,
                      const std::string& mode, RunSummary* summary) {
  LocalCluster cluster(MakeClusterOptions(options, scenario, mode));
  ClusterStatus status = cluster.StartEmulator();
  if (status.ok()) {
    status = ImportTable(options, cluster.PlatformAddress(ZoneId(scenario.zones.front())));
  }
  if (status.ok()) {
    status = cluster.StartNodes();
  }
  if (!status.ok()) {
    return status;
  }
  RunOptions run;
  run.nodes = cluster.HttpAddresses();
  run.admin = cluster.admin_address();
  run.label = mode;
  const RunRecord record = RunScenario(scenario, run);
  *summary = Summarize(record);
  const std::string file = absl::StrCat(options.directory, "/record-", mode, ".jsonl");
  const std::error_code error = WriteRecordFile(record, file);
  return error ? Failed(error, file) : ClusterStatus{};
}

std::string SummariesAsJson(const std::vector<RunSummary>& summaries) {
  std::string json = "[\n";
  for (std::size_t index = 0; index < summaries.size(); ++index) {
    absl::StrAppend(&json, index == 0 ? "" : ",\n", SummaryAsJson(summaries[index]));
  }
  return json + "\n]\n";
}

ClusterStatus WriteResults(const ExperimentOptions& options,
                           const std::vector<RunSummary>& summaries) {
  std::ofstream table(options.directory + "/experiment.txt");
  table << CompareSummaries(summaries);
  for (const RunSummary& summary : summaries) {
    table << "\n" << SummaryAsTable(summary);
  }
  std::ofstream json(options.directory + "/experiment.json");
  json << SummariesAsJson(summaries);
  table.flush();
  json.flush();
  return table.good() && json.good() ? ClusterStatus{}
                                     : Failed(Error::kUnavailable, options.directory);
}

}  // namespace

std::string CompareSummaries(const std::vector<RunSummary>& summaries) {
  std::string table = absl::StrFormat(
      "%-15s %8s %8s %7s %6s %5s %5s %6s %9s %9s %9s %7s %9s %9s %5s %9s\n", "keep-warm",
      "requests", "answered", "refused", "failed", "lost", "wrong", "cold", "cold p50", "cold p99",
      "cold max", "loads", "idle h", "busy h", "dups", "false n-r");
  for (const RunSummary& summary : summaries) {
    const ClassSummary& all = summary.classes.back();
    const EngineSummary& engines = summary.engines;
    absl::StrAppendFormat(
        &table, "%-15s %8d %8d %7d %6d %5d %5d %6d %9.0f %9.0f %9.0f %7d %9.3f %9.3f %5d %9d\n",
        summary.label, all.requests, all.answered, all.refused, all.failed, all.lost, all.wrong,
        all.cold_first_token.count, all.cold_first_token.p50, all.cold_first_token.p99,
        all.cold_first_token.maximum, engines.loads_begun, engines.idle_accelerator_hours,
        engines.busy_accelerator_hours, engines.duplicates, engines.false_not_run);
  }
  return table +
         "cold p50, p99, max: ms to the first token of cold answers; hours: of emulated "
         "accelerators\n";
}

ExperimentResult RunExperiment(const ExperimentOptions& options) {
  ExperimentResult result;
  const LoadedScenario loaded = LoadScenario(options.deployment + "/scenario.toml");
  if (!loaded.findings.empty()) {
    result.status = ClusterStatus{Error::kInvalidArgument, FormatFindings(loaded.findings)};
    return result;
  }
  if (loaded.scenario.zones.empty()) {
    result.status = ClusterStatus{Error::kInvalidArgument, "the scenario names no zones"};
    return result;
  }
  std::error_code error;
  std::filesystem::create_directories(options.directory, error);
  if (error) {
    result.status = Failed(error, options.directory);
    return result;
  }
  std::vector<RunSummary> summaries;
  for (const std::string& mode : options.modes) {
    RunSummary summary;
    result.status = RunMode(options, loaded.scenario, mode, &summary);
    if (!result.status.ok()) {
      break;
    }
    summaries.push_back(std::move(summary));
  }
  result.table = CompareSummaries(summaries);
  const ClusterStatus written = WriteResults(options, summaries);
  if (result.status.ok()) {
    result.status = written;
  }
  return result;
}

}  // namespace hingespan::load
