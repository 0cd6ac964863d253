// Which faults a run of the soak injects, and when; all of it follows from the seed.
#ifndef TESTS_SOAK_FAULT_PLAN_H_
#define TESTS_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::soak {

enum class FaultKind {
  // Of a gateway's process. A killed or stopped one is started again.
  kGatewayKill,
  kGatewayKillAll,
  kGatewayPause,
  kGatewayStop,
  kGatewayReload,
  // Of the link between one gateway and the store.
  kStoreLinkDelay,
  kStoreLinkReset,
  kStoreLinkCutTowards,
  kStoreLinkCutFrom,
  kStoreLinkSilent,
  // Of the store itself.
  kStoreUnavailable,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreActsLate,
  kStoreForgetsHistory,
  // Of one worker.
  kWorkerLinkDelay,
  kWorkerLinkReset,
  kWorkerLinkSilent,
  kWorkerFails,
  kWorkerSheds,
  kWorkerLosesAnswers,
  kWorkerMixesAnswers,
  kWorkerBreaksStreams,
  kWorkerCrash,
  kWorkerLeaves,
  // The last one that is drawn by itself.
  kWorkerSilent,
  // Steps of a series. SIGTERM, also to a gateway that is stopping.
  kGatewayStopAgain,
  // SIGTERM as soon as the gateway has been started the next time.
  kGatewayStopFresh,
  kGatewayStopAll,
  kConfigurationChange,
  // Of all workers of a service.
  kWorkersShed,
  kWorkersLoseAnswers,
  // The last one.
  kWorkersBreakStreams,
};

struct PlannedFault {
  FaultKind kind = FaultKind::kGatewayKill;
  absl::Duration at;
  absl::Duration duration;
  // Which gateway or worker, counted round.
  std::uint32_t target = 0;
};

struct FaultPlanOptions {
  std::uint64_t seed = 0;
  // Faults begin and end within this.
  absl::Duration length = absl::Seconds(20);
  // Mean time between the beginnings of two faults.
  absl::Duration mean_gap = absl::Milliseconds(1200);
};

struct SeriesPlanOptions {
  std::uint64_t seed = 0;
  absl::Duration length = absl::Seconds(20);
  std::uint32_t gateways = 4;
  // Kills and failing workers too.
  bool unplanned = false;
};

const char* FaultName(FaultKind kind);
// In order of `at`.
std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options);
// Rolling restarts, repeated signals and quick changes, one over the other. In order of `at`.
std::vector<PlannedFault> MakeSeriesPlan(const SeriesPlanOptions& options);
// Both, in order of `at`.
std::vector<PlannedFault> Merged(std::vector<PlannedFault> left,
                                 const std::vector<PlannedFault>& right);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_FAULT_PLAN_H_
