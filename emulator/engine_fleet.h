// All engines of the emulator and the weight store they share, driven by one thread.
#ifndef HINGESPAN_EMULATOR_ENGINE_FLEET_H_
#define HINGESPAN_EMULATOR_ENGINE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/synchronization/mutex.h"
#include "emulator/emulated_clock.h"
#include "emulator/engine.h"
#include "emulator/event_log.h"
#include "emulator/weight_store.h"

namespace hingespan::emulator {

struct CheckpointPreload {
  CacheTier tier = CacheTier::kDisk;
  std::string checkpoint;
  std::uint64_t size_mib = 0;
};

struct FleetWorker {
  WorkerId worker;
  EngineOptions options;
  std::vector<CheckpointPreload> preloads;
};

struct FleetOptions {
  std::vector<FleetWorker> workers;
  WeightStoreOptions weight_store;
  std::uint64_t seed = 1;
};

enum class AccessResult {
  kReached,
  kUnknownWorker,
  // The machine was reclaimed.
  kEnded,
  kStopping,
};

struct FleetTotals {
  MemoryUse memory_use;
  int weight_store_peak_concurrency = 0;
};

// Thread-safe. Idle engines use no processor time: the thread sleeps until the next event.
class EngineFleet : private EngineObserver {
 public:
  using Call = absl::FunctionRef<void(Engine& engine, absl::Time now)>;
  using DelayedCall = std::function<void(Engine& engine, absl::Time now)>;

  // `clock` and `log` must outlive the fleet. `on_overcommit` is called under the fleet's lock
  // after the overcommit was logged; it may exit the program.
  EngineFleet(FleetOptions options, EmulatedClock* clock, EventLog* log,
              std::function<void(const LogEntry&)> on_overcommit);
  ~EngineFleet() override;

  void Start();
  // Ends all streams and waits, then joins the thread.
  void Stop();

  // Calls `call` with the engine under the fleet's lock, after waiting while the engine is frozen.
  AccessResult Use(const WorkerId& worker, Call call);
  // Calls `call` even if the engine is frozen or its machine is gone; used for fault injection.
  AccessResult InjectFault(const WorkerId& worker, Call call);
  // Calls `call` after `delay` of emulated time, unless the machine is gone by then.
  void UseAfter(const WorkerId& worker, absl::Duration delay, DelayedCall call);

  void SetWeightStoreSlowdown(double factor);
  FleetTotals totals();

 private:
  struct Member {
    std::unique_ptr<Engine> engine;
    absl::Time scheduled = absl::InfiniteFuture();
  };
  struct PendingCall {
    WorkerId worker;
    DelayedCall call;
  };

  void OnEvent(LogEntry entry) override;
  void OnReplicaCount(const ModelName& model, int difference) override;

  void Run();
  absl::Time NextEvent() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RunDue(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RunPendingCalls(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void DeliverTransfers(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Must be called after every change of an engine.
  void Reschedule(const WorkerId& worker, Member* member) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void WakeIfEarlier() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  EmulatedClock* const clock_;
  EventLog* const log_;
  const std::function<void(const LogEntry&)> on_overcommit_;
  absl::Mutex mutex_;
  // Signalled when the thread must check its schedule again, and when an engine was unfrozen.
  absl::CondVar schedule_changed_;
  absl::CondVar reachability_changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time sleeping_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  WeightStore weight_store_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<WorkerId, Member> members_ ABSL_GUARDED_BY(mutex_);
  absl::btree_set<std::pair<absl::Time, WorkerId>> schedule_ ABSL_GUARDED_BY(mutex_);
  std::multimap<absl::Time, PendingCall> pending_calls_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<ModelName, int> replica_counts_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_ENGINE_FLEET_H_
