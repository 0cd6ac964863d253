#include "hingespan/grant/grant_manager.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

#include "hingespan/grant/quota.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

// A transaction without an answer for this long is abandoned; the store shows whether it took
// effect.
constexpr absl::Duration kCallTimeout = absl::Seconds(10);
// Time to wait for a committed write to appear in the store. After that, the store's state is used
// without it.
constexpr absl::Duration kCommitVisibleTimeout = absl::Seconds(10);
// Maximum backoff, as a multiple of GrantOptions::retry_after.
constexpr int kLongestRetryFactor = 10;
// Work limit of one Tick. Skipping a dirty model costs 1, planning for one costs kWorkPerPlan more.
constexpr int kWorkPerTick = 512;
constexpr int kWorkPerPlan = 15;
// Maximum number of unused write permissions that one Tick may use in a burst.
constexpr int kWriteBurst = 4;

const GrantTarget* FindTarget(const std::vector<GrantTarget>& targets, const WorkerId& worker) {
  const auto target = std::find_if(targets.begin(), targets.end(), [&](const GrantTarget& other) {
    return other.worker == worker;
  });
  return target == targets.end() ? nullptr : &*target;
}

}  // namespace

GrantManager::GrantManager(NodeId self, ZoneId zone, std::vector<ZoneId> zones,
                           GrantOptions options, const RecordStore* store)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      zones_(std::move(zones)),
      options_(options),
      store_(store) {}

void GrantManager::MarkDirty(const ModelName& model) {
  dirty_.insert(model);
  index_.ForEachAdapterOf(model, [this](const ModelName& adapter) { dirty_.insert(adapter); });
}

void GrantManager::ForgetRowsOfOthers(const std::function<bool(const ModelName&)>& is_mine) {
  index_.EraseUnless(is_mine);
}

void GrantManager::Tick(const std::vector<GrantTarget>& targets,
                        const std::function<bool(const ModelName&)>& is_mine,
                        const std::function<NodeId(const WorkerId&)>& keeper_of, absl::Time now,
                        Outbox* outbox) {
  ExpireOutstanding(now);
  UpdateTargets(targets);
  auto next = dirty_.lower_bound(cursor_);
  int work = 0;
  for (std::size_t left = dirty_.size(); left > 0 && work < kWorkPerTick; --left) {
    if (next == dirty_.end()) {
      next = dirty_.begin();
    }
    ++work;
    const ModelName model = *next;
    if (!is_mine(model)) {
      index_.Erase(model);
      next = dirty_.erase(next);
      continue;
    }
    RequestRevocations(model, targets, keeper_of, now, outbox);
    if (IsWriteLimitReached(now) || !MayWrite(model, now)) {
      ++next;
      continue;
    }
    work += kWorkPerPlan;
    next = PlanAndWrite(model, targets, now, outbox) ? dirty_.erase(next) : std::next(next);
  }
  cursor_ = next == dirty_.end() ? ModelName() : *next;
}

bool GrantManager::PlanAndWrite(const ModelName& model, const std::vector<GrantTarget>& targets,
                                absl::Time now, Outbox* outbox) {
  ++plans_;
  const Plan plan = PlanFor(model, targets);
  UpdateIndex(model, plan.short_of_slots);
  if (plan.record) {
    Write(*plan.record, now, outbox);
    return false;
  }
  if (HasRevokingSlots(model)) {
    return false;
  }
  ForgetConfirmations(model);
  return true;
}

void GrantManager::HandleAnswer(const PlatformAnswer& answer, absl::Time now) {
  const auto call = outstanding_.find(answer.call);
  if (answer.owner != CallOwner::kGrants || call == outstanding_.end()) {
    return;
  }
  const ModelName model = call->second.model;
  outstanding_.erase(call);
  outstanding_models_.erase(model);
  dirty_.insert(model);
  const auto* result = std::get_if<TransactionResult>(&answer.value);
  const bool committed = !answer.error && result != nullptr && result->committed;
  if (!committed) {
    // This includes lost answers: the record that the store receives shows whether the write took
    // effect.
    ScheduleRetry(model, now);
    return;
  }
  retries_.erase(model);
  pending_commits_[model] = PendingCommit{result->revision, now + kCommitVisibleTimeout};
}

