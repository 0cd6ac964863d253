// The coordinator's part as holder of the lease: orders, and news of replicas.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/fleet/fleet_coordinator.h"

namespace hingespan::gateway {
namespace {

// News holds until the worker's own record should tell the same.
constexpr absl::Duration kNewsLifetime = absl::Seconds(3);
constexpr absl::Duration kExpectedSlack = absl::Seconds(3);
// Replicas named in one datagram.
constexpr std::size_t kMostReplicasInNews = 40;
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

absl::Duration FleetCoordinator::LoadNewsInterval() const {
  return settings_.load_news_interval +
         settings_.load_news_each_node * static_cast<double>(peers_.size());
}

void FleetCoordinator::ApplyNews(const PlacementNews& news) {
  const absl::Time now = parts_.loop->Now();
  for (const ReplicaNews& replica : news.replicas) {
    const ModelKey key{replica.model, replica.adapter};
    switch (replica.state) {
      case ReplicaState::kReady:
        parts_.workers->NoteReplica(replica.worker_id, key, true, now + kNewsLifetime);
        expected_ready_.erase(key);
        break;
      case ReplicaState::kLeaving:
        parts_.workers->NoteReplica(replica.worker_id, key, false, now + kNewsLifetime);
        break;
      case ReplicaState::kLoading:
        expected_ready_[key] = now + absl::Milliseconds(replica.expected_in_ms);
        break;
    }
  }
  if (news.loads.has_value()) {
    std::map<std::string, PeersLoad> loads;
    for (const WorkerLoad& load : *news.loads) {
      loads[load.worker_id] = {
          std::max(0, load.running - own_running_reported_[load.worker_id]),
          std::max(0, load.unread_tokens - own_tokens_reported_[load.worker_id])};
    }
    parts_.workers->SetPeersLoads(loads);
  }
  parts_.on_news();
}

absl::Time FleetCoordinator::ExpectedReady(const ModelKey& model) const {
  const auto entry = expected_ready_.find(ModelKey{model.model, ""});
  if (entry == expected_ready_.end() || entry->second + kExpectedSlack < parts_.loop->Now()) {
    return absl::InfiniteFuture();
  }
  return entry->second;
}

void FleetCoordinator::SchedulePlacement(absl::Time when) {
  // Reports of many nodes come close together: one look serves them all.
  when = std::max(when, last_placement_ + settings_.least_placement_interval);
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
  // After a pause this may be called before the tick that looks for it.
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
    for (const std::string& id : placer_.WorkersToAsk(now)) {
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
  std::vector<ReplicaNews> news = placer_.TakeNews(now);
  if (!news.empty() || now - last_load_news_ >= LoadNewsInterval()) {
    SendNews(std::move(news));
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

void FleetCoordinator::SendNews(std::vector<ReplicaNews> replicas) {
  const absl::Time now = parts_.loop->Now();
  const bool with_loads = now - last_load_news_ >= LoadNewsInterval();
  if (with_loads) {
    last_load_news_ = now;
  }
  std::size_t begin = 0;
  do {
    PlacementNews news;
    news.holder = settings_.node;
    news.address = settings_.address;
    news.token = lease_.token();
    news.number = ++news_number_;
    const std::size_t end = std::min(replicas.size(), begin + kMostReplicasInNews);
    news.replicas.assign(replicas.begin() + static_cast<std::ptrdiff_t>(begin),
                         replicas.begin() + static_cast<std::ptrdiff_t>(end));
    begin = end;
    if (with_loads && begin >= replicas.size()) {
      news.loads = placer_.TotalLoads(now);
    }
    const std::string bytes = EncodeFleetMessage(news);
    for (const auto& [node, address] : peers_) {
      if (node != settings_.node) {
        parts_.send(address, bytes);
      }
    }
    ApplyNews(news);
  } while (begin < replicas.size());
}

}  // namespace hingespan::gateway
