// One thread's event loop: sockets, timers and signals all run on it. Boost.Asio behind it.
#ifndef HINGESPAN_HTTP_EVENT_LOOP_H_
#define HINGESPAN_HTTP_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "absl/time/time.h"

namespace boost::asio {
class io_context;
}

namespace hingespan::gateway {

// Calls back once at an instant unless cancelled before. Destroying it cancels it.
class LoopTimer {
 public:
  virtual ~LoopTimer() = default;
  // Replaces what was set before.
  virtual void Set(absl::Time when, std::function<void()> callback) = 0;
  virtual void Cancel() = 0;
};

// Not thread-safe: everything that uses a loop runs on the thread inside Run().
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The steady clock; only differences mean anything.
  absl::Time Now() const;
  std::unique_ptr<LoopTimer> MakeTimer();
  // Runs `task` soon, not within this call.
  void Post(std::function<void()> task);
  // Calls back each time the signal arrives.
  void OnSignal(int signal, std::function<void()> callback);
  void Run();
  // Runs until `done` is true or `limit` is reached; for tests. Returns whether it is true.
  bool RunUntil(const std::function<bool()>& done, absl::Duration limit);
  void Stop();

  boost::asio::io_context& context();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_EVENT_LOOP_H_