// Spec action: FinishRevoke begins here; the next write removes the slot.
void GrantManager::HandleRevokeReply(const RevokeReply& reply, absl::Time) {
  const auto record = store_->FindGrant(reply.model);
  if (!reply.confirmed || record == nullptr) {
    return;
  }
  for (const GrantSlot& slot : record->slots) {
    const bool matches = slot.state == SlotState::kRevoking && slot.zone == zone_ &&
                         slot.worker == reply.worker && slot.incarnation == reply.incarnation &&
                         slot.generation == reply.generation;
    if (matches) {
      confirmed_[reply.model].insert(reply.generation);
      dirty_.insert(reply.model);
    }
  }
}

GrantManager::Plan GrantManager::PlanFor(const ModelName& model,
                                         const std::vector<GrantTarget>& targets) const {
  GrantPlanInput input;
  const auto row = store_->FindRow(model);
  input.row = row.get();
  input.zone = zone_;
  input.targets = &targets;
  if (const auto record = store_->FindGrant(model)) {
    input.record = *record;
  } else {
    input.record.model = model;
  }
  if (input.row != nullptr) {
    input.total_limit = input.row->max_replicas;
    input.zone_limit = DivideReplicas(*store_, *input.row, zones_)[zone_];
    input.base_workers = BaseWorkers(*input.row);
  }
  if (options_.disable_limit_for_test) {
    input.total_limit = std::numeric_limits<std::uint32_t>::max();
    input.zone_limit = input.total_limit;
  }
  input.is_confirmed = [&](const GrantSlot& slot) {
    const auto generations = confirmed_.find(model);
    return generations != confirmed_.end() && generations->second.contains(slot.generation);
  };
  GrantRecord planned = PlanGrants(input);
  Plan plan;
  plan.short_of_slots = IsShortOfSlots(input, planned);
  if (planned != input.record) {
    plan.record = std::move(planned);
  }
  return plan;
}

void GrantManager::UpdateIndex(const ModelName& model, bool short_of_slots) {
  const auto row = store_->FindRow(model);
  const auto record = store_->FindGrant(model);
  SlotIndex::Entry entry;
  entry.short_of_slots = short_of_slots;
  if (row != nullptr && row->kind == RowKind::kAdapter) {
    entry.base = row->base;
  }
  if (record != nullptr) {
    for (const GrantSlot& slot : record->slots) {
      if (slot.zone == zone_) {
        entry.workers.push_back(slot.worker);
      }
    }
  }
  index_.Set(model, std::move(entry));
}

std::optional<absl::flat_hash_set<WorkerId>> GrantManager::BaseWorkers(const ModelRow& row) const {
  if (row.kind != RowKind::kAdapter || store_->FindRow(row.base) == nullptr) {
    return std::nullopt;
  }
  absl::flat_hash_set<WorkerId> workers;
  if (const auto base = store_->FindGrant(row.base)) {
    for (const GrantSlot& slot : base->slots) {
      if (slot.state == SlotState::kGranted) {
        workers.insert(slot.worker);
      }
    }
  }
  return workers;
}

void GrantManager::RequestRevocations(const ModelName& model,
                                      const std::vector<GrantTarget>& targets,
                                      const std::function<NodeId(const WorkerId&)>& keeper_of,
                                      absl::Time now, Outbox* outbox) {
  const auto record = store_->FindGrant(model);
  if (record == nullptr || !HasRevokingSlots(model)) {
    next_revoke_.erase(model);
    return;
  }
  const auto next = next_revoke_.find(model);
  if (next != next_revoke_.end() && now < next->second) {
    return;
  }
  next_revoke_[model] = now + options_.revoke_interval;
  for (const GrantSlot& slot : record->slots) {
    const GrantTarget* target = FindTarget(targets, slot.worker);
    const bool gone = target != nullptr && target->gone;
    if (slot.zone != zone_ || slot.state != SlotState::kRevoking || gone) {
      continue;
    }
    const NodeId keeper = keeper_of(slot.worker);
    if (!keeper.empty()) {
      outbox->Send(keeper, RevokeRequest{slot.worker, slot.incarnation, model, slot.generation});
    }
  }
}

