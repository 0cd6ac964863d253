#include "hingespan/serving/worker_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

// Prompt tokens that an engine processes per millisecond. Workers don't report this; only the ratio
// to the other costs matters.
constexpr double kPromptTokensPerMs = 18.0;
// Time that each running request adds to the wait for the first event.
constexpr double kRunningCostMs = 4.0;
// Additional cost of a worker in another zone, for network latency and priced traffic.
constexpr double kOtherZoneCostMs = 12.0;
constexpr double kPreferenceMsPerNode = 1.0;
constexpr double kMaxPreferenceMs = 60.0;
constexpr double kPlainServiceMs = 30.0;
constexpr double kSuccessWeight = 0.12;
constexpr double kLatencyWeight = 0.15;
// Half-life of a worker's failures, after which it is tried again.
constexpr absl::Duration kSuccessHalfLife = absl::Seconds(6);
constexpr double kMinSuccess = 0.08;
// A worker is silent when an attempt is unread for this multiple of the usual time to the first
// byte of an answer, and at least for the minimum.
constexpr double kSilenceFactor = 4;
constexpr absl::Duration kMinSilence = absl::Milliseconds(500);
constexpr absl::Duration kAvoidUnreachable = absl::Milliseconds(1000);
constexpr absl::Duration kAvoidFull = absl::Milliseconds(60);
constexpr absl::Duration kAvoidFailed = absl::Milliseconds(40);
// The avoidance time doubles with each consecutive failure, up to this limit.
constexpr absl::Duration kMaxAvoidTime = absl::Seconds(4);
constexpr int kMaxDoublings = 7;
// Longer than a takeover of the placement lease, during which no node reports loads.
constexpr absl::Duration kPeersLoadsLifetime = absl::Seconds(10);
// Time for which a worker is assumed to keep a prompt part cached.
constexpr absl::Duration kPromptPartLifetime = absl::Seconds(20);
constexpr std::size_t kMaxPromptParts = 2000;
// Fraction of a worker's token capacity that is used.
constexpr double kUsableTokenFraction = 0.9;

double RecoveredSuccess(const WorkerState& worker, absl::Time now) {
  if (worker.success_updated == absl::InfinitePast()) {
    return worker.success;
  }
  const double age = absl::FDivDuration(now - worker.success_updated, kSuccessHalfLife);
  return 1.0 - (1.0 - worker.success) * std::exp2(-age);
}

}  // namespace

std::uint64_t PromptPartKey(const ModelKey& model, const PromptPart& part) {
  const std::string text = absl::StrCat(model.model, "/", model.adapter, "/", part.id);
  return XXH3_64bits(text.data(), text.size());
}

bool WorkerState::Holds(const ModelKey& key, absl::Time now) const {
  const auto holds = [&](const ModelKey& wanted, bool recorded) {
    const auto notice = notices.find(wanted);
    return notice != notices.end() && notice->second.until > now ? notice->second.present
                                                                 : recorded;
  };
  const auto model = record.models.find(key.model);
  const bool model_recorded = model != record.models.end();
  if (!holds(ModelKey{key.model, ""}, model_recorded)) {
    return false;
  }
  if (key.adapter.empty()) {
    return true;
  }
  return holds(key, model_recorded && model->second.contains(key.adapter));
}

void WorkerDirectory::SetNodes(int nodes) {
  preference_ms_ = std::min(kMaxPreferenceMs, kPreferenceMsPerNode * (nodes - 1));
}

bool WorkerDirectory::Update(WorkerRecord record, std::uint64_t row_version, absl::Time now) {
  const auto [entry, added] = workers_.try_emplace(record.id);
  WorkerState& worker = entry->second;
  const auto departed = added ? departed_.find(record.id) : departed_.end();
  if (departed != departed_.end()) {
    worker.running = departed->second.running;
    worker.unread_tokens = departed->second.unread_tokens;
    worker.running_by_model = std::move(departed->second.running_by_model);
    departed_.erase(departed);
  }
  if (worker.row_version >= row_version) {
    return false;
  }
  const bool changed = worker.row_version == 0 || worker.record.draining != record.draining ||
                       worker.record.models != record.models ||
                       worker.record.address != record.address;
  if (record.leaves_in.has_value()) {
    worker.leaves_at = std::min(worker.leaves_at, now + *record.leaves_in);
  }
  if (worker.row_version == 0) {
    const std::string pair = absl::StrCat(node_, "/", record.id);
    worker.preference =
        static_cast<double>(XXH3_64bits(pair.data(), pair.size()) >> 11) * 0x1.0p-53;
  }
  worker.row_version = row_version;
  worker.record = std::move(record);
  return changed;
}

bool WorkerDirectory::Remove(const std::string& worker_id, std::uint64_t row_version) {
  const auto entry = workers_.find(worker_id);
  if (entry == workers_.end() || entry->second.row_version >= row_version) {
    return false;
  }
  Erase(entry);
  return true;
}

