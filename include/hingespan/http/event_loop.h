// Single-threaded event loop for sockets, timers and signals, implemented with Boost.Asio.
#ifndef HINGESPAN_HTTP_EVENT_LOOP_H_
#define HINGESPAN_HTTP_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "absl/time/time.h"

namespace boost::asio {
class io_context;
}

namespace hingespan::gateway {

// One-shot timer. Destroying it cancels the pending callback.
class LoopTimer {
 public:
  virtual ~LoopTimer() = default;
  // Replaces any pending callback.
  virtual void Set(absl::Time when, std::function<void()> callback) = 0;
  virtual void Cancel() = 0;
};

// Not thread-safe: all users of a loop must run on the thread that is inside Run().
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Time of the steady clock; only differences between two values are meaningful.
  absl::Time Now() const;
  std::unique_ptr<LoopTimer> MakeTimer();
  // Queues `task` to run on the loop; never runs it within this call.
  void Post(std::function<void()> task);
  // Calls `callback` each time the signal arrives.
  void OnSignal(int signal, std::function<void()> callback);
  void Run();
  // For tests: runs until `done` returns true or `limit` has passed. Returns false on the limit.
  bool RunUntil(const std::function<bool()>& done, absl::Duration limit);
  void Stop();

  boost::asio::io_context& context();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_EVENT_LOOP_H_
