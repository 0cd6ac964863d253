// Request processing of an engine: queue, continuous batch and token steps.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "emulator/engine.h"

namespace hingespan::emulator {
namespace {

constexpr double kTokensPerPrefillUnit = 1000.0;

std::string_view RefusalReason(GenerateResult result) {
  switch (result) {
    case GenerateResult::kNotLoaded:
      return "not_loaded";
    case GenerateResult::kOtherIncarnation:
      return "other_incarnation";
    case GenerateResult::kOverloaded:
      return "overloaded";
    case GenerateResult::kAccepted:
      break;
  }
  return "accepted";
}

}  // namespace

GenerateAnswer Engine::Generate(const GenerationRequest& request, absl::Time now) {
  Advance(now);
  Generation generation;
  generation.request = request;
  generation.prompt = ParsePrompt(request.body);
  const bool any_incarnation = request.incarnation == WorkerIncarnation();
  if (!any_incarnation && request.incarnation != gate_.incarnation()) {
    return RefuseGenerate(request, generation.prompt, GenerateResult::kOtherIncarnation);
  }
  auto replica = replicas_.find(request.model);
  const bool ready = replica != replicas_.end() && replica->second.state == ReplicaState::kReady;
  if (!ready || !BaseIsReady(replica->second)) {
    return RefuseGenerate(request, generation.prompt, GenerateResult::kNotLoaded);
  }
  if (queue_.size() >= options_.maximum_queued) {
    return RefuseGenerate(request, generation.prompt, GenerateResult::kOverloaded);
  }
  UpdateMemoryUse(now);
  generation.order = next_order_++;
  generation.stream = std::make_shared<AnswerStream>();
  streams_[request.request] = generation.stream;
  ++replica->second.queued;
  GenerateAnswer answer{GenerateResult::kAccepted, generation.stream};
  if (running_.size() >= options_.maximum_running) {
    observer_->OnEvent(Entry(EngineEvent::kGenerateQueued, generation));
  }
  auto position = std::find_if(queue_.begin(), queue_.end(), [&](const Generation& queued) {
    return queued.request.priority < request.priority;
  });
  queue_.insert(position, std::move(generation));
  StartQueued(now);
  return answer;
}

GenerateAnswer Engine::RefuseGenerate(const GenerationRequest& request, const Prompt& prompt,
                                      GenerateResult result) {
  LogEntry entry = Entry(EngineEvent::kGenerateRefused, request.model);
  entry.request = request.request;
  entry.key = prompt.key;
  entry.reason = RefusalReason(result);
  observer_->OnEvent(std::move(entry));
  return GenerateAnswer{result, nullptr};
}

void Engine::StartQueued(absl::Time now) {
  while (!queue_.empty() && running_.size() < options_.maximum_running) {
    Generation generation = std::move(queue_.front());
    queue_.pop_front();
    Start(std::move(generation), now);
  }
}

void Engine::Start(Generation generation, absl::Time now) {
  UpdateMemoryUse(now);
  Replica& replica = replicas_.at(generation.request.model);
  --replica.queued;
  ++replica.running;
  const std::string& text = generation.prompt.text;
  const std::size_t cached = prefix_cache_.Use(generation.request.model, text, now);
  const bool imported = imported_kv_.erase(generation.request.request) > 0;
  const double tokens = static_cast<double>(text.size() - cached) / kBytesPerToken;
  const absl::Duration prefill =
      imported ? absl::ZeroDuration()
               : options_.prefill_per_1k_tokens * (tokens / kTokensPerPrefillUnit);
  generation.first_token_at = now + prefill;
  observer_->OnEvent(Entry(EngineEvent::kGenerateBegin, generation));
  running_.push_back(std::move(generation));
}

std::shared_ptr<AnswerStream> Engine::FindStream(const RequestId& request) const {
  auto found = streams_.find(request);
  return found == streams_.end() ? nullptr : found->second;
}

void Engine::Cancel(const RequestId& request, absl::Time now) {
  Advance(now);
  const auto is_request = [&](const Generation& generation) {
    return generation.request.request == request;
  };
  auto queued = std::find_if(queue_.begin(), queue_.end(), is_request);
  if (queued != queue_.end()) {
    UpdateMemoryUse(now);
    const Generation generation = std::move(*queued);
    queue_.erase(queued);
    --replicas_.at(generation.request.model).queued;
    AppendLast(generation, "cancelled");
    EndGeneration(generation, "cancelled", now);
    return;
  }
  auto running = std::find_if(running_.begin(), running_.end(), is_request);
  if (running != running_.end()) {
    UpdateMemoryUse(now);
    const Generation generation = std::move(*running);
    running_.erase(running);
    --replicas_.at(generation.request.model).running;
    AppendLast(generation, "cancelled");
    EndGeneration(generation, "cancelled", now);
    StartQueued(now);
  }
}

void Engine::Advance(absl::Time now) {
  if (frozen_ || ended_) {
    return;
  }
  while (NextToken() <= now) {
    StepTo(NextToken());
  }
  FinishDueLoads(now);
  RemoveExpiredStreams(now);
}

absl::Time Engine::NextEvent() const {
  if (frozen_ || ended_) {
    return absl::InfiniteFuture();
  }
  absl::Time next = NextToken();
  for (const auto& [model, replica] : replicas_) {
    if (replica.state == ReplicaState::kLoading && BaseIsReady(replica)) {
      next = std::min(next, replica.ready_at);
    }
  }
  return next;
}

absl::Time Engine::NextToken() const {
  if (running_.empty()) {
    return absl::InfiniteFuture();
  }
  absl::Time next = next_step_;
  for (const Generation& generation : running_) {
    if (generation.tokens == 0) {
      next = std::min(next, generation.first_token_at);
    }
  }
  return next;
}

void Engine::StepTo(absl::Time now) {
  const bool step_is_due = next_step_ <= now;
  if (step_is_due) {
    EmitStep(now);
  }
  EmitFirstTokens(now);
  if (step_is_due || next_step_ == absl::InfiniteFuture()) {
    next_step_ = now + StepInterval();
  }
  EndComplete(now);
  if (running_.empty()) {
    next_step_ = absl::InfiniteFuture();
  }
}

absl::Duration Engine::StepInterval() const {
  const double others = running_.empty() ? 0.0 : static_cast<double>(running_.size() - 1);
  return options_.token_interval * (1.0 + options_.slowdown_per_stream * others);
}

void Engine::EmitStep(absl::Time now) {
  for (Generation& generation : running_) {
    if (generation.tokens > 0 && generation.first_token_at < now) {
      EmitToken(&generation);
    }
  }
}

void Engine::EmitFirstTokens(absl::Time now) {
  for (Generation& generation : running_) {
    if (generation.tokens == 0 && generation.first_token_at <= now) {
      EmitToken(&generation);
    }
  }
}

void Engine::EmitToken(Generation* generation) {
  ++generation->tokens;
  GenerationChunk chunk;
  chunk.text = absl::StrCat(generation->request.model.value(), "#",
                            generation->request.request.value(), "/", generation->tokens, " ");
  generation->stream->Append(std::move(chunk));
}

void Engine::EndComplete(absl::Time now) {
  bool any_ended = false;
  for (auto generation = running_.begin(); generation != running_.end();) {
    if (generation->tokens < generation->prompt.maximum_tokens) {
      ++generation;
      continue;
    }
    UpdateMemoryUse(now);
    const Generation ended = std::move(*generation);
    generation = running_.erase(generation);
    --replicas_.at(ended.request.model).running;
    AppendLast(ended, ended.prompt.limited ? "length" : "stop");
    EndGeneration(ended, "stop", now);
    any_ended = true;
  }
  if (any_ended) {
    StartQueued(now);
  }
}

void Engine::AppendLast(const Generation& generation, const std::string& finish_reason) {
  GenerationChunk last;
  last.last = true;
  last.finish_reason = finish_reason;
  last.prompt_tokens = generation.prompt.token_count();
  last.completion_tokens = generation.tokens;
  generation.stream->Append(std::move(last));
}

void Engine::EndGeneration(const Generation& generation, const std::string& outcome,
                           absl::Time now) {
  LogEntry entry = Entry(EngineEvent::kGenerateEnd, generation);
  entry.outcome = outcome;
  observer_->OnEvent(std::move(entry));
  const RequestId& request = generation.request.request;
  ended_streams_.push_back({now + options_.stream_retention, request, generation.stream});
  replicas_.at(generation.request.model).last_used = now;
  RemoveIfDrained(generation.request.model, now);
}

void Engine::RemoveExpiredStreams(absl::Time now) {
  while (!ended_streams_.empty() && ended_streams_.front().expires_at <= now) {
    const EndedStream& ended = ended_streams_.front();
    auto found = streams_.find(ended.request);
    if (found != streams_.end() && found->second == ended.stream) {
      streams_.erase(found);
    }
    ended_streams_.pop_front();
  }
}

}  // namespace hingespan::emulator
