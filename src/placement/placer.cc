#include "hingespan/placement/placer.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "hingespan/grant/pinned_slots.h"
#include "hingespan/grant/quota.h"

namespace hingespan {
namespace {

// Expected wait until a keeper has answered.
constexpr absl::Duration kDefaultExpectedWait = absl::Seconds(1);
constexpr absl::Duration kMinimumExpectedWait = absl::Milliseconds(50);
// Times after which a refused router may ask again.
constexpr absl::Duration kNoMemoryRetry = absl::Seconds(1);
constexpr absl::Duration kNoWorkerRetry = absl::Seconds(2);
constexpr absl::Duration kNoGrantRetry = absl::Seconds(5);
// State of a model is dropped this long after its last wake request.
constexpr absl::Duration kColdModelRetention = absl::Seconds(10);
constexpr absl::Duration kMinimumCheckInterval = absl::Seconds(1);
// Waiter timeout while a replica is ready. A router that still waits repeats its wake request well
// within this time, and an idle replica is not unloaded sooner (keeper.minimum_residence).
constexpr absl::Duration kServedWaiterTimeout = absl::Milliseconds(600);

std::uint32_t ToMilliseconds(absl::Duration duration) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

WakeReply Refused(const ModelName& model, WakeRefusal reason, absl::Duration retry_after) {
  return WakeReply{model, WakeOutcome::kRefused, reason, ToMilliseconds(retry_after)};
}

}  // namespace

Placer::Placer(NodeId self, ZoneId zone, PlacerOptions options, const RecordStore* store,
               const ReplicaDirectory* directory)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      options_(options),
      count_policy_(options.replica_count),
      load_times_(options.load_times),
      store_(store),
      directory_(directory) {}

// Spec action: Wake.
void Placer::HandleWake(const NodeId& from, const WakeRequest& request,
                        const std::function<NodeId(const WorkerId&)>& keeper_of,
                        const std::function<NodeId(const ModelName&)>& /*placer_of*/,
                        absl::Time now, Outbox* outbox) {
  const auto row = store_->FindRow(request.model);
  if (row == nullptr) {
    outbox->Send(from, Refused(request.model, WakeRefusal::kUnknownModel, kNoGrantRetry));
    return;
  }
  ColdModel& cold = cold_models_.try_emplace(request.model, now).first->second;
  cold.last_wake = now;
  if (request.waiting == 0) {
    cold.waiters.erase(from);
    return;
  }
  const absl::Time deadline = now + absl::Milliseconds(request.earliest_deadline_ms);
  const absl::Time latest = now + absl::Milliseconds(request.latest_deadline_ms);
  const absl::Duration service = absl::Milliseconds(request.service_ms);
  cold.waiters[from] = Waiter{request.waiting, deadline, latest, service, now};
  DropEndedAttempts(request.model, &cold, now);
  StartLoads(*row, &cold, keeper_of, now, outbox);
  const WakeReply reply = CurrentReply(*row, cold, now);
  if (reply.outcome == WakeOutcome::kRefused) {
    RefuseIfUnservable(*row, &cold, now, outbox);
  } else {
    outbox->Send(from, reply);
  }
}

void Placer::HandleLoadReply(const NodeId&, const LoadReply& reply, absl::Time now,
                             Outbox* outbox) {
  const auto found = cold_models_.find(reply.model);
  const auto row = store_->FindRow(reply.model);
  if (found == cold_models_.end() || row == nullptr) {
    return;
  }
  ColdModel& cold = found->second;
  for (Attempt& attempt : cold.attempts) {
    const bool matches = attempt.worker == reply.worker &&
                         attempt.incarnation == reply.incarnation &&
                         attempt.generation == reply.generation;
    const bool first_answer = attempt.stage == AttemptStage::kUnanswered;
    if (matches && first_answer && reply.outcome == LoadOutcome::kAccepted) {
      cold.reported_load_time = absl::Milliseconds(reply.expected_wait_ms);
    }
    if (matches) {
      ApplyReply(reply, now, &attempt);
    }
  }
  // The next Tick asks the next slot, if there is one.
  RefuseIfUnservable(*row, &cold, now, outbox);
}

void Placer::ApplyReply(const LoadReply& reply, absl::Time now, Attempt* attempt) const {
  switch (reply.outcome) {
    case LoadOutcome::kNotKeeper:
      // The worker's keeper is changing. The request is repeated after load_retry, until
      // load_give_up.
      return;
    case LoadOutcome::kAccepted:
    case LoadOutcome::kReady:
      attempt->stage = AttemptStage::kAccepted;
      attempt->expected_ready = now + absl::Milliseconds(reply.expected_wait_ms);
      attempt->next_send = now + options_.load_confirm;
      attempt->received_at = now;
      return;
    case LoadOutcome::kNoMemory:
    case LoadOutcome::kOtherIncarnation:
    case LoadOutcome::kLeaving:
      attempt->stage = AttemptStage::kRefused;
      attempt->outcome = reply.outcome;
      attempt->refused_until =
          now + std::max(options_.refusal_memory, absl::Milliseconds(reply.expected_wait_ms));
      return;
  }
}

void Placer::Tick(const std::function<bool(const ModelName&)>& is_mine,
                  const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                  Outbox* outbox) {
  for (auto entry = cold_models_.begin(); entry != cold_models_.end();) {
    const ModelName model = entry->first;
    ColdModel& cold = entry->second;
    const auto row = store_->FindRow(model);
    DropExpiredWaiters(model, &cold, now);
    const bool forgotten = cold.waiters.empty() && now - cold.last_wake >= kColdModelRetention;
    if (forgotten || !is_mine(model)) {
      cold_models_.erase(entry++);
      continue;
    }
    ++entry;
    if (row == nullptr) {
      NotifyWaiters(Refused(model, WakeRefusal::kUnknownModel, kNoGrantRetry), &cold, outbox);
      continue;
    }
    DropEndedAttempts(model, &cold, now);
    if (cold.waiters.empty()) {
      continue;
    }
    StartLoads(*row, &cold, keeper_of, now, outbox);
    RepeatLoads(model, &cold, keeper_of, now, outbox);
    RefuseIfUnservable(*row, &cold, now, outbox);
  }
  KeepMinimum(is_mine, keeper_of, now, outbox);
}

bool Placer::AnyRefusedForMemory(const ColdModel& cold) {
  return std::any_of(cold.attempts.begin(), cold.attempts.end(), [](const Attempt& attempt) {
    return attempt.stage == AttemptStage::kRefused && attempt.outcome == LoadOutcome::kNoMemory;
  });
}

void Placer::SendLoad(const ModelName& model, const ColdModel& cold, Attempt* attempt,
                      const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                      Outbox* outbox) const {
  attempt->next_send = now + options_.load_retry;
  absl::Time deadline = absl::InfiniteFuture();
  for (const auto& [node, waiter] : cold.waiters) {
    deadline = std::min(deadline, waiter.deadline);
  }
  LoadRequest request;
  request.worker = attempt->worker;
  request.incarnation = attempt->incarnation;
  request.model = model;
  request.generation = attempt->generation;
  request.waiting = TotalWaiting(cold);
  request.earliest_deadline_ms = std::max(1u, ToMilliseconds(deadline - now));
  const NodeId keeper = keeper_of(attempt->worker);
  if (!keeper.empty()) {
    outbox->Send(keeper, std::move(request));
  }
}

void Placer::RepeatLoads(const ModelName& model, ColdModel* cold,
                         const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                         Outbox* outbox) const {
  for (Attempt& attempt : cold->attempts) {
    if (attempt.stage != AttemptStage::kRefused && now >= attempt.next_send) {
      SendLoad(model, *cold, &attempt, keeper_of, now, outbox);
    }
  }
}

void Placer::DropEndedAttempts(const ModelName& model, ColdModel* cold, absl::Time now) const {
  const auto record = store_->FindGrant(model);
  const auto is_ended = [&](const Attempt& attempt) {
    const bool slot_usable =
        record != nullptr &&
        std::any_of(record->slots.begin(), record->slots.end(), [&](const GrantSlot& slot) {
          return slot.worker == attempt.worker && slot.generation == attempt.generation &&
                 IsUsable(slot, now);
        });
    if (attempt.stage == AttemptStage::kRefused) {
      return !slot_usable || now >= attempt.refused_until;
    }
    const KnownWorker* worker = directory_->Find(attempt.worker);
    const auto ready = directory_->ReadyWorkers(model, now);
    const bool loaded = std::find(ready.begin(), ready.end(), attempt.worker) != ready.end();
    return !slot_usable || worker == nullptr || loaded;
  };
  auto& attempts = cold->attempts;
  attempts.erase(std::remove_if(attempts.begin(), attempts.end(), is_ended), attempts.end());
  for (Attempt& attempt : attempts) {
    const bool silent = attempt.stage != AttemptStage::kRefused && !cold->waiters.empty() &&
                        now - attempt.received_at >= options_.load_give_up;
    if (silent) {
      attempt.stage = AttemptStage::kRefused;
      attempt.outcome = LoadOutcome::kNotKeeper;
      attempt.refused_until = now + options_.refusal_memory;
    }
  }
}

// Routers send no notification when their wait ends. A waiter kept after the replica that served it
// was unloaded would cause a load that no request needs.
void Placer::DropExpiredWaiters(const ModelName& model, ColdModel* cold, absl::Time now) const {
  const bool served = !directory_->ReadyWorkers(model, now).empty();
  const absl::Duration timeout =
      served ? std::min(options_.waiter_timeout, kServedWaiterTimeout) : options_.waiter_timeout;
  absl::erase_if(cold->waiters,
                 [&](const auto& entry) { return now - entry.second.received_at >= timeout; });
}

WakeReply Placer::CurrentReply(const ModelRow& row, const ColdModel& cold, absl::Time now) const {
  WakeReply reply;
  reply.model = row.name;
  if (!directory_->ReadyWorkers(row.name, now).empty()) {
    reply.outcome = WakeOutcome::kReady;
    return reply;
  }
  const std::vector<WorkerId> loading = directory_->LoadingWorkers(row.name, now);
  absl::Time expected_ready = absl::InfiniteFuture();
  bool load_expected = !loading.empty();
  for (const WorkerId& worker : loading) {
    const KnownReplica& replica = directory_->Find(worker)->replicas.at(row.name);
    expected_ready = std::min(expected_ready, replica.expected_ready);
  }
  for (const Attempt& attempt : cold.attempts) {
    if (attempt.stage != AttemptStage::kRefused) {
      load_expected = true;
      expected_ready = std::min(expected_ready, attempt.expected_ready);
    }
  }
  if (!load_expected && Candidates(row, cold, now).empty()) {
    return ReplyWithoutWorker(row, cold, now);
  }
  const bool known = expected_ready != absl::InfiniteFuture();
  const absl::Duration wait = known ? expected_ready - now : kDefaultExpectedWait;
  reply.expected_wait_ms = ToMilliseconds(std::max(wait, kMinimumExpectedWait));
  return reply;
}

// Returns the answer when no worker can be asked. A grant or a worker may still appear, so requests
// wait for `grant_grace` before they are refused.
WakeReply Placer::ReplyWithoutWorker(const ModelRow& row, const ColdModel& cold,
                                     absl::Time now) const {
  if (AnyRefusedForMemory(cold)) {
    return Refused(row.name, WakeRefusal::kNoMemory, kNoMemoryRetry);
  }
  const auto record = store_->FindGrant(row.name);
  const bool has_slot =
      record != nullptr &&
      std::any_of(record->slots.begin(), record->slots.end(), [this](const GrantSlot& slot) {
        return slot.zone == zone_ && slot.state == SlotState::kGranted;
      });
  const bool never_granted = row.max_replicas == 0 || (!has_slot && WeightOf(row, zone_) == 0);
  const bool may_appear = !never_granted && now - cold.no_worker_since < options_.grant_grace;
  if (may_appear) {
    const absl::Duration grace_left = options_.grant_grace - (now - cold.no_worker_since);
    return WakeReply{row.name, WakeOutcome::kLoading, WakeRefusal::kNone,
                     ToMilliseconds(grace_left + kDefaultExpectedWait)};
  }
  return has_slot ? Refused(row.name, WakeRefusal::kNoWorker, kNoWorkerRetry)
                  : Refused(row.name, WakeRefusal::kNoGrant, kNoGrantRetry);
}

void Placer::RefuseIfUnservable(const ModelRow& row, ColdModel* cold, absl::Time now,
                                Outbox* outbox) const {
  const WakeReply reply = CurrentReply(row, *cold, now);
  if (reply.outcome == WakeOutcome::kRefused) {
    NotifyWaiters(reply, cold, outbox);
  }
}

void Placer::NotifyWaiters(const WakeReply& reply, ColdModel* cold, Outbox* outbox) {
  for (const auto& [node, waiter] : cold->waiters) {
    outbox->Send(node, reply);
  }
  cold->waiters.clear();
}

void Placer::OnRowChanged(const ModelName& model) {
  const auto row = store_->FindRow(model);
  if (row != nullptr && row->min_replicas > 0) {
    minimum_models_.insert(model);
  } else {
    minimum_models_.erase(model);
  }
}

// No state is kept here, since keepers treat repeated requests for a load as one.
void Placer::KeepMinimum(const std::function<bool(const ModelName&)>& is_mine,
                         const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                         Outbox* outbox) {
  if (now < next_minimum_check_) {
    return;
  }
  next_minimum_check_ = now + kMinimumCheckInterval;
  for (const ModelName& model : minimum_models_) {
    const auto row = store_->FindRow(model);
    const auto record = store_->FindGrant(model);
    if (row == nullptr || record == nullptr || !is_mine(model)) {
      continue;
    }
    for (const GrantSlot& slot : PinnedSlots(*row, *record)) {
      const NodeId keeper = keeper_of(slot.worker);
      if (!keeper.empty() && IsUsable(slot, now) && !IsLoadedAt(model, slot.worker)) {
        outbox->Send(keeper,
                     LoadRequest{slot.worker, slot.incarnation, model, slot.generation, 0, 0});
      }
    }
  }
}

}  // namespace hingespan
