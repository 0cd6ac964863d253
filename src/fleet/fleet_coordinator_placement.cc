// The coordinator's duties as lease holder: sends orders and replica updates.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/fleet/fleet_coordinator.h"

namespace hingespan::gateway {
namespace {

// Lifetime of an update; by then the worker's own record should show the change.
constexpr absl::Duration kUpdateLifetime = absl::Seconds(3);
constexpr absl::Duration kExpectedSlack = absl::Seconds(3);
// Maximum number of replicas in one datagram.
constexpr std::size_t kMaxReplicasPerUpdate = 40;
absl::string_view OutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kConflict:
      return "conflict";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kUnknown:
      return "no_answer";
  }
  return "no_answer";
}

}  // namespace

absl::Duration FleetCoordinator::LoadUpdateInterval() const {
  return settings_.load_update_interval +
         settings_.load_update_interval_per_node * static_cast<double>(peers_.size());
}

std::map<std::string, PeersLoad> FleetCoordinator::OwnPart(const PlacementUpdate& update) const {
  if (own_reports_.empty()) {
    return {};
  }
  const std::map<std::string, PeersLoad>& newest = own_reports_.rbegin()->second;
  if (!update.reports.has_value()) {
    return newest;
  }
  const auto included = update.reports->find(settings_.node);
  if (included == update.reports->end()) {
    return {};
  }
  const auto report = own_reports_.find(included->second);
  return report == own_reports_.end() ? newest : report->second;
}

void FleetCoordinator::ApplyUpdate(const PlacementUpdate& update) {
  const absl::Time now = parts_.loop->Now();
  for (const ReplicaUpdate& replica : update.replicas) {
    const ModelKey key{replica.model, replica.adapter};
    const WorkerState* const worker = parts_.workers->Find(replica.worker_id);
    const std::string version = worker == nullptr ? std::string() : worker->record.software_version;
    switch (replica.state) {
      case ReplicaState::kReady:
        parts_.workers->NoteReplica(replica.worker_id, key, true, now + kUpdateLifetime);
        expected_ready_.erase({key, std::string()});
        expected_ready_.erase({key, version});
        break;
      case ReplicaState::kLeaving:
        parts_.workers->NoteReplica(replica.worker_id, key, false, now + kUpdateLifetime);
        break;
      case ReplicaState::kLoading:
        expected_ready_[{key, std::string()}] = now + absl::Milliseconds(replica.expected_in_ms);
        expected_ready_[{key, version}] = now + absl::Milliseconds(replica.expected_in_ms);
        break;
    }
  }
  if (update.loads.has_value()) {
    std::map<std::string, PeersLoad> own = OwnPart(update);
    std::map<std::string, PeersLoad> loads;
    for (const WorkerLoad& load : *update.loads) {
      const PeersLoad& part = own[load.worker_id];
      loads[load.worker_id] = {std::max(0, load.running - part.running),
                               std::max(0, load.unread_tokens - part.unread_tokens)};
    }
    parts_.workers->SetPeersLoads(loads, now);
  }
  parts_.on_update();
}

absl::Time FleetCoordinator::ExpectedReady(const ModelKey& model,
                                           const std::string& software_version) const {
  const auto entry = expected_ready_.find({ModelKey{model.model, ""}, software_version});
  if (entry == expected_ready_.end() || entry->second + kExpectedSlack < parts_.loop->Now()) {
    return absl::InfiniteFuture();
  }
  return entry->second;
}

void FleetCoordinator::SchedulePlacement(absl::Time when) {
  // Reports of many nodes arrive close together, so one run handles them all.
  when = std::max(when, last_placement_ + settings_.min_placement_interval);
  if (when >= placement_due_) {
    return;
  }
  placement_due_ = when;
  placement_timer_->Set(when, [this] {
    placement_due_ = absl::InfiniteFuture();
    RunPlacement();
  });
}

