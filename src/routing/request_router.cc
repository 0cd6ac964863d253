#include "hingespan/routing/request_router.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/algorithm/container.h"
#include "hingespan/routing/load_balancer.h"
#include "retry_hints.h"

namespace hingespan {
namespace {

constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

}  // namespace

RequestRouter::RequestRouter(NodeId self, ZoneId zone, std::vector<ZoneId> zones,
                             RouterOptions options, const RecordStore* store,
                             ReplicaDirectory* directory, Claimant* claimant, std::uint64_t seed)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      zones_(std::move(zones)),
      options_(options),
      store_(store),
      directory_(directory),
      claimant_(claimant),
      random_(seed),
      retry_budget_(options.retry_budget),
      loads_(options.circuit_breaker) {}

void RequestRouter::SetRemoteNodes(std::vector<RemoteNode> nodes) {
  remote_nodes_ = std::move(nodes);
}

void RequestRouter::SetStopping(bool stopping) { stopping_ = stopping; }

// --- Entry points ------------------------------------------------------------------------------

void RequestRouter::Submit(const RouteRequest& request, absl::Time now, absl::Time wall_time,
                           Outbox* outbox) {
  if (requests_.contains(request.request)) {
    return;
  }
  ++counters_.submitted;
  retry_budget_.OnRequest();
  const auto row = store_->FindRow(request.model);
  if (stopping_) {
    RefuseUnadmitted(request, RefusalCode::kStopping, kDefaultRetryAfter, "this node is stopping");
  } else if (row == nullptr) {
    RefuseUnadmitted(request, RefusalCode::kUnknownModel, kNoRetry, "no row of this name");
  } else if (requests_.size() >= options_.maximum_requests) {
    RefuseUnadmitted(request, RefusalCode::kOverloaded, kDefaultRetryAfter,
                     "too many requests at this node");
  } else if (row->max_replicas == 0) {
    RefuseUnadmitted(request, RefusalCode::kNoCapacity, kEditRetryAfter,
                     "the row allows no replica");
  } else if (request.deadline <= now) {
    RefuseUnadmitted(request, RefusalCode::kWaitExpired, kDefaultRetryAfter, "no time left");
  } else {
    State state;
    state.request = request;
    requests_.emplace(request.request, std::move(state));
    Route(request.request, now, wall_time, outbox);
    DispatchWaiting(request.model, now, wall_time, outbox);
    HandleClaims(now, wall_time, outbox);
  }
}

void RequestRouter::OnFinished(const RequestId& request, AttemptOutcome outcome, absl::Time now,
                               absl::Time wall_time, Outbox* outbox) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  State& state = found->second;
  if (state.stage != Stage::kRunning && state.stage != Stage::kForwarded) {
    return;
  }
  // Copied, as `request` may refer to a state that is erased below.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const RequestId request_id = request;
  const ModelName model = state.request.model;
  if (state.stage == Stage::kRunning) {
    OnWorkerOutcome(&state, outcome, now);
  }
  ReleaseReservation(&state);
  switch (outcome) {
    case AttemptOutcome::kComplete:
      state.may_have_run = true;
      ++counters_.completed;
      End(request_id);
      break;
    case AttemptOutcome::kCancelled:
      state.may_have_run = true;
      ++counters_.cancelled;
      End(request_id);
      break;
    case AttemptOutcome::kRefusedElsewhere:
      state.may_have_run = true;
      ++counters_.refused_elsewhere;
      End(request_id);
      break;
    case AttemptOutcome::kFailedAfterOutput:
      state.may_have_run = true;
      Refuse(request_id, RefusalCode::kEngineFailed, kDefaultRetryAfter, "the answer broke off");
      break;
    case AttemptOutcome::kDeadlineExceeded:
      state.may_have_run = true;
      Refuse(request_id, RefusalCode::kDeadlineExceeded, kDefaultRetryAfter,
             "the time limit ran out while the request ran");
      break;
    case AttemptOutcome::kFailedBeforeOutput:
      state.may_have_run = true;
      RetryOrRefuse(request_id, true, now, wall_time, outbox);
      break;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kNotLoaded:
      RetryOrRefuse(request_id, false, now, wall_time, outbox);
      break;
  }
  DispatchWaiting(model, now, wall_time, outbox);
  HandleClaims(now, wall_time, outbox);
}

void RequestRouter::Cancel(const RequestId& request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  State& state = found->second;
  if (state.stage == Stage::kRunning || state.stage == Stage::kForwarded) {
    state.cancelled = true;
    return;
  }
  Refuse(RequestId(request), RefusalCode::kCancelled, kNoRetry, "the caller went away");
}

void RequestRouter::OnReplicasChanged(const std::vector<ModelName>& models, absl::Time now,
                                      absl::Time wall_time, Outbox* outbox) {
  for (const ModelName& model : models) {
    DispatchWaiting(model, now, wall_time, outbox);
  }
  HandleClaims(now, wall_time, outbox);
}

void RequestRouter::Tick(const std::function<NodeId(const ModelName&)>& placer_of, absl::Time now,
                         absl::Time wall_time, Outbox* outbox) {
  HandleClaims(now, wall_time, outbox);
  ExpireWaits(now);
  RefuseUnservableModels();
  std::vector<ModelName> waiting_models;
  for (const auto& [model, state] : models_) {
    waiting_models.push_back(model);
  }
  OnReplicasChanged(waiting_models, now, wall_time, outbox);
  SendWakes(placer_of, now, outbox);
  ForgetIdleModels(now);
  loads_.ForgetUnknown(*directory_);
  SendReleases(outbox);
}

