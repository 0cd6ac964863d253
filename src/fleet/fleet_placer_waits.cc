// Announces when models that requests wait for are expected, before their loads can begin. Callers
// whose wait would be in vain are then told when to retry.
#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "hingespan/fleet/fleet_placer.h"

namespace hingespan::gateway {
namespace {

// An expectation is announced again when it has moved by this much, or after this time.
constexpr absl::Duration kMinAnnouncedChange = absl::Milliseconds(500);
constexpr absl::Duration kAnnouncementLifetime = absl::Seconds(1);
// Time constant of the moving average of copy pressure.
constexpr absl::Duration kPressureWindow = absl::Seconds(6);
// Time to make room, and to observe that there is room, before a load begins.
constexpr absl::Duration kMakeRoomTime = absl::Milliseconds(500);

}  // namespace

void FleetPlacer::AnnounceExpected(const std::string& model, const std::string& worker_id,
                                   absl::Time expected, absl::Time now) {
  AnnouncedExpectation& announced = announced_expectations_[model];
  const absl::Duration moved =
      expected > announced.expected ? expected - announced.expected : announced.expected - expected;
  if (moved < kMinAnnouncedChange && now - announced.announced_at < kAnnouncementLifetime) {
    return;
  }
  announced = {expected, now};
  updates_.push_back({worker_id, model, "", ReplicaState::kLoading,
                      static_cast<int>(absl::ToInt64Milliseconds(expected - now))});
}

std::vector<absl::Time> FleetPlacer::StoreSlotFreeTimes(absl::Time now) const {
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
  const auto slots =
      static_cast<std::size_t>(std::max(1.0, std::floor(weight_store_.estimate().limit)));
  if (free.size() < slots) {
    free.insert(free.begin(), slots - free.size(), now);
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
    expected = std::min(expected, free + kMakeRoomTime + LoadTime(model, worker->second.record));
  }
  return expected;
}

double FleetPlacer::CopyPressure(absl::Time now) const {
  if (!settings_.policy.yield_to_copies || copy_pressure_updated_ == absl::InfinitePast()) {
    return 0;
  }
  const double decay = std::exp(-absl::FDivDuration(now - copy_pressure_updated_, kPressureWindow));
  return copy_pressure_ * decay + (copy_waits_ ? 1 - decay : 0);
}

void FleetPlacer::NoteCopyPressure(const std::vector<ReplicaCandidate>& waiting,
                                   const PlanContext& context) {
  copy_pressure_ = CopyPressure(context.now);
  copy_pressure_updated_ = context.now;
  copy_waits_ = std::any_of(waiting.begin(), waiting.end(), [&](const ReplicaCandidate& candidate) {
    return std::any_of(context.workers->begin(), context.workers->end(), [&](const auto& worker) {
      return context.usable.contains(worker.first) &&
             HasCopy(candidate.model->name, worker.second.record);
    });
  });
}

void FleetPlacer::AnnounceExpectedLoads(const Service& service,
                                        const std::vector<ReplicaCandidate>& waiting,
                                        const PlanContext& context) {
  if (waiting.empty() || !settings_.policy.tell_expected_loads) {
    return;
  }
  const std::vector<absl::Time> slots = StoreSlotFreeTimes(context.now);
  std::size_t queued = 0;
  for (const ReplicaCandidate& candidate : waiting) {
    absl::Time expected = ExpectedFromCopy(service, *candidate.model, context);
    if (expected == absl::InfiniteFuture()) {
      const double rounds = std::floor(static_cast<double>(queued) / slots.size());
      expected =
          slots[queued % slots.size()] + kMakeRoomTime + (rounds + 1) * candidate.model->load_time;
      ++queued;
    }
    AnnounceExpected(candidate.model->name, "", expected, context.now);
  }
}

}  // namespace hingespan::gateway
