// Callers of the simulated fleet: the path of a request from a node to an engine and back.
#include <utility>

#include "absl/strings/str_cat.h"
#include "tests/simulation/simulated_fleet.h"

namespace hingespan::simulation {

void SimulatedFleet::Submit(const NodeId& id, RouteRequest request, int maximum_tokens) {
  Node& node = nodes_.at(id);
  if (request.request.empty()) {
    request.request = RequestId(absl::StrCat("simulated-", next_request_++));
  }
  requests_.submitted += 1;
  open_[request.request] = OpenRequest{request, id, RequestId(), NodeId(), maximum_tokens};
  if (node.core == nullptr) {
    EndRequest(request.request, AttemptOutcome::kNotRun, nullptr);
    return;
  }
  Step(&node,
       [&](NodeCore* core, Outbox* outbox) { core->Submit(request, now_, WallTime(), outbox); });
}

void SimulatedFleet::TakeDecisions(Node* node) {
  if (node->core == nullptr) {
    return;
  }
  for (const RouteDecision& decision : node->core->TakeDecisions()) {
    ExecuteDecision(node, decision);
  }
}

void SimulatedFleet::ExecuteDecision(Node* node, const RouteDecision& decision) {
  switch (decision.action) {
    case RouteAction::kDispatch:
      DispatchToEngine(node, decision);
      return;
    case RouteAction::kForward:
      Forward(node, decision);
      return;
    case RouteAction::kRefuse:
      EndRequest(decision.request, AttemptOutcome::kNotRun, &decision.refusal);
      return;
  }
}

void SimulatedFleet::DispatchToEngine(Node* node, const RouteDecision& decision) {
  const auto open = open_.find(decision.request);
  if (open == open_.end()) {
    return;
  }
  const RouteRequest& request = open->second.request;
  GenerationRequest generation;
  generation.request = decision.request;
  generation.model = request.model;
  generation.kind = "chat";
  generation.priority = request.priority;
  generation.body =
      absl::StrCat(R"({"max_tokens":)", open->second.maximum_tokens,
                   R"(,"metadata":{"idempotency_key":")", request.key.value(), R"("}})");
  generation.incarnation = decision.incarnation;
  const NodeId id = node->id;
  const WorkerId worker = decision.worker;
  At(now_ + options_.engine_delay, [this, id, worker, generation] {
    emulator::Engine& engine = *engines_.at(worker);
    if (engine.ended()) {
      Finish(id, generation.request, AttemptOutcome::kNotRun);
      return;
    }
    const emulator::GenerateAnswer answer = engine.Generate(generation, now_);
    if (answer.result != emulator::GenerateResult::kAccepted) {
      const bool not_loaded = answer.result == emulator::GenerateResult::kNotLoaded;
      Finish(id, generation.request,
             not_loaded ? AttemptOutcome::kNotLoaded : AttemptOutcome::kNotRun);
      return;
    }
    if (!options_.engines_pace_requests) {
      FinishAtServiceTime(id, worker, generation);
    }
  });
}

void SimulatedFleet::FinishAtServiceTime(const NodeId& id, const WorkerId& worker,
                                         const GenerationRequest& generation) {
  At(now_ + options_.service_time, [this, id, worker, generation] {
    emulator::Engine& running = *engines_.at(worker);
    const bool survived =
        !running.ended() && running.Status(now_).incarnation == generation.incarnation;
    Finish(id, generation.request,
           survived ? AttemptOutcome::kComplete : AttemptOutcome::kFailedBeforeOutput);
  });
}

void SimulatedFleet::OnGenerationBegun(const emulator::LogEntry& entry) {
  if (!entry.key.empty()) {
    runs_by_key_[entry.key] += 1;
  }
  if (observer_ == nullptr) {
    return;
  }
  RequestId request = entry.request;
  auto open = open_.find(request);
  while (open != open_.end() && !open->second.forwarded_for.empty()) {
    request = open->second.forwarded_for;
    open = open_.find(request);
  }
  if (open != open_.end()) {
    observer_->OnAnswerBegun(request, entry.worker, now_);
  }
}

// Called in the middle of an engine's step, so the node is notified later.
void SimulatedFleet::OnGenerationEnded(const emulator::LogEntry& entry) {
  const auto open = open_.find(entry.request);
  if (open == open_.end()) {
    return;
  }
  const NodeId node = open->second.node;
  const RequestId request = entry.request;
  const AttemptOutcome outcome =
      entry.outcome == "stop" ? AttemptOutcome::kComplete : AttemptOutcome::kFailedBeforeOutput;
  At(now_ + options_.engine_delay,
     [this, node, request, outcome] { Finish(node, request, outcome); });
}

void SimulatedFleet::Forward(Node* node, const RouteDecision& decision) {
  const auto open = open_.find(decision.request);
  if (open == open_.end()) {
    return;
  }
  const std::string address = decision.forward_address;
  Node* target = nullptr;
  for (auto& [id, candidate] : nodes_) {
    if (absl::StrCat(id.value(), ":http") == address) {
      target = &candidate;
    }
  }
  RouteRequest request = open->second.request;
  const int maximum_tokens = open->second.maximum_tokens;
  const RequestId outer = decision.request;
  const NodeId from = node->id;
  const ZoneId from_zone = node->zone;
  At(now_ + options_.delay_between_zones,
     [this, target, request, maximum_tokens, outer, from, from_zone] {
       if (target == nullptr || target->core == nullptr || Separated(from_zone, target->zone)) {
         Finish(from, outer, AttemptOutcome::kNotRun);
         return;
       }
       RouteRequest inner = request;
       inner.request = RequestId(absl::StrCat("simulated-", next_request_++));
       inner.forwarded = true;
       open_[inner.request] = OpenRequest{inner, target->id, outer, from, maximum_tokens};
       Step(target,
            [&](NodeCore* core, Outbox* outbox) { core->Submit(inner, now_, WallTime(), outbox); });
     });
}

// Reports to the node how its dispatch or forward ended; the router decides what follows.
void SimulatedFleet::Finish(const NodeId& id, const RequestId& request, AttemptOutcome outcome) {
  const auto open = open_.find(request);
  Node& node = nodes_.at(id);
  if (open == open_.end() || node.core == nullptr) {
    return;
  }
  if (node.paused) {
    node.deferred.emplace_back([this, id, request, outcome] { Finish(id, request, outcome); });
    return;
  }
  Step(&node, [&](NodeCore* core, Outbox* outbox) {
    core->OnFinished(request, outcome, now_, WallTime(), outbox);
  });
  if (outcome == AttemptOutcome::kComplete) {
    EndRequest(request, outcome, nullptr);
  }
}

void SimulatedFleet::EndRequest(const RequestId& request, AttemptOutcome outcome,
                                const Refusal* refusal) {
  const auto open = open_.find(request);
  if (open == open_.end()) {
    return;
  }
  const OpenRequest ended = open->second;
  open_.erase(open);
  if (!ended.forwarded_for.empty()) {
    const bool not_run = refusal != nullptr && refusal->attempt == RunState::kNotRun;
    const AttemptOutcome seen = refusal == nullptr ? outcome
                                : not_run          ? AttemptOutcome::kNotRun
                                                   : AttemptOutcome::kFailedBeforeOutput;
    At(now_ + options_.delay_between_zones,
       [this, ended, seen] { Finish(ended.forwarded_by, ended.forwarded_for, seen); });
    return;
  }
  if (observer_ != nullptr) {
    observer_->OnRequestEnded(request, outcome, refusal, now_);
  }
  if (refusal != nullptr) {
    requests_.refused[refusal->code] += 1;
  } else if (outcome == AttemptOutcome::kComplete) {
    requests_.answered += 1;
  } else {
    requests_.failed += 1;
  }
}

}  // namespace hingespan::simulation
