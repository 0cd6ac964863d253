#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "tests/soak/fault_plan.h"

namespace hingespan::soak {
namespace {

// XORed into the seed, so that the draws are independent of those of the single faults.
constexpr std::uint64_t kSeedMask = 0x5e21e5;
constexpr double kMaxSecondsBetweenSeries = 3;
constexpr int kMaxRounds = 3;
// Least time between the beginnings of two rounds; a gateway has then restarted or is still
// stopping.
constexpr double kRoundSeconds = 3.8;
constexpr double kMinRollSeconds = 0.05;
constexpr double kMaxRollSeconds = 0.5;
// Longest time of a round, also with many gateways.
constexpr double kMaxRoundSeconds = 6;

class SeriesMaker {
 public:
  explicit SeriesMaker(const SeriesPlanOptions& options)
      : options_(options), random_(options.seed ^ kSeedMask) {}

  std::vector<PlannedFault> Make() {
    double at = 0.2;
    while (absl::Seconds(at) < options_.length) {
      MakeOne(at);
      at += kMaxSecondsBetweenSeries * Fraction();
    }
    std::stable_sort(plan_.begin(), plan_.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return std::move(plan_);
  }

 private:
  double Fraction() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  double Between(double least, double most) { return least + (most - least) * Fraction(); }
  std::uint32_t Gateway() { return static_cast<std::uint32_t>(random_() % options_.gateways); }

  void Add(FaultKind kind, double at, std::uint32_t target, double seconds = 0) {
    const absl::Duration begin = absl::Seconds(at);
    if (begin < options_.length) {
      const absl::Duration length = std::min(absl::Seconds(seconds), options_.length - begin);
      plan_.push_back({kind, begin, length, target});
    }
  }

  void MakeOne(double at) {
    using Series = void (SeriesMaker::*)(double);
    static constexpr Series kPlanned[] = {&SeriesMaker::Roll,           &SeriesMaker::Roll,
                                          &SeriesMaker::StopTwice,      &SeriesMaker::ReloadInStop,
                                          &SeriesMaker::Changes,        &SeriesMaker::RollInChanges,
                                          &SeriesMaker::StopAfterStart, &SeriesMaker::StopAll};
    static constexpr Series kUnplanned[] = {&SeriesMaker::KillsInRoll, &SeriesMaker::FailuresInRoll,
                                            &SeriesMaker::FailuresInKills};
    const bool unplanned = options_.unplanned && Fraction() < 0.4;
    const Series series = unplanned ? kUnplanned[random_() % std::size(kUnplanned)]
                                    : kPlanned[random_() % std::size(kPlanned)];
    (this->*series)(at);
  }

  // Adds the fault once for each gateway and returns how long that takes.
  double Round(FaultKind kind, double at) {
    const double gap =
        std::min(Between(kMinRollSeconds, kMaxRollSeconds), kMaxRoundSeconds / options_.gateways);
    std::uint32_t gateway = Gateway();
    for (std::uint32_t count = 0; count < options_.gateways; ++count) {
      Add(kind, at + gap * count, gateway);
      gateway = (gateway + 1) % options_.gateways;
    }
    return gap * options_.gateways;
  }

  void Roll(double at) {
    const int rounds = 1 + static_cast<int>(random_() % kMaxRounds);
    for (int round = 0; round < rounds; ++round) {
      at += std::max(kRoundSeconds, Round(FaultKind::kGatewayStopAgain, at));
    }
  }

  void StopTwice(double at) {
    const std::uint32_t gateway = Gateway();
    Add(FaultKind::kGatewayStopAgain, at, gateway);
    Add(FaultKind::kGatewayStopAgain, at + Between(0.01, 3), gateway);
  }

  void ReloadInStop(double at) {
    const std::uint32_t gateway = Gateway();
    Add(FaultKind::kGatewayStopAgain, at, gateway);
    for (int count = 0; count < 3; ++count) {
      Add(FaultKind::kGatewayReload, at + Between(0, 3), gateway);
    }
  }

  void Changes(double at) {
    const int changes = 3 + static_cast<int>(random_() % 4);
    for (int count = 0; count < changes; ++count) {
      Add(FaultKind::kConfigurationChange, at, 0);
      at += Between(0.02, 0.3);
    }
  }

  void RollInChanges(double at) {
    Round(FaultKind::kGatewayStopAgain, at);
    Changes(at + Between(0, 1));
    Round(FaultKind::kGatewayReload, at + Between(0, 2));
  }

  void StopAfterStart(double at) {
    const std::uint32_t gateway = Gateway();
    Add(FaultKind::kGatewayStopFresh, at, gateway);
    Add(FaultKind::kGatewayStopAgain, at, gateway);
  }

  void StopAll(double at) { Add(FaultKind::kGatewayStopAll, at, 0); }

  void KillsInRoll(double at) {
    const double length = Round(FaultKind::kGatewayStopAgain, at);
    for (int count = 0; count < 2; ++count) {
      Add(FaultKind::kGatewayKill, at + Between(0, std::max(length, 1.0)), Gateway());
    }
  }

  void WorkersFail(double at) {
    static constexpr FaultKind kKinds[] = {FaultKind::kWorkersShed, FaultKind::kWorkersLoseAnswers,
                                           FaultKind::kWorkersBreakStreams};
    const FaultKind kind = kKinds[random_() % std::size(kKinds)];
    Add(kind, at, static_cast<std::uint32_t>(random_() >> 32), Between(2, 8));
  }

  void FailuresInRoll(double at) {
    WorkersFail(at);
    Roll(at + Between(0, 2));
  }

  void FailuresInKills(double at) {
    WorkersFail(at);
    for (int round = 0; round < kMaxRounds; ++round) {
      at += Between(0.5, 2);
      Round(FaultKind::kGatewayKill, at);
    }
  }

  SeriesPlanOptions options_;
  std::mt19937_64 random_;
  std::vector<PlannedFault> plan_;
};

}  // namespace

std::vector<PlannedFault> MakeSeriesPlan(const SeriesPlanOptions& options) {
  return SeriesMaker(options).Make();
}

std::vector<PlannedFault> MergePlans(std::vector<PlannedFault> left,
                                     const std::vector<PlannedFault>& right) {
  left.insert(left.end(), right.begin(), right.end());
  std::stable_sort(left.begin(), left.end(),
                   [](const auto& one, const auto& other) { return one.at < other.at; });
  return left;
}

}  // namespace hingespan::soak
