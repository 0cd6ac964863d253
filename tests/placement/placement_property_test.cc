// Runs grant managers, keepers and engines together over random schedules with every fault. I1 and
// I2 must hold after each step, and disabling any protection must cause a detected violation.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

#include "hingespan/common/random.h"
#include "tests/placement/test_world.h"
#include "tests/rapidcheck_seed.h"

namespace hingespan {
namespace {

constexpr std::size_t kSteps = 6000;
// Number of schedules within which a disabled protection must cause a violation.
constexpr std::uint64_t kMaximumSeeds = 400;

struct RunResult {
  std::string violation;
  int loads_applied = 0;
};

RunResult RunSchedule(const TestClusterOptions& options, std::uint64_t seed, bool settle) {
  TestCluster cluster(options);
  Random random(seed);
  for (std::size_t step = 0; step < kSteps; ++step) {
    cluster.Step(static_cast<std::uint32_t>(random.Next()));
    const std::string violation = cluster.Violation();
    if (!violation.empty()) {
      return {violation, cluster.loads_applied};
    }
  }
  if (settle) {
    cluster.Settle();
    return {cluster.Violation() + cluster.Unsettled(), cluster.loads_applied};
  }
  return {"", cluster.loads_applied};
}

// Finds the first seed whose schedule violates an invariant and checks the violation; fails if
// there is none.
void CheckFindsViolation(TestClusterOptions options, const std::string& rule) {
  options.check_records = false;
  for (std::uint64_t seed = 1; seed <= kMaximumSeeds; ++seed) {
    const RunResult result = RunSchedule(options, seed, false);
    if (!result.violation.empty()) {
      MESSAGE("violation found at seed " << seed << ": " << result.violation);
      CHECK(result.violation.find(rule) != std::string::npos);
      return;
    }
  }
  FAIL("no violation found");
}

}  // namespace

TEST_CASE("limits and memory hold over random schedules, and started operations complete") {
  int loads_applied = 0;
  const bool held = rc::check("I1 and I2 hold after each step", [&] {
    const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
    const RunResult result = RunSchedule(TestClusterOptions(), seed, true);
    loads_applied += result.loads_applied;
    RC_LOG() << "schedule seed " << seed << ": " << result.violation << "\n";
    RC_ASSERT(result.violation.empty());
  });
  CHECK(held);
  // The schedules must have applied loads at all.
  CHECK(loads_applied > 1000);
}

TEST_CASE("a grant manager that ignores the limit violates I1") {
  TestClusterOptions options;
  options.grant.disable_limit_for_test = true;
  CheckFindsViolation(options, "I1");
}

TEST_CASE("a keeper without fences violates I1") {
  TestClusterOptions options;
  options.keeper.disable_fence_for_test = true;
  CheckFindsViolation(options, "I1");
}

TEST_CASE("a keeper without the memory ledger violates I2") {
  TestClusterOptions options;
  options.keeper.disable_ledger_for_test = true;
  CheckFindsViolation(options, "I2");
}

}  // namespace hingespan