void FleetCoordinator::RunPlacement() {
  last_placement_ = parts_.loop->Now();
  // After a pause this may run before PauseTick has detected it.
  NotePause();
  const absl::Time now = parts_.loop->Now();
  if (!lease_.holding() || configuration_ == nullptr) {
    return;
  }
  if (lease_.MayOrder(now)) {
    for (const PlannedOrder& planned :
         placer_.Plan(*configuration_, parts_.workers->workers(), now)) {
      SendOrder(planned);
    }
    for (const std::string& id : placer_.WorkersToPoll(now)) {
      const WorkerState* const worker = parts_.workers->Find(id);
      if (worker == nullptr) {
        continue;
      }
      parts_.control->ReadReport(id, worker->record.address,
                                 [this, id](Result<WorkerReport> report) {
                                   if (report.ok()) {
                                     placer_.OnWorkerReport(id, *report, parts_.loop->Now());
                                     SchedulePlacement(parts_.loop->Now());
                                   }
                                 });
    }
  }
  std::vector<ReplicaUpdate> updates = placer_.TakeUpdates(now);
  if (!updates.empty() || now - last_load_update_ >= LoadUpdateInterval()) {
    SendUpdates(std::move(updates));
  }
  const absl::Time due = std::min(placer_.NextDue(now), now + absl::Milliseconds(500));
  SchedulePlacement(std::max(due, now + absl::Milliseconds(1)));
}

// Spec action: SendOrder.
void FleetCoordinator::SendOrder(const PlannedOrder& planned) {
  WorkerOrder order = planned.order;
  order.holder = settings_.node;
  order.token = lease_.token();
  ++parts_.metrics->orders;
  parts_.log->Write(LogLevel::kInfo, "order",
                    {{"worker", order.worker_id},
                     {"operation", order.kind == OrderKind::kLoad ? "load" : "unload"},
                     {"model", order.model},
                     {"adapter", order.adapter},
                     {"why", planned.reason},
                     {"source", planned.source},
                     {"waiting", absl::StrCat(planned.waiting)},
                     {"rate", absl::StrCat(planned.rate)},
                     {"loads_at_once", absl::StrCat(placer_.weight_store().running())},
                     {"loads_limit", absl::StrCat(placer_.weight_store().estimate().limit)},
                     {"expected_sequence", absl::StrCat(order.expected_sequence)},
                     {"token", absl::StrCat(order.token)}});
  parts_.control->SendOrder(order, [this, order](OrderOutcome outcome) {
    const absl::Time now = parts_.loop->Now();
    if (outcome == OrderOutcome::kUnknown) {
      ++parts_.metrics->orders_without_answer;
    }
    parts_.log->Write(outcome == OrderOutcome::kAccepted || outcome == OrderOutcome::kDone
                          ? LogLevel::kDebug
                          : LogLevel::kInfo,
                      "order_answered",
                      {{"worker", order.worker_id},
                       {"model", order.model},
                       {"adapter", order.adapter},
                       {"outcome", std::string(OutcomeName(outcome))},
                       {"expected_sequence", absl::StrCat(order.expected_sequence)}});
    if (outcome == OrderOutcome::kFenced && order.token == lease_.token()) {
      const bool held_before = lease_.holding();
      lease_.OnFenced(now);
      NoteLeaseChange(held_before);
      ReadTable();
      return;
    }
    placer_.OnOutcome(order, outcome, now);
    SchedulePlacement(now);
  });
}

void FleetCoordinator::SendUpdates(std::vector<ReplicaUpdate> replicas) {
  const absl::Time now = parts_.loop->Now();
  const bool with_loads = now - last_load_update_ >= LoadUpdateInterval();
  if (with_loads) {
    last_load_update_ = now;
  }
  std::size_t begin = 0;
  do {
    PlacementUpdate update;
    update.holder = settings_.node;
    update.address = settings_.address;
    update.token = lease_.token();
    update.number = ++update_number_;
    const std::size_t end = std::min(replicas.size(), begin + kMaxReplicasPerUpdate);
    update.replicas.assign(replicas.begin() + static_cast<std::ptrdiff_t>(begin),
                           replicas.begin() + static_cast<std::ptrdiff_t>(end));
    begin = end;
    if (with_loads && begin >= replicas.size()) {
      update.loads = placer_.TotalLoads(now);
      update.reports = placer_.IncludedReports(now);
    }
    const std::string bytes = EncodeFleetMessage(update);
    for (const auto& [node, address] : peers_) {
      if (node != settings_.node) {
        parts_.send(address, bytes);
      }
    }
    ApplyUpdate(update);
  } while (begin < replicas.size());
}

}  // namespace hingespan::gateway
