// Threads with small stacks, so that many blocking calls need little memory.
#ifndef HINGESPAN_LOAD_SMALL_STACK_THREADS_H_
#define HINGESPAN_LOAD_SMALL_STACK_THREADS_H_

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace hingespan::load {

// Runs one function on a fixed number of threads. Not thread-safe.
class SmallStackThreads {
 public:
  static constexpr std::size_t kStackBytes = 256 * 1024;

  // Starts up to `count` threads; `count()` returns how many were started.
  SmallStackThreads(int count, std::function<void()> body);
  // Waits for all threads to end.
  ~SmallStackThreads();
  SmallStackThreads(const SmallStackThreads&) = delete;
  SmallStackThreads& operator=(const SmallStackThreads&) = delete;

  void Join();
  std::size_t count() const { return threads_.size(); }

 private:
  static void* Start(void* self);

  const std::function<void()> body_;
  std::vector<pthread_t> threads_;
};

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_SMALL_STACK_THREADS_H_
