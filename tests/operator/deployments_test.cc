// Checks that the files under deployments/ are valid and have the sizes that their users need.
#include <doctest/doctest.h>

#include <set>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hingespan/operator/sheet.h"
#include "hingespan/operator/sheet_edit.h"
#include "hingespan/settings/node_settings.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan {
namespace {

constexpr std::uint64_t kLargestWorkerMib = 81920;

struct Deployment {
  std::string name;
  std::vector<ZoneId> zones;
  int models = 0;
  int adapters = 0;
  // Total memory of all workers.
  std::uint64_t workers_mib = 0;
};

const std::vector<Deployment>& Deployments() {
  static const auto* const deployments = new std::vector<Deployment>{
      {"corail",
       {ZoneId("z-north-1"), ZoneId("z-north-2"), ZoneId("z-north-3")},
       50,
       60,
       9 * 81920 + 3 * 40960},
      {"constanta",
       {ZoneId("z-port-1"), ZoneId("z-port-2"), ZoneId("z-port-3"), ZoneId("z-port-4")},
       65,
       80,
       12 * 81920 + 4 * 40960}};
  return *deployments;
}

std::string FileOf(const Deployment& deployment, const std::string& file) {
  return absl::StrCat(HINGESPAN_SOURCE_DIRECTORY, "/deployments/", deployment.name, "/", file);
}

Sheet TableOf(const Deployment& deployment) {
  const std::string file = FileOf(deployment, "table.toml");
  const Result<std::string> text = ReadTextFile(file);
  REQUIRE(text.ok());
  return DecodeSheet(*text, file, SheetFormat::kToml);
}

LoadedNodeSettings NodeOf(const Deployment& deployment) {
  return LoadNodeSettings(FileOf(deployment, "node.toml"),
                          {{"node.name", "n1"},
                           {"node.zone", deployment.zones[0].value()},
                           {"http.listen", "127.0.0.1:0"},
                           {"control.listen", "127.0.0.1:0"},
                           {"platform.address", "127.0.0.1:8080"}});
}

TEST_CASE("the nodes' settings have no findings and name the zones") {
  for (const Deployment& deployment : Deployments()) {
    const LoadedNodeSettings loaded = NodeOf(deployment);
    CHECK(FormatFindings(loaded.findings) == "");
    CHECK(loaded.settings.core.zones == deployment.zones);
  }
}

TEST_CASE("the emulators' settings are valid TOML") {
  for (const Deployment& deployment : Deployments()) {
    const std::string file = FileOf(deployment, "emulator.toml");
    const Result<std::string> text = ReadTextFile(file);
    REQUIRE(text.ok());
    CHECK(FormatFindings(ParseToml(*text, file).findings) == "");
  }
}

TEST_CASE("the tables have no findings, and their weights name zones of the deployment") {
  for (const Deployment& deployment : Deployments()) {
    const Sheet sheet = TableOf(deployment);
    const SheetPlan plan = PlanSheet(sheet, {}, {}, MissingRows::kKeep);
    CHECK(FormatFindings(plan.findings) == "");
    CHECK(plan.edits.size() == sheet.rows.size());
    const std::set<ZoneId> zones(deployment.zones.begin(), deployment.zones.end());
    for (const SheetRow& row : sheet.rows) {
      for (const auto& [zone, weight] : row.row.weights) {
        CHECK(zones.contains(zone));
      }
    }
  }
}

TEST_CASE(
    "the tables have the users' sizes, and the models need more memory than the workers have") {
  for (const Deployment& deployment : Deployments()) {
    int models = 0;
    int adapters = 0;
    std::uint64_t models_mib = 0;
    for (const SheetRow& row : TableOf(deployment).rows) {
      models += row.row.kind == RowKind::kModel ? 1 : 0;
      adapters += row.row.kind == RowKind::kAdapter ? 1 : 0;
      models_mib += row.row.kind == RowKind::kModel ? row.row.memory_mib : 0;
      CHECK(row.row.memory_mib <= kLargestWorkerMib);
    }
    CHECK(models == deployment.models);
    CHECK(adapters == deployment.adapters);
    CHECK(models_mib > deployment.workers_mib);
  }
}

TEST_CASE("Corail weighs cold starts higher against idle memory than Constanta") {
  const KeepWarmOptions corail = NodeOf(Deployments()[0]).settings.core.keeper.keep_warm;
  const KeepWarmOptions constanta = NodeOf(Deployments()[1]).settings.core.keeper.keep_warm;
  CHECK(corail.cold_start_cost_per_second / corail.idle_cost_per_gib_second >
        constanta.cold_start_cost_per_second / constanta.idle_cost_per_gib_second);
}

}  // namespace
}  // namespace hingespan
