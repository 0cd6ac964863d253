// Drives a NodeCore in a process: timer, datagrams, calls to engines and platform, and the threads
// that serve callers. One lock guards the core; it is never held during a blocking call.
#ifndef HINGESPAN_NODE_CORE_DRIVER_H_
#define HINGESPAN_NODE_CORE_DRIVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"
#include "hingespan/backing/table_service.h"
#include "hingespan/engine/engine_client.h"
#include "hingespan/node/call_lanes.h"
#include "hingespan/node/node_core.h"
#include "hingespan/node/pending_request.h"
#include "hingespan/transport/outbox.h"
#include "hingespan/transport/udp_transport.h"

namespace hingespan {

struct CoreDriverOptions {
  absl::Duration tick_interval = absl::Milliseconds(20);
  // Tick interval while this node has no requests and knows of none that depend on its duties.
  absl::Duration idle_tick_interval = absl::Milliseconds(60);
  // Time for which the node uses the short tick interval after a message that a request may depend
  // on.
  absl::Duration busy_hold = absl::Seconds(2);
  absl::Duration engine_timeout = absl::Seconds(2);
  absl::Duration platform_timeout = absl::Seconds(2);
  CallLanesOptions engine_lanes;
  CallLanesOptions platform_lanes;
  // Maximum number of changes requested in one read of the table service.
  int changes_per_read = 512;
};

// Dependencies of the driver. All of them must outlive it.
struct CoreDriverParts {
  EngineClient* engines = nullptr;
  TableService* table = nullptr;
  MachineList* machines = nullptr;
  UdpTransport* transport = nullptr;
};

struct CoreDriverCounters {
  std::uint64_t ticks = 0;
  std::uint64_t engine_calls = 0;
  std::uint64_t engine_call_failures = 0;
  std::uint64_t platform_calls = 0;
  std::uint64_t platform_call_failures = 0;
  // Calls failed with kUnavailable because too many were waiting.
  std::uint64_t calls_rejected = 0;
  // Messages dropped because the address of the receiver is unknown.
  std::uint64_t messages_without_address = 0;
};

// Thread-safe.
class CoreDriver {
 public:
  CoreDriver(CoreOptions core, CoreDriverOptions options, CoreDriverParts parts);
  // Calls Stop.
  ~CoreDriver();
  CoreDriver(const CoreDriver&) = delete;
  CoreDriver& operator=(const CoreDriver&) = delete;

  // Starts the transport's receiver and the timer.
  void Start();
  // Stops the transport and the timer and waits for calls in flight.
  void Stop();

  // Routes a request. Its decisions are delivered to the result. Forget must be called when the
  // request ends.
  std::shared_ptr<PendingRequest> Submit(const RouteRequest& request) ABSL_LOCKS_EXCLUDED(mutex_);
  void Finish(const RequestId& request, AttemptOutcome outcome) ABSL_LOCKS_EXCLUDED(mutex_);
  void Cancel(const RequestId& request) ABSL_LOCKS_EXCLUDED(mutex_);
  void Forget(const RequestId& request) ABSL_LOCKS_EXCLUDED(mutex_);

  void BeginStop() ABSL_LOCKS_EXCLUDED(mutex_);
  bool StopComplete() const ABSL_LOCKS_EXCLUDED(mutex_);
  bool Ready() const ABSL_LOCKS_EXCLUDED(mutex_);
  // Calls `look` with the core under the lock; `look` must return quickly.
  void Inspect(const std::function<void(const NodeCore&, absl::Time now)>& look) const
      ABSL_LOCKS_EXCLUDED(mutex_);

  CoreDriverCounters counters() const ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  // A step of the core. RunStep runs it under the lock and then carries out what the core put into
  // the outbox.
  using Step = std::function<void(absl::Time now, absl::Time wall_time, Outbox* outbox)>;
  void RunStep(const Step& step) ABSL_LOCKS_EXCLUDED(mutex_);
  void DeliverDecisions() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Fills in the address of each message. Messages whose receiver is unknown keep an empty address
  // and are dropped.
  void ResolveAddresses(Outbox* outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void StartCalls(const Outbox& outbox) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Answers calls that could not be queued with kUnavailable, at the next tick.
  void AnswerRejectedCalls(absl::Time now, absl::Time wall_time, Outbox* outbox)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SendMessages(std::vector<OutgoingMessage> messages);
  void RunEngineCall(const EngineCall& call);
  void RunPlatformCall(const PlatformCall& call);
  PlatformAnswer AnswerPlatformCall(const PlatformCall& call);
  Result<EngineStatus> AnswerEngineCall(const EngineCall& call);
  void RunTimer();
  absl::Duration TickInterval() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const CoreDriverOptions options_;
  const CoreDriverParts parts_;
  mutable absl::Mutex mutex_;
  NodeCore core_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<RequestId, std::shared_ptr<PendingRequest>> pending_ ABSL_GUARDED_BY(mutex_);
  CoreDriverCounters counters_ ABSL_GUARDED_BY(mutex_);
  std::vector<EngineAnswer> rejected_engine_calls_ ABSL_GUARDED_BY(mutex_);
  std::vector<PlatformAnswer> rejected_platform_calls_ ABSL_GUARDED_BY(mutex_);
  absl::Time busy_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  Envelope envelope_;
  std::thread timer_;
  CallLanes engine_lanes_;
  CallLanes platform_lanes_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_CORE_DRIVER_H_
