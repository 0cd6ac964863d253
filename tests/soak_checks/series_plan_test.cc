// Tests that series plans depend on their seed alone and contain only planned work where they must.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "tests/soak/fault_plan.h"

namespace hingespan::soak {
namespace {

bool IsPlanned(FaultKind kind) {
  static const std::set<FaultKind> planned = {
      FaultKind::kGatewayReload, FaultKind::kGatewayStopAgain, FaultKind::kGatewayStopFresh,
      FaultKind::kGatewayStopAll, FaultKind::kConfigurationChange};
  return planned.contains(kind);
}

std::set<FaultKind> KindsOf(bool unplanned) {
  std::set<FaultKind> kinds;
  SeriesPlanOptions options;
  options.unplanned = unplanned;
  for (options.seed = 0; options.seed < 40; ++options.seed) {
    for (const PlannedFault& fault : MakeSeriesPlan(options)) {
      kinds.insert(fault.kind);
    }
  }
  return kinds;
}

TEST_CASE("a series plan follows from its seed, is in order and ends in time") {
  SeriesPlanOptions options;
  options.seed = 9;
  options.unplanned = true;
  const std::vector<PlannedFault> plan = MakeSeriesPlan(options);
  const std::vector<PlannedFault> again = MakeSeriesPlan(options);
  REQUIRE(plan.size() == again.size());
  REQUIRE(plan.size() > 10);
  absl::Duration last = absl::ZeroDuration();
  for (std::size_t index = 0; index < plan.size(); ++index) {
    CHECK(plan[index].kind == again[index].kind);
    CHECK(plan[index].at == again[index].at);
    CHECK(plan[index].target == again[index].target);
    CHECK(plan[index].at >= last);
    CHECK(plan[index].at + plan[index].duration <= options.length);
    last = plan[index].at;
  }
}

TEST_CASE("series of planned work hold nothing else, the others all there is") {
  const std::set<FaultKind> planned = KindsOf(false);
  CHECK(planned.size() == 5);
  CHECK(std::all_of(planned.begin(), planned.end(), IsPlanned));
  const std::set<FaultKind> all = KindsOf(true);
  for (const FaultKind kind :
       {FaultKind::kGatewayKill, FaultKind::kWorkersShed, FaultKind::kWorkersLoseAnswers,
        FaultKind::kWorkersBreakStreams, FaultKind::kGatewayStopAll}) {
    CHECK(all.contains(kind));
  }
}

TEST_CASE("merged plans hold the faults of both in order") {
  FaultPlanOptions options;
  options.seed = 3;
  const std::vector<PlannedFault> single = MakeFaultPlan(options);
  const std::vector<PlannedFault> series = MakeSeriesPlan({3, options.length, 4, true});
  const std::vector<PlannedFault> both = MergePlans(single, series);
  CHECK(both.size() == single.size() + series.size());
  CHECK(std::is_sorted(both.begin(), both.end(),
                       [](const auto& left, const auto& right) { return left.at < right.at; }));
}

}  // namespace
}  // namespace hingespan::soak
