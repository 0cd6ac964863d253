// Checks that the deployments' scenario files match their tables and the limits of a run.
#include <doctest/doctest.h>
#include <toml++/toml.h>

#include <string>

#include "load/scenario.h"
#include "load/schedule.h"

namespace hingespan::load {
namespace {

void CheckDeployment(const std::string& name) {
  const std::string directory = std::string(HINGESPAN_SOURCE_DIRECTORY) + "/deployments/" + name;
  const LoadedScenario loaded = LoadScenario(directory + "/scenario.toml");
  REQUIRE_MESSAGE(loaded.findings.empty(), FormatFindings(loaded.findings));
  const toml::table rows = toml::parse_file(directory + "/table.toml");
  for (const RequestClass& request_class : loaded.scenario.classes) {
    for (const WeightedModel& model : request_class.models) {
      CHECK_MESSAGE(rows.contains(model.model), model.model);
    }
  }
  CHECK(loaded.scenario.duration >= absl::Seconds(60));
  CHECK(loaded.scenario.duration <= absl::Seconds(90));
  CHECK_FALSE(loaded.scenario.zones.empty());
  CHECK(BuildSchedule(loaded.scenario).size() > 500);
}

TEST_CASE("Corail's scenario matches its table") { CheckDeployment("corail"); }

TEST_CASE("Constanta's scenario matches its table") { CheckDeployment("constanta"); }

}  // namespace
}  // namespace hingespan::load
