// Thread pool of the HTTP servers that starts threads on demand, up to a limit.
#ifndef HINGESPAN_EMULATOR_GROWING_TASK_QUEUE_H_
#define HINGESPAN_EMULATOR_GROWING_TASK_QUEUE_H_

#include <httplib.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace hingespan::emulator {

// Thread-safe. Started threads run until shutdown.
class GrowingTaskQueue : public httplib::TaskQueue {
 public:
  explicit GrowingTaskQueue(int thread_limit) : thread_limit_(thread_limit) {}

  void enqueue(std::function<void()> task) override;
  // Runs the queued tasks, then joins all threads.
  void shutdown() override;

 private:
  void Run();

  const int thread_limit_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  int idle_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_GROWING_TASK_QUEUE_H_
