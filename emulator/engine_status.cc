// Status, fault injection and log entries of an engine.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "emulator/engine.h"

namespace hingespan::emulator {

EngineStatus Engine::Status(absl::Time now) {
  Advance(now);
  EngineStatus status;
  status.incarnation = gate_.incarnation();
  status.epoch = gate_.epoch();
  status.role = role_;
  status.memory_mib = options_.memory_mib;
  status.memory_used_mib = memory_used_mib_;
  status.cached = cache_.List();
  for (const auto& [model, replica] : replicas_) {
    EngineReplica shown;
    shown.model = model;
    shown.generation = replica.generation;
    shown.state = replica.state;
    shown.memory_mib = replica.memory_mib;
    shown.running = replica.running;
    const bool in_use = replica.running > 0 || replica.queued > 0;
    const absl::Duration idle = in_use ? absl::ZeroDuration() : now - replica.last_used;
    shown.idle_ms = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(idle));
    status.replicas.push_back(std::move(shown));
  }
  if (now - status_taken_ >= options_.status_lag) {
    status_taken_ = now;
    lagging_running_ = static_cast<std::uint32_t>(running_.size());
    lagging_queued_ = static_cast<std::uint32_t>(queue_.size());
  }
  status.running = lagging_running_;
  status.queued = lagging_queued_;
  return status;
}

std::optional<std::string> Engine::ExportKv(const RequestId& request) const {
  auto imported = imported_kv_.find(request);
  if (imported != imported_kv_.end()) {
    return imported->second;
  }
  if (!streams_.contains(request)) {
    return std::nullopt;
  }
  return absl::StrCat("kv:", worker_.value(), ":", request.value());
}

void Engine::ImportKv(const RequestId& request, std::string bytes) {
  imported_kv_[request] = std::move(bytes);
}

std::vector<PrefixEvent> Engine::PrefixEvents(std::uint64_t after, absl::Time now) const {
  return prefix_cache_.EventsAfter(after, now);
}

void Engine::PreloadCache(CacheTier tier, const std::string& checkpoint, std::uint64_t size_mib) {
  if (tier == CacheTier::kMemory) {
    cache_.Put(checkpoint, size_mib);
  } else if (tier == CacheTier::kDisk) {
    cache_.PutOnDisk(checkpoint, size_mib);
  }
}

MemoryUse Engine::memory_use(absl::Time now) {
  UpdateMemoryUse(now);
  return memory_use_;
}

void Engine::UpdateMemoryUse(absl::Time now) {
  if (memory_use_updated_at_ != absl::InfinitePast() && now > memory_use_updated_at_) {
    const double seconds = absl::ToDoubleSeconds(now - memory_use_updated_at_);
    for (const auto& [model, replica] : replicas_) {
      const double mib_seconds = replica.memory_mib * seconds;
      if (replica.state == ReplicaState::kLoading) {
        memory_use_.loading_mib_seconds += mib_seconds;
      } else if (replica.running > 0) {
        memory_use_.busy_mib_seconds += mib_seconds;
      } else {
        memory_use_.idle_mib_seconds += mib_seconds;
      }
    }
  }
  memory_use_updated_at_ = std::max(memory_use_updated_at_, now);
}

// --- Faults -------------------------------------------------------------------------------------

void Engine::Restart(absl::Time now) {
  ClearState(now);
  gate_ = OrderGate(gate_.incarnation().Next(), options_.disable_fence_for_test);
  cache_.ClearMemory();
  frozen_ = false;
  observer_->OnEvent(Entry(EngineEvent::kEngineRestart, ModelName()));
}

void Engine::End(absl::Time now) {
  ClearState(now);
  ended_ = true;
  frozen_ = false;
  observer_->OnEvent(Entry(EngineEvent::kEngineEnded, ModelName()));
}

void Engine::ClearState(absl::Time now) {
  UpdateMemoryUse(now);
  for (const Generation& generation : running_) {
    LogEntry entry = Entry(EngineEvent::kGenerateEnd, generation);
    entry.outcome = "engine_ended";
    observer_->OnEvent(std::move(entry));
  }
  running_.clear();
  queue_.clear();
  next_step_ = absl::InfiniteFuture();
  AbandonStreams();
  streams_.clear();
  ended_streams_.clear();
  imported_kv_.clear();
  for (const auto& [model, replica] : replicas_) {
    if (replica.transfer.has_value()) {
      weight_store_->Abort(*replica.transfer, now);
    }
    if (replica.state != ReplicaState::kFailed) {
      observer_->OnReplicaCount(model, -1);
    }
    prefix_cache_.Drop(model, now);
  }
  replicas_.clear();
  memory_used_mib_ = 0;
}

void Engine::SetFrozen(bool frozen, absl::Time now) {
  if (!frozen && frozen_) {
    // Steps that came due while frozen are not caught up.
    for (Generation& generation : running_) {
      generation.first_token_at = std::max(generation.first_token_at, now);
    }
    if (next_step_ != absl::InfiniteFuture()) {
      next_step_ = std::max(next_step_, now);
    }
  }
  frozen_ = frozen;
}

void Engine::BreakStreams() {
  for (const auto& [request, stream] : streams_) {
    stream->BreakConnections();
  }
}

void Engine::AbandonStreams() {
  for (const auto& [request, stream] : streams_) {
    stream->Abandon();
  }
}

// --- Log ----------------------------------------------------------------------------------------

LogEntry Engine::Entry(EngineEvent event, const ModelName& model) const {
  LogEntry entry;
  entry.worker = worker_;
  entry.incarnation = gate_.incarnation();
  entry.event = event;
  entry.model = model;
  entry.epoch = gate_.epoch();
  entry.memory_used_mib = memory_used_mib_;
  auto replica = replicas_.find(model);
  if (replica != replicas_.end()) {
    entry.generation = replica->second.generation;
  }
  return entry;
}

LogEntry Engine::Entry(EngineEvent event, const Generation& generation) const {
  LogEntry entry = Entry(event, generation.request.model);
  entry.request = generation.request.request;
  entry.key = generation.prompt.key;
  return entry;
}

}  // namespace hingespan::emulator
