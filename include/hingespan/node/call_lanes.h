// Runs blocking calls on a bounded thread pool. The calls of one lane run in order, one at a time,
// so that a slow lane delays only itself.
#ifndef HINGESPAN_NODE_CALL_LANES_H_
#define HINGESPAN_NODE_CALL_LANES_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "hingespan/net/thread_pool.h"

namespace hingespan {

struct CallLanesOptions {
  // Lanes that run concurrently.
  std::size_t maximum_threads = 8;
  // Maximum number of waiting and running calls in one lane, and in all lanes together.
  std::size_t maximum_per_lane = 16;
  std::size_t maximum_calls = 512;
};

// Thread-safe.
class CallLanes {
 public:
  using Call = std::function<void()>;

  explicit CallLanes(CallLanesOptions options);
  // Calls Shutdown.
  ~CallLanes();

  // Queues the call. Returns false without any effect if the lane is full, if all lanes together
  // are full, or after Shutdown.
  bool TrySubmit(const std::string& lane, Call call) ABSL_LOCKS_EXCLUDED(mutex_);
  // Runs the calls that were accepted, then joins all threads.
  void Shutdown();
  // Returns the number of waiting and running calls.
  std::size_t pending() const ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  void RunLane(const std::string& lane) ABSL_LOCKS_EXCLUDED(mutex_);

  const CallLanesOptions options_;
  mutable absl::Mutex mutex_;
  // Calls of each lane that has any. The first call of a lane is running or about to run.
  absl::flat_hash_map<std::string, std::deque<Call>> lanes_ ABSL_GUARDED_BY(mutex_);
  std::size_t calls_ ABSL_GUARDED_BY(mutex_) = 0;
  ThreadPool threads_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_CALL_LANES_H_
