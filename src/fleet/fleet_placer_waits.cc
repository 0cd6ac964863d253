// When models that requests wait for are expected, told before their loads can begin: callers that
// would wait in vain are then told when to come back.
#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "hingespan/fleet/fleet_placer.h"

namespace hingespan::gateway {
namespace {

// An expectation is told again when it has moved by this much, or after so long.
constexpr absl::Duration kToldChange = absl::Milliseconds(500);
constexpr absl::Duration kToldLifetime = absl::Seconds(1);
// How far back it counts that models waited for a worker with their copy.
constexpr absl::Duration kPressureWindow = absl::Seconds(6);
// Making room, and seeing that there is room, before a load begins.
constexpr absl::Duration kMakeRoom = absl::Milliseconds(500);

}  // namespace

void FleetPlacer::TellExpected(const std::string& model, absl::Time expected, absl::Time now) {
  ToldExpected& told = told_expected_[model];
  const absl::Duration moved =
      expected > told.expected ? expected - told.expected : told.expected - expected;
  if (moved < kToldChange && now - told.told < kToldLifetime) {
    return;
  }
  told = {expected, now};
  news_.push_back({"", model, "", ReplicaState::kLoading,
                   static_cast<int>(absl::ToInt64Milliseconds(expected - now))});
}

std::vector<absl::Time> FleetPlacer::StorePlacesFree(absl::Time now) const {
  std::vector<absl::Time> free;
  for (const auto& [id, ledger] : ledgers_) {
    if (!ledger.model_load.has_value()) {
      continue;
    }
    const auto load = ordered_loads_.find({id, ledger.model_load->key.model});
    if (load != ordered_loads_.end() && load->second.from_store) {
      free.push_back(std::max(now, ledger.model_load->expected));
    }
  }
  std::sort(free.begin(), free.end());
  const auto places =
      static_cast<std::size_t>(std::max(1.0, std::floor(weight_store_.estimate().limit)));
  if (free.size() < places) {
    free.insert(free.begin(), places - free.size(), now);
  }
  return free;
}

absl::Time FleetPlacer::ExpectedFromCopy(const Service& service, const ModelSpecification& model,
                                         const PlanContext& context) const {
  absl::Time expected = absl::InfiniteFuture();
  for (const auto& [id, ledger] : ledgers_) {
    const auto worker = context.workers->find(id);
    if (ledger.service != service.name || worker == context.workers->end() ||
        !context.usable.contains(id) || !HasCopy(model.name, worker->second.record)) {
      continue;
    }
    const absl::Time free = ledger.model_load.has_value()
                                ? std::max(context.now, ledger.model_load->expected)
                                : context.now;
    expected = std::min(expected, free + kMakeRoom + LoadTime(model, worker->second.record));
  }
  return expected;
}

double FleetPlacer::CopyPressure(absl::Time now) const {
  if (!settings_.policy.yield_to_copies || copy_pressure_updated_ == absl::InfinitePast()) {
    return 0;
  }
  const double kept = std::exp(-absl::FDivDuration(now - copy_pressure_updated_, kPressureWindow));
  return copy_pressure_ * kept + (copy_waits_ ? 1 - kept : 0);
}

void FleetPlacer::NoteCopyPressure(const std::vector<Wish>& waiting, const PlanContext& context) {
  copy_pressure_ = CopyPressure(context.now);
  copy_pressure_updated_ = context.now;
  copy_waits_ = std::any_of(waiting.begin(), waiting.end(), [&](const Wish& wish) {
    return std::any_of(context.workers->begin(), context.workers->end(), [&](const auto& worker) {
      return context.usable.contains(worker.first) &&
             HasCopy(wish.model->name, worker.second.record);
    });
  });
}

void FleetPlacer::TellExpectedLoads(const Service& service, const std::vector<Wish>& waiting,
                                    const PlanContext& context) {
  if (waiting.empty() || !settings_.policy.tell_expected_loads) {
    return;
  }
  const std::vector<absl::Time> places = StorePlacesFree(context.now);
  std::size_t queued = 0;
  for (const Wish& wish : waiting) {
    absl::Time expected = ExpectedFromCopy(service, *wish.model, context);
    if (expected == absl::InfiniteFuture()) {
      const double rounds = std::floor(static_cast<double>(queued) / places.size());
      expected = places[queued % places.size()] + kMakeRoom + (rounds + 1) * wish.model->load_time;
      ++queued;
    }
    TellExpected(wish.model->name, expected, context.now);
  }
}

}  // namespace hingespan::gateway
