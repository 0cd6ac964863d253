// Typed client interface to a model engine. The engine itself enforces fencing; see OrderFence.
#ifndef HINGESPAN_ENGINE_ENGINE_CLIENT_H_
#define HINGESPAN_ENGINE_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/result.h"

namespace hingespan {

// Storage tier that holds a checkpoint for a worker; nearer tiers load faster.
enum class CacheTier { kMemory, kDisk, kRemote };

// kDraining: an unload was ordered; running requests finish and new ones are rejected.
enum class ReplicaState { kLoading, kReady, kDraining, kFailed };

// Fencing token that every order carries. The engine rejects an order with kFenced if it names
// another incarnation, an epoch below the highest seen, or a sequence that is not above the highest
// seen for its model in this epoch. It also rejects a load whose generation is below the highest
// seen for its model.
struct OrderFence {
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  OrderSequence sequence;
  GrantGeneration generation;
};

struct EngineReplica {
  ModelName model;
  GrantGeneration generation;
  ReplicaState state = ReplicaState::kLoading;
  std::uint32_t memory_mib = 0;
  std::uint32_t running = 0;
  // Milliseconds since the last request began or ended; 0 while a request is running.
  std::uint64_t idle_ms = 0;
};

struct CachedCheckpoint {
  std::string checkpoint;
  CacheTier tier = CacheTier::kRemote;
};

// Status that an engine reports about itself. Load figures may be stale.
struct EngineStatus {
  WorkerIncarnation incarnation;
  KeeperEpoch epoch;
  // "decode", "prefill" or "both".
  std::string role;
  std::uint32_t memory_mib = 0;
  std::uint32_t memory_used_mib = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::vector<EngineReplica> replicas;
  // Checkpoints held in memory or on disk; all others are remote.
  std::vector<CachedCheckpoint> cached;
};

struct LoadOrder {
  OrderFence fence;
  ModelName model;
  ModelName base;  // For adapters: the base model, which must already be loaded.
  std::string checkpoint;
  std::uint32_t memory_mib = 0;
};

// Unloads the replica once its running requests have finished. A `fence.generation` above the
// grant's own invalidates every earlier load order of the model (revocation).
struct UnloadOrder {
  OrderFence fence;
  ModelName model;
};

struct GenerationRequest {
  RequestId request;
  ModelName model;
  // "chat" or "completion"; `body` is the caller's JSON, passed through unchanged.
  std::string kind;
  std::string body;
  int priority = 0;
  WorkerIncarnation incarnation;
  // If finite, the deadline of Generate applies to the first chunk only, and each later chunk must
  // arrive within this time of the previous one. If infinite, the deadline applies to the whole
  // answer.
  absl::Duration idle_limit = absl::InfiniteDuration();
  // Called before each wait for more data once the engine's answer has begun. May be null.
  std::function<void()> before_wait;
  // Polled a few times per second while the engine sends nothing; returning true cancels the
  // request. May be null.
  std::function<bool()> cancelled;
};

// One chunk of a streamed answer. Sequence numbers start at 1 and have no gaps.
struct GenerationChunk {
  std::uint64_t sequence = 0;
  std::string text;
  // Terminal marker: no chunk follows, and `finish_reason` is set.
  bool last = false;
  std::string finish_reason;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  // True if the client calls `before_wait` before it waits for more data. The sink may then buffer
  // this chunk until that call and forward all chunks that arrived together in one write.
  bool wait_is_announced = false;
};

// Outcome of a generation. kNotRun is reported only if the engine provably never ran it.
enum class GenerationOutcome { kComplete, kNotRun, kMayHaveRun, kCancelled };

struct GenerationResult {
  GenerationOutcome outcome = GenerationOutcome::kNotRun;
  std::error_code error;
  std::uint64_t last_sequence = 0;
};

// Called for each chunk in order; returning false cancels the generation.
using ChunkSink = std::function<bool(const GenerationChunk&)>;

// Implementations are thread-safe; calls block for at most their timeout. `base_url` identifies the
// engine.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  // Raises the engine's keeper epoch to `epoch` if it is higher than the current one and returns
  // the inventory under it; otherwise returns kFenced and changes nothing.
  virtual Result<EngineStatus> Fence(const std::string& base_url, WorkerIncarnation incarnation,
                                     KeeperEpoch epoch, absl::Duration timeout) = 0;
  virtual Result<EngineStatus> Status(const std::string& base_url, absl::Duration timeout) = 0;
  // Load and Unload return the status after the order was accepted; the work continues in the
  // background.
  virtual Result<EngineStatus> Load(const std::string& base_url, const LoadOrder& order,
                                    absl::Duration timeout) = 0;
  virtual Result<EngineStatus> Unload(const std::string& base_url, const UnloadOrder& order,
                                      absl::Duration timeout) = 0;
  // Streams an answer; resumes a broken stream by sequence number until `deadline`, a time of
  // Clock::Now. Spec action: Tick (a running request ends by its deadline).
  virtual GenerationResult Generate(const std::string& base_url, const GenerationRequest& request,
                                    absl::Time deadline, const ChunkSink& sink) = 0;
  virtual void Cancel(const std::string& base_url, const RequestId& request) = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_ENGINE_ENGINE_CLIENT_H_