void WorkerDirectory::RetainOnly(const std::set<std::string>& worker_ids, std::uint64_t version) {
  for (auto entry = workers_.begin(); entry != workers_.end();) {
    const bool stays = worker_ids.contains(entry->first) || entry->second.row_version > version;
    entry = stays ? std::next(entry) : Erase(entry);
  }
}

std::map<std::string, WorkerState>::iterator WorkerDirectory::Erase(
    std::map<std::string, WorkerState>::iterator entry) {
  if (entry->second.running > 0) {
    departed_.emplace(entry->first, std::move(entry->second));
  }
  return workers_.erase(entry);
}

WorkerState* WorkerDirectory::Find(const std::string& worker_id) {
  const auto entry = workers_.find(worker_id);
  return entry == workers_.end() ? nullptr : &entry->second;
}

WorkerState* WorkerDirectory::FindKnown(const std::string& worker_id) {
  WorkerState* const worker = Find(worker_id);
  if (worker != nullptr) {
    return worker;
  }
  const auto departed = departed_.find(worker_id);
  return departed == departed_.end() ? nullptr : &departed->second;
}

int WorkerDirectory::CountOfService(const std::string& service) const {
  int count = 0;
  for (const auto& [id, worker] : workers_) {
    count += worker.record.service == service && !worker.record.draining ? 1 : 0;
  }
  return count;
}

bool WorkerDirectory::IsFull(const WorkerState& worker, const WorkerDemand& demand,
                             const Service* service) {
  const int running = worker.running + worker.peers_running;
  if (running >= worker.record.slots) {
    return true;
  }
  if (service == nullptr || !service->engine.has_value() || service->engine->token_capacity <= 0 ||
      running == 0) {
    return false;
  }
  const double each = demand.prompt_tokens + demand.output_tokens;
  return (running + 1) * each >
         kUsableTokenFraction * static_cast<double>(service->engine->token_capacity);
}

double WorkerDirectory::Cost(const WorkerState& worker, const WorkerDemand& demand,
                             absl::Time now) const {
  const double success =
      policy_.avoid_failing ? std::max(kMinSuccess, RecoveredSuccess(worker, now)) : 1.0;
  const double running = worker.running + worker.peers_running;
  const bool same_zone = !policy_.own_zone || worker.record.zone == zone_;
  const double preference =
      (same_zone ? 0.0 : kOtherZoneCostMs) + worker.preference * preference_ms_;
  if (demand.model.model.empty()) {
    const double latency = worker.latency_ms > 0 ? worker.latency_ms : kPlainServiceMs;
    const double waiting = std::max(0.0, running + 1 - worker.record.slots);
    const double spread = running / std::max(1, worker.record.slots);
    return (latency * (1.0 + spread + waiting) + preference) / success;
  }
  double unread = demand.prompt_tokens;
  if (policy_.kept_prompts && demand.prompt_parts != nullptr) {
    for (const PromptPart& part : *demand.prompt_parts) {
      const auto kept = worker.prompt_parts.find(PromptPartKey(demand.model, part));
      if (kept == worker.prompt_parts.end() || kept->second + kPromptPartLifetime < now) {
        break;
      }
      unread -= part.tokens;
    }
  }
  const double queue = worker.unread_tokens + worker.peers_unread_tokens + std::max(0.0, unread);
  return (queue / kPromptTokensPerMs + running * kRunningCostMs + preference) / success;
}

bool WorkerDirectory::IsSilent(const WorkerState& worker, absl::Time now) const {
  if (unread_ == nullptr) {
    return false;
  }
  const absl::Duration usual = absl::Milliseconds(worker.latency_ms);
  return now - unread_->OldestUnread(worker.record.id, now) >
         std::max(kMinSilence, kSilenceFactor * usual);
}

WorkerChoice WorkerDirectory::Choose(const WorkerDemand& demand, const Configuration& configuration,
                                     absl::Time now) {
  if (now >= peers_loads_until_) {
    SetPeersLoads({}, now);
  }
  const Service* const service = configuration.FindService(demand.service);
  WorkerChoice choice;
  bool any_worker = false;
  bool any_other_version = false;
  bool any_model = false;
  bool any_replica = false;
  double best = std::numeric_limits<double>::infinity();
  bool best_avoided = true;
  for (auto& [id, worker] : workers_) {
    if (worker.record.service != demand.service || worker.record.draining || worker.ended) {
      continue;
    }
    if (demand.software_version != nullptr &&
        worker.record.software_version != *demand.software_version) {
      any_other_version = true;
      continue;
    }
    any_worker = true;
    if (!demand.model.model.empty()) {
      if (!worker.Holds(ModelKey{demand.model.model, ""}, now)) {
        continue;
      }
      any_model = true;
      if (!worker.Holds(demand.model, now)) {
        continue;
      }
    }
    any_replica = true;
    if (demand.excluded != nullptr && demand.excluded->contains(id)) {
      continue;
    }
    if (demand.among != nullptr && !demand.among->contains(id)) {
      continue;
    }
    ++choice.candidates;
    if (!demand.borrows_slot && IsFull(worker, demand, service)) {
      continue;
    }
    const bool avoided =
        policy_.avoid_failing && (worker.avoided_until > now || IsSilent(worker, now));
    const double cost = Cost(worker, demand, now);
    if (choice.worker == nullptr || (best_avoided && !avoided) ||
        (best_avoided == avoided && cost < best)) {
      choice.worker = &worker;
      best = cost;
      best_avoided = avoided;
    }
  }
  if (choice.worker != nullptr) {
    return choice;
  }
  if (!any_worker) {
    choice.problem = any_other_version ? ChoiceProblem::kVersionAbsent : ChoiceProblem::kNoWorkers;
  } else if (any_replica || demand.model.model.empty()) {
    choice.problem = ChoiceProblem::kAllBusy;
  } else {
    choice.problem = any_model ? ChoiceProblem::kAdapterAbsent : ChoiceProblem::kModelAbsent;
  }
  return choice;
}

