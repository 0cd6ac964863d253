#include "load/scenario.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace hingespan::load {
namespace {

constexpr char kCompleteScenario[] = R"(
name = "rounds"
seed = 7
duration_ms = 1500
time_compression = 20
zones = [{name = "z1"}, {name = "z2"}]
node_settings = [{key = "keep_warm.shortest_idle_ms", value = "100"}]

[[classes]]
name = "deals"
rate_per_second = 2.5
repeatable = false
copies = 2
time_limit_ms = 4000
priority = 5
stream = false
max_tokens = 9
models = [{name = "table-", first = 8, last = 10, digits = 2, weight = 2.0}, {name = "rules"}]
bursts = [{at_ms = 500, requests = 6, spread_ms = 100, distinct_models = 2}]

[[faults]]
at_ms = 250
fault = "weight_store"
slowdown = 10.0
)";

TEST_CASE("a complete scenario is read") {
  const LoadedScenario loaded = ParseScenario(kCompleteScenario, "s.toml");
  REQUIRE_MESSAGE(loaded.findings.empty(), FormatFindings(loaded.findings));
  const Scenario& scenario = loaded.scenario;
  CHECK(scenario.seed == 7);
  CHECK(scenario.duration == absl::Milliseconds(1500));
  CHECK(scenario.zones == std::vector<std::string>{"z1", "z2"});
  REQUIRE(scenario.node_settings.size() == 1);
  CHECK(scenario.node_settings[0].value == "100");
  REQUIRE(scenario.classes.size() == 1);
  const RequestClass& deals = scenario.classes[0];
  CHECK_FALSE(deals.repeatable);
  CHECK(deals.copies == 2);
  CHECK(deals.time_limit == absl::Seconds(4));
  REQUIRE(deals.models.size() == 4);
  CHECK(deals.models[0].model == "table-08");
  CHECK(deals.models[2].model == "table-10");
  CHECK(deals.models[2].weight == 2.0);
  CHECK(deals.models[3].model == "rules");
  REQUIRE(deals.bursts.size() == 1);
  CHECK(deals.bursts[0].distinct_models == 2);
  REQUIRE(scenario.faults.size() == 1);
  CHECK(scenario.faults[0].at == absl::Milliseconds(250));
  CHECK(scenario.faults[0].json.find("at_ms") == std::string::npos);
  CHECK(scenario.faults[0].json.find("slowdown") != std::string::npos);
}

TEST_CASE("all findings are reported together, each with its place, key and what is allowed") {
  const LoadedScenario loaded = ParseScenario(R"(name = "bad"
duration_ms = "long"
[[classes]]
name = "a"
rate_per_second = -1
unknown = 3
models = [{name = "m", weight = 0}]
[[classes]]
name = "a"
rate_per_second = 1
copies = 2
[[faults]]
fault = "earthquake"
)",
                                              "bad.toml");
  const auto found = [&](const std::string& key, int line) {
    return std::any_of(loaded.findings.begin(), loaded.findings.end(), [&](const Finding& finding) {
      return finding.key == key && finding.place.line == line && finding.place.column > 0 &&
             finding.place.file == "bad.toml" && !finding.allowed.empty();
    });
  };
  CHECK(found("duration_ms", 2));
  CHECK(found("classes[0].rate_per_second", 5));
  CHECK(found("classes[0].unknown", 6));
  CHECK(found("classes[0].models[0].weight", 7));
  CHECK(found("classes[1].models", 8));
  CHECK(found("classes[1].copies", 11));
  CHECK(found("faults[0].fault", 13));
  CHECK(found("classes", 3));
}

TEST_CASE("invalid TOML is reported as one finding with its line") {
  const LoadedScenario loaded = ParseScenario("name = \"x\"\nseed = = 3\n", "bad.toml");
  REQUIRE(loaded.findings.size() == 1);
  CHECK(loaded.findings[0].place.line == 2);
}

TEST_CASE("a missing file is a finding") {
  CHECK(LoadScenario("/nonexistent/scenario.toml").findings.size() == 1);
}

}  // namespace
}  // namespace hingespan::load
