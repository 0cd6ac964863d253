// One emulated engine without a real model: replicas in accelerator memory, fenced orders and
// continuous batching.
#ifndef HINGESPAN_EMULATOR_ENGINE_H_
#define HINGESPAN_EMULATOR_ENGINE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "emulator/answer_stream.h"
#include "emulator/checkpoint_cache.h"
#include "emulator/event_log.h"
#include "emulator/order_gate.h"
#include "emulator/prefix_cache.h"
#include "emulator/prompt.h"
#include "emulator/weight_store.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan::emulator {

// Engine parameters; durations are emulated time.
struct EngineOptions {
  std::uint32_t memory_mib = 81920;
  // Interval between two tokens of a stream that runs alone.
  absl::Duration token_interval = absl::Milliseconds(40);
  // Relative increase of the interval for each additional running stream.
  double slowdown_per_stream = 0.01;
  absl::Duration prefill_per_1k_tokens = absl::Milliseconds(100);
  // Load time per GiB of a replica, by the tier that holds the checkpoint.
  absl::Duration memory_load_per_gib = absl::Milliseconds(50);
  absl::Duration disk_load_per_gib = absl::Milliseconds(250);
  absl::Duration remote_load_per_gib = absl::Seconds(1);
  std::uint32_t maximum_running = 64;
  std::uint32_t maximum_queued = 256;
  // Maximum age of `running` and `queued` in the status.
  absl::Duration status_lag = absl::Milliseconds(500);
  // Time for which an ended stream can still be read.
  absl::Duration stream_retention = absl::Seconds(60);
  std::uint64_t memory_cache_mib = 131072;
  std::uint64_t disk_cache_mib = 1048576;
  PrefixCacheOptions prefix_cache;
  // Test only: orders are never rejected as outdated.
  bool disable_fence_for_test = false;
};

// Receives every event of an engine.
class EngineObserver {
 public:
  virtual ~EngineObserver() = default;
  // The observer fills in the sequence, time and replica count.
  virtual void OnEvent(LogEntry entry) = 0;
  // Called before the corresponding event, with +1 for a new replica and -1 for a removed one.
  virtual void OnReplicaCount(const ModelName& model, int difference) = 0;
};

enum class OrderResult { kAccepted, kFenced, kOutOfMemory, kBaseNotLoaded };

enum class GenerateResult { kAccepted, kNotLoaded, kOtherIncarnation, kOverloaded };

struct GenerateAnswer {
  GenerateResult result = GenerateResult::kAccepted;
  // Set if the request was accepted.
  std::shared_ptr<AnswerStream> stream;
};

// Integral of allocated memory over time, by use.
struct MemoryUse {
  // Memory of replicas that are ready and run no request.
  double idle_mib_seconds = 0;
  // Memory of replicas that run at least one request.
  double busy_mib_seconds = 0;
  double loading_mib_seconds = 0;
};

// Not thread-safe. A state machine without a clock: time advances through `now`, which must not
// decrease. All running streams advance together in token steps.
class Engine {
 public:
  Engine(WorkerId worker, EngineOptions options, std::uint64_t seed, WeightStore* weight_store,
         EngineObserver* observer);

  // Orders; OrderGate describes which ones are rejected.
  OrderResult Fence(WorkerIncarnation incarnation, KeeperEpoch epoch, absl::Time now);
  OrderResult Load(const LoadOrder& order, absl::Time now);
  OrderResult Unload(const UnloadOrder& order, absl::Time now);
  OrderResult SetRole(const OrderFence& fence, const std::string& role, absl::Time now);
  EngineStatus Status(absl::Time now);

  GenerateAnswer Generate(const GenerationRequest& request, absl::Time now);
  // Returns null if the request is unknown.
  std::shared_ptr<AnswerStream> FindStream(const RequestId& request) const;
  void Cancel(const RequestId& request, absl::Time now);

  // Returns the KV cache of a request as opaque bytes; empty if the request is unknown.
  std::optional<std::string> ExportKv(const RequestId& request) const;
  // Imports a KV cache, so that the request's prefill takes no time.
  void ImportKv(const RequestId& request, std::string bytes);
  std::vector<PrefixEvent> PrefixEvents(std::uint64_t after, absl::Time now) const;
  void PreloadCache(CacheTier tier, const std::string& checkpoint, std::uint64_t size_mib);

  void Advance(absl::Time now);
  // Time of the next internal event; InfiniteFuture if idle.
  absl::Time NextEvent() const;
  // Called when the weight store has delivered a checkpoint.
  void OnTransferDone(TransferId transfer, absl::Time now);

