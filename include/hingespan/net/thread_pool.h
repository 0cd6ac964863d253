// Bounded pool of threads with small stacks, which start on demand and end when idle.
#ifndef HINGESPAN_NET_THREAD_POOL_H_
#define HINGESPAN_NET_THREAD_POOL_H_

#include <pthread.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace hingespan {

struct ThreadPoolOptions {
  std::size_t maximum_threads = 4;
  // Limit of tasks that wait while all threads are busy; 0 allows none.
  std::size_t maximum_queue = 64;
  // A thread ends after being idle for this long.
  absl::Duration idle_timeout = absl::Seconds(5);
  std::size_t stack_bytes = 256 * 1024;
};

// Thread-safe.
class ThreadPool {
 public:
  using Task = std::function<void()>;

  explicit ThreadPool(ThreadPoolOptions options) : options_(options) {}
  // Calls Shutdown.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  // Runs `task` on a thread of the pool. Returns false without effect if the pool is full, was shut
  // down, or can't start a thread.
  bool TrySubmit(Task task) ABSL_LOCKS_EXCLUDED(mutex_);
  // Completes all accepted tasks, then ends all threads. No further tasks are accepted.
  void Shutdown() ABSL_LOCKS_EXCLUDED(mutex_);
  // Number of tasks that are running or waiting.
  std::size_t pending() const ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  static void* Run(void* pool);
  void RunTasks() ABSL_LOCKS_EXCLUDED(mutex_);
  bool StartThread() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return shut_down_ || !queue_.empty();
  }

  const ThreadPoolOptions options_;
  mutable absl::Mutex mutex_;
  std::deque<Task> queue_ ABSL_GUARDED_BY(mutex_);
  std::size_t threads_ ABSL_GUARDED_BY(mutex_) = 0;
  // Number of tasks that are running.
  std::size_t running_ ABSL_GUARDED_BY(mutex_) = 0;
  bool shut_down_ ABSL_GUARDED_BY(mutex_) = false;
  // Threads that have ended and must be joined.
  std::vector<pthread_t> ended_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_THREAD_POOL_H_
