// Plan of the faults that a soak run injects, with their times. It depends on the seed alone.
#ifndef TESTS_SOAK_FAULT_PLAN_H_
#define TESTS_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::soak {

enum class FaultKind {
  // Faults of a gateway process. A killed or stopped process is restarted.
  kGatewayKill,
  kGatewayKillAll,
  kGatewayPause,
  kGatewayStop,
  kGatewayReload,
  // Faults of the link between one gateway and the store.
  kStoreLinkDelay,
  kStoreLinkReset,
  kStoreLinkCutTowards,
  kStoreLinkCutFrom,
  kStoreLinkSilent,
  // Faults of the store itself.
  kStoreUnavailable,
  kStoreSilent,
  kStoreLosesAnswers,
  kStoreActsLate,
  kStoreForgetsHistory,
  // Faults of one worker.
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
  // The last kind that MakeFaultPlan draws; the kinds below occur only in a series.
  kWorkerSilent,
  // Sends SIGTERM, also to a gateway that is already stopping.
  kGatewayStopAgain,
  // Sends SIGTERM as soon as the gateway has started the next time.
  kGatewayStopFresh,
  kGatewayStopAll,
  kConfigurationChange,
  // Faults of all workers of a service.
  kWorkersShed,
  kWorkersLoseAnswers,
  kWorkersBreakStreams,
  // A sound worker sends nothing for a while. This is no disruption.
  kWorkerFallsSilent,
  // The process of a worker is paused. The last kind of all.
  kWorkerPause,
};

struct PlannedFault {
  FaultKind kind = FaultKind::kGatewayKill;
  absl::Duration at;
  absl::Duration duration;
  // Index of the gateway or worker, modulo their number.
  std::uint32_t target = 0;
};

struct FaultPlanOptions {
  std::uint64_t seed = 0;
  // Faults begin and end within this time.
  absl::Duration length = absl::Seconds(20);
  // Mean time between the beginnings of two faults.
  absl::Duration mean_gap = absl::Milliseconds(1200);
};

struct SeriesPlanOptions {
  std::uint64_t seed = 0;
  absl::Duration length = absl::Seconds(20);
  std::uint32_t gateways = 4;
  // True if the series also kill gateways and let workers fail.
  bool unplanned = false;
};

const char* FaultName(FaultKind kind);
// Returns single faults, sorted by `at`.
std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options);
// Returns rolling restarts, repeated signals and rapid configuration changes that overlap, sorted
// by `at`.
std::vector<PlannedFault> MakeSeriesPlan(const SeriesPlanOptions& options);
// Returns faults that break streams off, mostly of workers and with the store in order, sorted by
// `at`.
std::vector<PlannedFault> MakeStreamPlan(const FaultPlanOptions& options);
// Returns silences of sound workers, one or several at a time, that don't overlap; sorted by `at`.
// Its draws are independent of those of the other plans.
std::vector<PlannedFault> MakeSilencePlan(const FaultPlanOptions& options);
// Returns pauses of one or more workers' processes that may overlap, sorted by `at`.
std::vector<PlannedFault> MakePausePlan(const FaultPlanOptions& options);
// Returns kills and stops of gateways and outages of the store, sorted by `at`, none before
// `begin`.
std::vector<PlannedFault> MakePromptPlan(const FaultPlanOptions& options, absl::Duration begin);
// Returns the faults of both plans, sorted by `at`.
std::vector<PlannedFault> MergePlans(std::vector<PlannedFault> left,
                                     const std::vector<PlannedFault>& right);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_FAULT_PLAN_H_
