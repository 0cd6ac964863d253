// Thread that waits for the sockets and timers of all relays.
#ifndef HINGESPAN_EMULATOR_RELAY_LOOP_H_
#define HINGESPAN_EMULATOR_RELAY_LOOP_H_

#include <atomic>
#include <cstdint>
#include <thread>
#include <utility>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/common/clock.h"

namespace hingespan::emulator {

// Called by the loop with its mutex held. Sockets are non-blocking; calls may be spurious.
class RelayHandler {
 public:
  virtual ~RelayHandler() = default;
  virtual void OnReadable(int socket, absl::Time now) = 0;
  virtual void OnWritable(int socket, absl::Time now) = 0;
  virtual void OnTimer(absl::Time now) = 0;
};

using RelayHandlerId = std::uint64_t;

// Socket events to wait for.
struct SocketInterest {
  bool readable = true;
  bool writable = false;
};

// All calls except Start and Stop require the mutex, which also guards every relay.
class RelayLoop {
 public:
  explicit RelayLoop(Clock* clock);
  ~RelayLoop();

  void Start();
  void Stop();

  absl::Mutex& mutex() { return mutex_; }
  absl::Time Now() { return clock_->Now(); }

  RelayHandlerId AddHandler(RelayHandler* handler);
  // The handler's sockets must have been removed before.
  void RemoveHandler(RelayHandlerId id);
  void Watch(RelayHandlerId id, int socket, SocketInterest interest);
  // Stops watching the socket and closes it.
  void CloseSocket(int socket);
  void CallAt(RelayHandlerId id, absl::Time when);

 private:
  void Run();
  int WaitMilliseconds() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RunTimers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  RelayHandler* HandlerOf(int socket) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Wake();

  Clock* const clock_;
  const int epoll_;
  const int wake_event_;
  std::atomic<bool> stopping_ = false;
  absl::Mutex mutex_;
  RelayHandlerId next_id_ = 1;
  absl::flat_hash_map<RelayHandlerId, RelayHandler*> handlers_;
  absl::flat_hash_map<int, RelayHandlerId> sockets_;
  absl::btree_set<std::pair<absl::Time, RelayHandlerId>> timers_;
  std::thread thread_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_RELAY_LOOP_H_
