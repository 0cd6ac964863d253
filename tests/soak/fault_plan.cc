#include "tests/soak/fault_plan.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace hingespan::soak {
namespace {

constexpr int kKinds = static_cast<int>(FaultKind::kWorkerPause) + 1;
constexpr int kDrawnKinds = static_cast<int>(FaultKind::kWorkerSilent) + 1;
constexpr double kMinSeconds = 0.3;
constexpr double kMaxSeconds = 5.0;
// XORed into the seed, so that the draws are independent of those of the times.
constexpr std::uint64_t kStreamSeedMask = 0x57e3a5;
constexpr std::uint64_t kSilenceSeedMask = 0x511e9ce;
constexpr std::uint64_t kPromptSeedMask = 0x9a0b7;
// Callers of the soak's routes wait 2.4 s for an event: 4 times the target latency, 8 times the
// gap target.
constexpr double kMinSilenceSeconds = 0.5;
constexpr double kMaxSilenceSeconds = 1.8;
constexpr std::uint64_t kPauseSeedMask = 0x9a05e;
constexpr double kMinPauseSeconds = 1;
constexpr double kMaxPauseSeconds = 9;
constexpr double kMaxSecondsBetweenPauses = 6;
constexpr std::uint32_t kMaxPausedAtOnce = 4;
constexpr double kMinSoundSeconds = 0.3;
constexpr double kMaxSoundSeconds = 2.5;
// More workers than a run with a few gateways has, for silences of all of them.
constexpr std::uint32_t kMoreThanAll = 16;
constexpr absl::Duration kMaxServiceFault = absl::Milliseconds(600);

}  // namespace

const char* FaultName(FaultKind kind) {
  static constexpr const char* kNames[kKinds] = {"gateway_kill",          "gateway_kill_all",
                                                 "gateway_pause",         "gateway_stop",
                                                 "gateway_reload",        "store_link_delay",
                                                 "store_link_reset",      "store_link_cut_towards",
                                                 "store_link_cut_from",   "store_link_silent",
                                                 "store_unavailable",     "store_silent",
                                                 "store_loses_answers",   "store_acts_late",
                                                 "store_forgets_history", "worker_link_delay",
                                                 "worker_link_reset",     "worker_link_silent",
                                                 "worker_fails",          "worker_sheds",
                                                 "worker_loses_answers",  "worker_mixes_answers",
                                                 "worker_breaks_streams", "worker_crash",
                                                 "worker_leaves",         "worker_silent",
                                                 "gateway_stop_again",    "gateway_stop_fresh",
                                                 "gateway_stop_all",      "configuration_change",
                                                 "workers_shed",          "workers_lose_answers",
                                                 "workers_break_streams", "worker_falls_silent",
                                                 "worker_pause"};
  return kNames[static_cast<int>(kind)];
}

std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options) {
  std::mt19937_64 random(options.seed);
  // The distributions of the standard library differ between implementations; a seed must give the
  // same plan with each.
  const auto fraction = [&random] { return static_cast<double>(random() >> 11) * 0x1.0p-53; };
  std::vector<PlannedFault> plan;
  absl::Duration at = absl::ZeroDuration();
  while (true) {
    at += options.mean_gap * (0.2 + 1.6 * fraction());
    if (at >= options.length) {
      return plan;
    }
    PlannedFault fault;
    fault.kind = static_cast<FaultKind>(random() % kDrawnKinds);
    fault.at = at;
    const double part = fraction();
    fault.duration = absl::Seconds(kMinSeconds + (kMaxSeconds - kMinSeconds) * part * part);
    fault.duration = std::min(fault.duration, options.length - at);
    fault.target = static_cast<std::uint32_t>(random() >> 32);
    plan.push_back(fault);
  }
}

