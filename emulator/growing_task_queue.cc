#include "emulator/growing_task_queue.h"

#include <utility>

namespace hingespan::emulator {

void GrowingTaskQueue::enqueue(std::function<void()> task) {
  absl::MutexLock lock(&mutex_);
  tasks_.push_back(std::move(task));
  const bool enough_idle = tasks_.size() <= static_cast<std::size_t>(idle_threads_);
  const bool may_grow = threads_.size() < static_cast<std::size_t>(thread_limit_);
  if (!enough_idle && may_grow && !stopping_) {
    threads_.emplace_back([this] { Run(); });
  }
  changed_.Signal();
}

void GrowingTaskQueue::shutdown() {
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    threads.swap(threads_);
    changed_.SignalAll();
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void GrowingTaskQueue::Run() {
  while (true) {
    std::function<void()> task;
    {
      absl::MutexLock lock(&mutex_);
      ++idle_threads_;
      while (tasks_.empty() && !stopping_) {
        changed_.Wait(&mutex_);
      }
      --idle_threads_;
      if (tasks_.empty()) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

}  // namespace hingespan::emulator