std::vector<RouteDecision> RequestRouter::TakeDecisions() { return std::exchange(decisions_, {}); }

std::size_t RequestRouter::waiting() const {
  std::size_t total = 0;
  for (const auto& [model, state] : models_) {
    total += state.queue.size();
  }
  return total;
}

// --- Waiting and dispatch ----------------------------------------------------------------------

void RequestRouter::Admit(const RequestId& request, const ModelRow& row, absl::Time now,
                          absl::Time wall_time, Outbox* outbox) {
  State& state = requests_.at(request);
  state.stage = Stage::kWaiting;
  const auto known = models_.find(row.name);
  const bool queue_empty = known == models_.end() || known->second.queue.empty();
  if (queue_empty) {
    const std::optional<WorkerId> worker = ChooseWorker(state, row, now);
    if (worker.has_value()) {
      state.admitted = true;
      ClaimOrDispatch(&state, *worker, now, wall_time, outbox);
      return;
    }
  }
  const bool first_try = !std::exchange(state.admitted, true);
  if (first_try && directory_->ReadyWorkers(row.name, now).empty()) {
    ++counters_.cold;
  }
  // A request that was admitted before is not refused because the queue has filled up since.
  const std::size_t limit = first_try ? row.max_queue : kNoLimit;
  ModelState& model = models_[row.name];
  if (!model.queue.Push(request, state.request.priority, state.request.deadline, limit)) {
    Refuse(request, RefusalCode::kQueueFull, kDefaultRetryAfter, "the model's queue is full");
    return;
  }
  model.waiting_since = std::min(model.waiting_since, now);
}

void RequestRouter::DispatchWaiting(const ModelName& model, absl::Time now, absl::Time wall_time,
                                    Outbox* outbox) {
  const auto found = models_.find(model);
  const auto row = store_->FindRow(model);
  if (found == models_.end() || row == nullptr) {
    return;
  }
  WaitingQueue& queue = found->second.queue;
  ExpireQueue(&queue, now);
  while (!queue.empty()) {
    State& state = requests_.at(*queue.Front());
    const std::optional<WorkerId> worker = ChooseWorker(state, *row, now);
    if (!worker.has_value()) {
      return;
    }
    queue.Pop();
    ClaimOrDispatch(&state, *worker, now, wall_time, outbox);
  }
  found->second.waiting_since = absl::InfiniteFuture();
}

std::optional<WorkerId> RequestRouter::ChooseWorker(const State& state, const ModelRow& row,
                                                    absl::Time now) {
  std::vector<Candidate> untried;
  std::vector<Candidate> failed_before;
  for (const WorkerId& worker_id : directory_->ReadyWorkers(row.name, now)) {
    const KnownWorker& worker = *directory_->Find(worker_id);
    if (!loads_.BreakerOf(worker).Allows(now) ||
        !loads_.HasRoom(worker, row.name, row.max_concurrency)) {
      continue;
    }
    const bool failed = absl::c_linear_search(state.failed_workers, worker_id);
    std::vector<Candidate>& candidates = failed ? failed_before : untried;
    candidates.push_back({worker_id, loads_.LoadOf(worker)});
  }
  const std::vector<Candidate>& candidates = untried.empty() ? failed_before : untried;
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t chosen =
      ChooseReplica(candidates, state.request.prefix_hash, options_.affinity_slack, &random_);
  return candidates[chosen].worker;
}

void RequestRouter::ClaimOrDispatch(State* state, const WorkerId& worker, absl::Time now,
                                    absl::Time wall_time, Outbox* outbox) {
  const RouteRequest& request = state->request;
  if (request.repeatable || request.key.empty() || state->claimed) {
    Dispatch(state, worker, now);
    return;
  }
  state->stage = Stage::kClaiming;
  state->worker = worker;
  loads_.Reserve(worker, request.model);
  claiming_.insert(request.request);
  const absl::Time claim_deadline = std::min(request.deadline, now + options_.claim_time);
  claimant_->Begin(request.request, request.key, claim_deadline, wall_time, now, outbox);
}

void RequestRouter::Dispatch(State* state, const WorkerId& worker, absl::Time now) {
  const KnownWorker& known = *directory_->Find(worker);
  state->stage = Stage::kRunning;
  state->worker = worker;
  ++state->attempts;
  state->dispatched_at = now;
  loads_.Reserve(worker, state->request.model);
  loads_.BreakerOf(known).OnDispatch(now);
  ++counters_.dispatched;
  RouteDecision decision;
  decision.request = state->request.request;
  decision.action = RouteAction::kDispatch;
  decision.worker = worker;
  decision.incarnation = known.report.incarnation;
  decision.base_url = known.report.base_url;
  decisions_.push_back(std::move(decision));
}

void RequestRouter::ReleaseReservation(State* state) {
  if (state->worker.empty()) {
    return;
  }
  loads_.Release(state->worker, state->request.model);
  state->worker = WorkerId();
}

void RequestRouter::ForgetIdleModels(absl::Time now) {
  for (auto entry = models_.begin(); entry != models_.end();) {
    const ModelState& state = entry->second;
    const bool idle = state.queue.empty() && now >= state.next_wake;
    entry = idle ? models_.erase(entry) : std::next(entry);
  }
}

}  // namespace hingespan