std::vector<PlannedFault> MakeStreamPlan(const FaultPlanOptions& options) {
  static constexpr FaultKind kKinds[] = {
      FaultKind::kWorkerBreaksStreams, FaultKind::kWorkerBreaksStreams,
      FaultKind::kWorkerBreaksStreams, FaultKind::kWorkersBreakStreams,
      FaultKind::kWorkerCrash,         FaultKind::kGatewayKill};
  // Targets of kWorkersBreakStreams: odd ones stand for the model service.
  constexpr std::uint32_t kModelService = 1;
  std::vector<PlannedFault> plan = MakeFaultPlan(options);
  std::mt19937_64 random(options.seed ^ kStreamSeedMask);
  for (PlannedFault& fault : plan) {
    fault.kind = kKinds[random() % std::size(kKinds)];
    if (fault.kind == FaultKind::kWorkersBreakStreams) {
      fault.target = kModelService;
      fault.duration = std::min(fault.duration, kMaxServiceFault);
    }
  }
  return plan;
}

std::vector<PlannedFault> MakeSilencePlan(const FaultPlanOptions& options) {
  std::mt19937_64 random(options.seed ^ kSilenceSeedMask);
  const auto between = [&random](double least, double most) {
    return least + (most - least) * static_cast<double>(random() >> 11) * 0x1.0p-53;
  };
  std::vector<PlannedFault> plan;
  double at = between(kMinSoundSeconds, kMaxSoundSeconds);
  while (true) {
    const double seconds = between(kMinSilenceSeconds, kMaxSilenceSeconds);
    static constexpr std::uint32_t kAtOnce[] = {1, 3, kMoreThanAll, kMoreThanAll};
    const std::uint32_t count = kAtOnce[random() % std::size(kAtOnce)];
    const auto target = static_cast<std::uint32_t>(random() >> 40);
    if (absl::Seconds(at + seconds) >= options.length) {
      return plan;
    }
    for (std::uint32_t each = 0; each < count; ++each) {
      plan.push_back({FaultKind::kWorkerFallsSilent, absl::Seconds(at), absl::Seconds(seconds),
                      target + each});
    }
    // A worker is never silent for longer than the longest silence.
    at += seconds + between(kMinSoundSeconds, kMaxSoundSeconds);
  }
}

std::vector<PlannedFault> MakePausePlan(const FaultPlanOptions& options) {
  std::mt19937_64 random(options.seed ^ kPauseSeedMask);
  const auto between = [&random](double least, double most) {
    return least + (most - least) * static_cast<double>(random() >> 11) * 0x1.0p-53;
  };
  std::vector<PlannedFault> plan;
  absl::Duration at = absl::ZeroDuration();
  while (true) {
    at += absl::Seconds(between(0, kMaxSecondsBetweenPauses));
    if (at >= options.length) {
      return plan;
    }
    const absl::Duration duration =
        std::min(absl::Seconds(between(kMinPauseSeconds, kMaxPauseSeconds)), options.length - at);
    const std::uint32_t count = 1 + static_cast<std::uint32_t>(random() % kMaxPausedAtOnce);
    const auto target = static_cast<std::uint32_t>(random() >> 40);
    for (std::uint32_t each = 0; each < count; ++each) {
      plan.push_back({FaultKind::kWorkerPause, at, duration, target + each});
    }
  }
}

std::vector<PlannedFault> MakePromptPlan(const FaultPlanOptions& options, absl::Duration begin) {
  static constexpr FaultKind kKinds[] = {FaultKind::kGatewayKill, FaultKind::kGatewayKill,
                                         FaultKind::kGatewayStop, FaultKind::kGatewayStop,
                                         FaultKind::kStoreUnavailable};
  std::vector<PlannedFault> plan = MakeFaultPlan(options);
  std::erase_if(plan, [begin](const PlannedFault& fault) { return fault.at < begin; });
  std::mt19937_64 random(options.seed ^ kPromptSeedMask);
  for (PlannedFault& fault : plan) {
    fault.kind = kKinds[random() % std::size(kKinds)];
  }
  return plan;
}

}  // namespace hingespan::soak
