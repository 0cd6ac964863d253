// hingespan-load: load generator and experiments, driven by a scenario file.
//   run         sends a scenario's requests to nodes and writes a record
//   summary     prints the statistics of a record
//   report      draws plots of one record, or of two side by side
//   experiment  runs a scenario once per keep-warm policy on a local cluster
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "hingespan/common/finding.h"
#include "load/experiment.h"
#include "load/load_record.h"
#include "load/load_runner.h"
#include "load/report.h"
#include "load/scenario.h"
#include "load/summary.h"

namespace {

namespace load = hingespan::load;
using hingespan::Result;

constexpr int kExitFailed = 1;
constexpr int kExitScenario = 2;

struct RunArguments {
  std::string scenario;
  std::string out;
  std::string label;
  std::vector<std::string> nodes;
  std::string admin;
};

struct SummaryArguments {
  std::string record;
  bool json = false;
};

struct ReportArguments {
  std::string record;
  std::string against;
  std::string out;
};

int Fail(const std::string& what, std::error_code error) {
  std::cerr << what << ": " << error.message() << std::endl;
  return kExitFailed;
}

int Run(const RunArguments& arguments) {
  const load::LoadedScenario loaded = load::LoadScenario(arguments.scenario);
  if (!loaded.findings.empty()) {
    std::cerr << hingespan::FormatFindings(loaded.findings);
    return kExitScenario;
  }
  load::RunOptions options;
  options.nodes = arguments.nodes;
  options.admin = arguments.admin;
  options.label = arguments.label;
  const load::RunRecord record = load::RunScenario(loaded.scenario, options);
  const std::error_code error = load::WriteRecordFile(record, arguments.out);
  if (error) {
    return Fail(arguments.out, error);
  }
  std::cout << load::SummaryAsTable(load::Summarize(record));
  return EXIT_SUCCESS;
}

int Summarize(const SummaryArguments& arguments) {
  const Result<load::RunRecord> record = load::ReadRecordFile(arguments.record);
  if (!record) {
    return Fail(arguments.record, record.error());
  }
  const load::RunSummary summary = load::Summarize(*record);
  std::cout << (arguments.json ? load::SummaryAsJson(summary) + "\n"
                               : load::SummaryAsTable(summary));
  return EXIT_SUCCESS;
}

int Report(const ReportArguments& arguments) {
  std::vector<std::string> files{arguments.record};
  if (!arguments.against.empty()) {
    files.push_back(arguments.against);
  }
  std::vector<load::RunRecord> records;
  for (const std::string& file : files) {
    Result<load::RunRecord> record = load::ReadRecordFile(file);
    if (!record) {
      return Fail(file, record.error());
    }
    records.push_back(std::move(*record));
  }
  const std::error_code error = load::DrawReport(records, arguments.out);
  return error ? Fail("report", error) : EXIT_SUCCESS;
}

int Experiment(const load::ExperimentOptions& options) {
  const load::ExperimentResult result = load::RunExperiment(options);
  std::cout << result.table;
  if (!result.status.ok()) {
    std::cerr << result.status.detail << std::endl;
    return kExitFailed;
  }
  return EXIT_SUCCESS;
}

// Returns the directory of this program, which also holds the programs that it starts.
std::string ProgramDirectory(const char* program) {
  const std::string path = program;
  const std::size_t slash = path.rfind('/');
  return slash == std::string::npos ? "." : path.substr(0, slash);
}

void AddRun(CLI::App* app, RunArguments* arguments) {
  CLI::App* run = app->add_subcommand("run", "Sends a scenario's requests and writes a record");
  run->add_option("--scenario", arguments->scenario, "Scenario file (TOML)")->required();
  run->add_option("--out", arguments->out, "Record to write (JSON lines)")->required();
  run->add_option("--nodes", arguments->nodes, "HTTP addresses of the nodes, ip:port,ip:port")
      ->delimiter(',')
      ->required();
  run->add_option("--admin", arguments->admin, "The emulator's admin address: faults and totals");
  run->add_option("--label", arguments->label, "Tells this run apart in tables and plots");
}

void AddSummary(CLI::App* app, SummaryArguments* arguments) {
  CLI::App* summary = app->add_subcommand("summary", "Figures of a record");
  summary->add_option("record", arguments->record, "Record")->required();
  summary->add_flag("--json", arguments->json, "JSON instead of a table");
}

void AddReport(CLI::App* app, ReportArguments* arguments) {
  CLI::App* report = app->add_subcommand("report", "Plots (SVG and PNG) of one or two records");
  report->add_option("record", arguments->record, "Record")->required();
  report->add_option("--against", arguments->against, "Second record, drawn beside the first");
  report->add_option("--out", arguments->out, "Directory to write to")->required();
}

void AddExperiment(CLI::App* app, load::ExperimentOptions* options) {
  CLI::App* experiment = app->add_subcommand(
      "experiment", "Runs a deployment's scenario once for each keep-warm policy");
  experiment
      ->add_option("--deployment", options->deployment,
                   "Directory with emulator.toml, node.toml, table.toml and scenario.toml")
      ->required();
  experiment->add_option("--out", options->directory, "Directory to write to")->required();
  experiment->add_option("--nodes-per-zone", options->nodes_per_zone, "Nodes in each zone")
      ->check(CLI::Range(1, 8));
  experiment->add_option("--modes", options->modes, "Keep-warm modes to run, in this order")
      ->delimiter(',');
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Load and experiments for hingespan.");
  app.require_subcommand(1);
  RunArguments run;
  SummaryArguments summary;
  ReportArguments report;
  load::ExperimentOptions experiment;
  experiment.program_directory = ProgramDirectory(argv[0]);
  AddRun(&app, &run);
  AddSummary(&app, &summary);
  AddReport(&app, &report);
  AddExperiment(&app, &experiment);
  CLI11_PARSE(app, argc, argv);
  if (app.got_subcommand("run")) {
    return Run(run);
  }
  if (app.got_subcommand("summary")) {
    return Summarize(summary);
  }
  if (app.got_subcommand("report")) {
    return Report(report);
  }
  return Experiment(experiment);
}
