#include "hingespan/net/thread_pool.h"

#include <utility>

namespace hingespan {

ThreadPool::~ThreadPool() { Shutdown(); }

bool ThreadPool::TrySubmit(Task task) {
  std::vector<pthread_t> ended;
  bool accepted = false;
  {
    absl::MutexLock lock(&mutex_);
    ended.swap(ended_);
    const std::size_t capacity = options_.maximum_threads + options_.maximum_queue;
    if (!shut_down_ && running_ + queue_.size() < capacity) {
      // If no thread is idle, the task needs a new thread, unless the limit is reached.
      const bool needs_thread = running_ + queue_.size() >= threads_;
      const bool may_start = threads_ < options_.maximum_threads;
      const bool started = needs_thread && may_start && StartThread();
      if (started || !needs_thread || (threads_ > 0 && options_.maximum_queue > 0)) {
        queue_.push_back(std::move(task));
        accepted = true;
      }
    }
  }
  for (const pthread_t thread : ended) {
    pthread_join(thread, nullptr);
  }
  return accepted;
}

bool ThreadPool::StartThread() {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, options_.stack_bytes);
  pthread_t thread;
  const bool started = pthread_create(&thread, &attributes, &ThreadPool::Run, this) == 0;
  pthread_attr_destroy(&attributes);
  if (started) {
    ++threads_;
  }
  return started;
}

void* ThreadPool::Run(void* pool) {
  static_cast<ThreadPool*>(pool)->RunTasks();
  return nullptr;
}

void ThreadPool::RunTasks() {
  absl::MutexLock lock(&mutex_);
  while (true) {
    mutex_.AwaitWithTimeout(absl::Condition(this, &ThreadPool::HasWork), options_.idle_timeout);
    if (queue_.empty()) {
      // Either idle for too long, or shut down with no tasks left.
      break;
    }
    Task task = std::move(queue_.front());
    queue_.pop_front();
    ++running_;
    mutex_.Unlock();
    task();
    task = nullptr;
    mutex_.Lock();
    --running_;
  }
  --threads_;
  ended_.push_back(pthread_self());
}

void ThreadPool::Shutdown() {
  std::vector<pthread_t> ended;
  {
    absl::MutexLock lock(&mutex_);
    shut_down_ = true;
    const auto none_left = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return threads_ == 0; };
    mutex_.Await(absl::Condition(&none_left));
    ended.swap(ended_);
  }
  for (const pthread_t thread : ended) {
    pthread_join(thread, nullptr);
  }
}

std::size_t ThreadPool::pending() const {
  absl::MutexLock lock(&mutex_);
  return running_ + queue_.size();
}

}  // namespace hingespan