bool GrantManager::HasRevokingSlots(const ModelName& model) const {
  const auto record = store_->FindGrant(model);
  if (record == nullptr) {
    return false;
  }
  return std::any_of(record->slots.begin(), record->slots.end(), [this](const GrantSlot& slot) {
    return slot.zone == zone_ && slot.state == SlotState::kRevoking;
  });
}

bool GrantManager::IsWriteLimitReached(absl::Time now) const {
  const bool all_busy =
      outstanding_.size() >= static_cast<std::size_t>(options_.maximum_outstanding);
  return all_busy || now < next_write_;
}

bool GrantManager::MayWrite(const ModelName& model, absl::Time now) {
  if (outstanding_models_.contains(model)) {
    return false;
  }
  const auto retry = retries_.find(model);
  if (retry != retries_.end() && now < retry->second.not_before) {
    return false;
  }
  const auto pending = pending_commits_.find(model);
  if (pending == pending_commits_.end()) {
    return true;
  }
  const bool arrived = store_->RevisionOf(GrantKey(model)) >= pending->second.revision;
  if (!arrived && now < pending->second.until) {
    return false;
  }
  pending_commits_.erase(pending);
  return true;
}

// Spec actions: Grant, BeginRevoke, FinishRevoke, Regrant. The preconditions tie the record to the
// exact versions of the row and the grants from which it was planned, even if others write too or
// the call arrives late.
void GrantManager::Write(const GrantRecord& record, absl::Time now, Outbox* outbox) {
  const std::string row_key = RowKey(record.model);
  const std::string grant_key = GrantKey(record.model);
  Transaction transaction;
  transaction.preconditions.push_back({row_key, store_->RevisionOf(row_key)});
  transaction.preconditions.push_back({grant_key, store_->RevisionOf(grant_key)});
  transaction.writes.push_back({grant_key, EncodeRecord(record)});

  PlatformCall call;
  call.call = next_call_++;
  call.owner = CallOwner::kGrants;
  call.request = std::move(transaction);
  outstanding_[call.call] = Outstanding{record.model, now};
  outstanding_models_.insert(record.model);
  outbox->platform_calls.push_back(std::move(call));
  next_write_ = std::max(next_write_, now - kWriteBurst * options_.minimum_interval) +
                options_.minimum_interval;
}

void GrantManager::ScheduleRetry(const ModelName& model, absl::Time now) {
  Retry& retry = retries_[model];
  const int factor = std::min(1 << std::min(retry.failures, 10), kLongestRetryFactor);
  retry.not_before = now + options_.retry_after * factor;
  ++retry.failures;
}

void GrantManager::ExpireOutstanding(absl::Time now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [call, outstanding] : outstanding_) {
    if (now - outstanding.sent_at >= kCallTimeout) {
      expired.push_back(call);
    }
  }
  for (const std::uint64_t call : expired) {
    const ModelName model = outstanding_[call].model;
    outstanding_.erase(call);
    outstanding_models_.erase(model);
    dirty_.insert(model);
    ScheduleRetry(model, now);
  }
}

void GrantManager::UpdateTargets(const std::vector<GrantTarget>& targets) {
  if (targets == known_targets_) {
    return;
  }
  const auto mark = [this](const ModelName& model) { dirty_.insert(model); };
  bool has_room = false;
  for (const GrantTarget& target : targets) {
    const GrantTarget* known = FindTarget(known_targets_, target.worker);
    if (known == nullptr || *known != target) {
      index_.ForEachOnWorker(target.worker, mark);
      has_room = has_room || IsUsable(target);
    }
  }
  for (const GrantTarget& known : known_targets_) {
    if (FindTarget(targets, known.worker) == nullptr) {
      index_.ForEachOnWorker(known.worker, mark);
    }
  }
  if (has_room) {
    index_.ForEachShortOfSlots(mark);
  }
  known_targets_ = targets;
}

void GrantManager::ForgetConfirmations(const ModelName& model) {
  confirmed_.erase(model);
  retries_.erase(model);
  pending_commits_.erase(model);
}

}  // namespace hingespan