  // Fault injection.
  // Restarts under a new incarnation, without replicas, queue or streams.
  void Restart(absl::Time now);
  // Ends the engine permanently, as when its machine is reclaimed.
  void End(absl::Time now);
  bool ended() const { return ended_; }
  // Stops or resumes the passing of time for the engine.
  void SetFrozen(bool frozen, absl::Time now);
  bool frozen() const { return frozen_; }
  // Closes the connections that carry streams; the streams continue and can be resumed.
  void BreakStreams();
  // Ends all waits for chunks when the emulator stops.
  void AbandonStreams();
  // Makes the next `count` loads end in kFailed.
  void FailLoads(int count) { loads_to_fail_ = count; }

  const WorkerId& worker() const { return worker_; }
  const EngineOptions& options() const { return options_; }
  // Tier that currently holds the checkpoint for this worker.
  CacheTier TierOf(const std::string& checkpoint) const { return cache_.TierOf(checkpoint); }
  std::uint32_t memory_used_mib() const { return memory_used_mib_; }
  MemoryUse memory_use(absl::Time now);

 private:
  struct Replica {
    ModelName base;
    std::string checkpoint;
    GrantGeneration generation;
    ReplicaState state = ReplicaState::kLoading;
    std::uint32_t memory_mib = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    absl::Time last_used;
    // Set while loading from the worker's own tiers.
    absl::Time ready_at = absl::InfiniteFuture();
    // Set while loading from the weight store.
    std::optional<TransferId> transfer;
  };
  struct Generation {
    GenerationRequest request;
    Prompt prompt;
    std::uint64_t order = 0;
    std::shared_ptr<AnswerStream> stream;
    std::uint32_t tokens = 0;
    // End of prefill, when the first token is emitted.
    absl::Time first_token_at;
  };
  struct EndedStream {
    absl::Time expires_at;
    RequestId request;
    std::shared_ptr<AnswerStream> stream;
  };
  using Replicas = absl::btree_map<ModelName, Replica>;

  OrderResult Refuse(OrderVerdict verdict, const OrderFence& fence, const ModelName& model);
  OrderResult RefuseLoad(OrderResult result, const LoadOrder& order);
  void BeginLoad(const LoadOrder& order, absl::Time now);
  void CompleteLoad(const ModelName& model, absl::Time now);
  bool BaseIsReady(const Replica& replica) const;
  void FinishDueLoads(absl::Time now);
  void RemoveReplica(Replicas::iterator replica, absl::Time now);
  void RemoveIfDrained(const ModelName& model, absl::Time now);

  GenerateAnswer RefuseGenerate(const GenerationRequest& request, const Prompt& prompt,
                                GenerateResult result);
  void StartQueued(absl::Time now);
  void Start(Generation generation, absl::Time now);
  void StepTo(absl::Time now);
  absl::Time NextToken() const;
  absl::Duration StepInterval() const;
  void EmitFirstTokens(absl::Time now);
  void EmitStep(absl::Time now);
  void EmitToken(Generation* generation);
  void EndComplete(absl::Time now);
  void EndGeneration(const Generation& generation, const std::string& outcome, absl::Time now);
  void AppendLast(const Generation& generation, const std::string& finish_reason);
  void ClearState(absl::Time now);
  void RemoveExpiredStreams(absl::Time now);

  // Adds the time since the last call to the memory use. Must be called before every change.
  void UpdateMemoryUse(absl::Time now);
  LogEntry Entry(EngineEvent event, const ModelName& model) const;
  LogEntry Entry(EngineEvent event, const Generation& generation) const;

  const WorkerId worker_;
  const EngineOptions options_;
  WeightStore* const weight_store_;
  EngineObserver* const observer_;
  OrderGate gate_;
  std::string role_ = "both";
  Replicas replicas_;
  std::uint32_t memory_used_mib_ = 0;
  CheckpointCache cache_;
  PrefixCache prefix_cache_;

  // Ordered by priority, then by arrival.
  std::list<Generation> queue_;
  std::list<Generation> running_;
  std::uint64_t next_order_ = 1;
  absl::Time next_step_ = absl::InfiniteFuture();
  absl::flat_hash_map<RequestId, std::shared_ptr<AnswerStream>> streams_;
  std::deque<EndedStream> ended_streams_;
  absl::flat_hash_map<RequestId, std::string> imported_kv_;

  // Values last reported in the status.
  absl::Time status_taken_ = absl::InfinitePast();
  std::uint32_t lagging_running_ = 0;
  std::uint32_t lagging_queued_ = 0;

  MemoryUse memory_use_;
  absl::Time memory_use_updated_at_ = absl::InfinitePast();
  bool frozen_ = false;
  bool ended_ = false;
  int loads_to_fail_ = 0;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_ENGINE_H_
