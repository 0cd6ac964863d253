// The engines' log of actual events, against which tests and experiments verify what is reported.
#ifndef HINGESPAN_EMULATOR_EVENT_LOG_H_
#define HINGESPAN_EMULATOR_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"

namespace hingespan::emulator {

enum class EngineEvent {
  kGenerateQueued,
  kGenerateBegin,
  kGenerateEnd,
  kGenerateRefused,
  kLoadBegin,
  kLoadReady,
  kLoadFailed,
  kUnloaded,
  kOrderRefused,
  kOvercommit,
  kEngineRestart,
  kEngineEnded,
  kFenced,
};

// Returns the event's name on the wire, e.g. "generate_begin".
std::string_view EngineEventName(EngineEvent event);

struct LogEntry {
  std::uint64_t sequence = 0;
  // Wall-clock time.
  absl::Time at;
  WorkerId worker;
  WorkerIncarnation incarnation;
  EngineEvent event = EngineEvent::kFenced;
  ModelName model;
  RequestId request;
  IdempotencyKey key;
  GrantGeneration generation;
  KeeperEpoch epoch;
  std::uint32_t memory_used_mib = 0;
  // Replicas of `model` (loading, ready or draining) over all engines after the event.
  std::uint32_t replicas_of_model = 0;
  // Reason for rejecting an order or a request.
  std::string reason;
  // Set for kGenerateEnd: "stop", "cancelled" or "engine_ended".
  std::string outcome;
};

// Filter for entries; empty fields match everything.
struct LogFilter {
  std::optional<std::string> event;
  WorkerId worker;
  ModelName model;
  RequestId request;
};

// Counters over the whole run; not affected by the removal of old entries.
struct LogTotals {
  std::uint64_t overcommits = 0;
  std::uint64_t loads_begun = 0;
  std::map<ModelName, std::uint32_t> maximum_replicas;
  std::map<RequestId, std::uint32_t> runs;
  std::map<IdempotencyKey, std::uint32_t> runs_by_key;
};

// Thread-safe. Keeps the newest entries in memory.
class EventLog {
 public:
  explicit EventLog(std::size_t entry_limit) : entry_limit_(entry_limit) {}

  // Appends the entry and assigns its sequence number, starting at 1.
  void Append(LogEntry entry);
  // Returns at most `limit` entries after `after`, oldest first.
  std::vector<LogEntry> After(std::uint64_t after, std::size_t limit) const;
  // Returns the first matching entry after `after`; waits up to `timeout` for one.
  std::optional<LogEntry> WaitFor(std::uint64_t after, const LogFilter& filter,
                                  absl::Duration timeout);
  // Ends all current and future waits.
  void Stop();
  LogTotals totals() const;

 private:
  std::size_t IndexAfter(std::uint64_t after) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Count(const LogEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::size_t entry_limit_;
  mutable absl::Mutex mutex_;
  absl::CondVar appended_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::uint64_t last_sequence_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<LogEntry> entries_ ABSL_GUARDED_BY(mutex_);
  LogTotals totals_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_EVENT_LOG_H_