void WorkerDirectory::AttemptStarted(WorkerState* worker, const WorkerDemand& demand,
                                     absl::Time now) {
  ++worker->running;
  ++worker->running_by_model[demand.model.model];
  worker->unread_tokens += demand.prompt_tokens;
  if (demand.prompt_parts == nullptr) {
    return;
  }
  if (worker->prompt_parts.size() > kMaxPromptParts) {
    worker->prompt_parts.clear();
  }
  for (const PromptPart& part : *demand.prompt_parts) {
    worker->prompt_parts[PromptPartKey(demand.model, part)] = now;
  }
}

void WorkerDirectory::AnswerStarted(const std::string& worker_id, double unread_tokens,
                                    absl::Duration latency, absl::Time) {
  WorkerState* const worker = FindKnown(worker_id);
  if (worker == nullptr) {
    return;
  }
  worker->unread_tokens = std::max(0.0, worker->unread_tokens - unread_tokens);
  const double latency_ms = absl::ToDoubleMilliseconds(latency);
  worker->latency_ms =
      worker->latency_ms == 0
          ? latency_ms
          : worker->latency_ms + kLatencyWeight * (latency_ms - worker->latency_ms);
}

void WorkerDirectory::AttemptEnded(const std::string& worker_id, const std::string& model,
                                   double unread_tokens, AttemptOutcome outcome, absl::Time now) {
  WorkerState* const worker = FindKnown(worker_id);
  if (worker == nullptr) {
    return;
  }
  worker->running = std::max(0, worker->running - 1);
  const auto count = worker->running_by_model.find(model);
  if (count != worker->running_by_model.end() && --count->second <= 0) {
    worker->running_by_model.erase(count);
  }
  worker->unread_tokens = std::max(0.0, worker->unread_tokens - unread_tokens);
  if (worker->running == 0 && departed_.erase(worker_id) > 0) {
    return;
  }
  if (outcome == AttemptOutcome::kCancelled) {
    return;
  }
  const double success = RecoveredSuccess(*worker, now);
  const bool served = outcome == AttemptOutcome::kServed;
  worker->success = success + kSuccessWeight * ((served ? 1.0 : 0.0) - success);
  worker->success_updated = now;
  switch (outcome) {
    case AttemptOutcome::kServed:
      worker->failures_in_row = 0;
      break;
    case AttemptOutcome::kCancelled:
      break;
    case AttemptOutcome::kFailed: {
      const int doublings = std::min(worker->failures_in_row++, kMaxDoublings);
      const absl::Duration avoid = std::min(kMaxAvoidTime, kAvoidFailed * (1 << doublings));
      worker->avoided_until = std::max(worker->avoided_until, now + avoid);
      break;
    }
    case AttemptOutcome::kFull:
      worker->avoided_until = std::max(worker->avoided_until, now + kAvoidFull);
      break;
    case AttemptOutcome::kUnreachable:
      worker->avoided_until = std::max(worker->avoided_until, now + kAvoidUnreachable);
      worker->unreachable_until = now + kAvoidUnreachable;
      break;
  }
}

void WorkerDirectory::MarkEnded(const std::string& worker_id) {
  WorkerState* const worker = Find(worker_id);
  if (worker != nullptr) {
    worker->ended = true;
  }
}

void WorkerDirectory::SetPeersLoads(const std::map<std::string, PeersLoad>& loads, absl::Time now) {
  for (auto& [id, worker] : workers_) {
    const auto load = loads.find(id);
    worker.peers_running = load == loads.end() ? 0 : load->second.running;
    worker.peers_unread_tokens = load == loads.end() ? 0 : load->second.unread_tokens;
  }
  peers_loads_until_ = loads.empty() ? absl::InfiniteFuture() : now + kPeersLoadsLifetime;
}

void WorkerDirectory::NoteReplica(const std::string& worker_id, const ModelKey& key, bool present,
                                  absl::Time until) {
  WorkerState* const worker = Find(worker_id);
  if (worker != nullptr) {
    worker->notices[key] = WorkerState::ReplicaNotice{present, until};
  }
}

}  // namespace hingespan::gateway
