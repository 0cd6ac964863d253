// Lingering close for connections whose answer was written but whose request was not read:
// discards further input for a short time before closing. Closing a socket with unread input
// resets the connection, and the caller could lose the answer.
#ifndef HINGESPAN_NET_SOCKET_LINGER_H_
#define HINGESPAN_NET_SOCKET_LINGER_H_

#include <cstddef>
#include <deque>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace hingespan {

// Time for which input of a refused caller is discarded, so that it can read the refusal.
inline constexpr absl::Duration kLingerTimeout = absl::Milliseconds(500);
// A connection is closed once this many bytes of its input were discarded.
inline constexpr std::size_t kMaximumLingerBytes = 4 << 20;
// Limit of lingering connections per server.
inline constexpr std::size_t kMaximumLingeringSockets = 256;

// Uses one thread for all sockets, started with the first socket. Thread-safe.
class SocketLinger {
 public:
  // When `maximum_sockets` is exceeded, the oldest socket is closed early.
  explicit SocketLinger(std::size_t maximum_sockets) : maximum_sockets_(maximum_sockets) {}
  // Waits for the remaining sockets, at most kLingerTimeout.
  ~SocketLinger();
  SocketLinger(const SocketLinger&) = delete;
  SocketLinger& operator=(const SocketLinger&) = delete;

  // Takes ownership of the socket, shuts down its sending side, and closes it when the caller has
  // closed its side or after kLingerTimeout. Never blocks for long.
  void Add(int socket) ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  struct Entry {
    int socket = -1;
    absl::Time until;
    std::size_t bytes = 0;
  };

  void Run() ABSL_LOCKS_EXCLUDED(mutex_);
  // Moves added sockets to `lingering_`. Returns false if none are left and none will be added.
  bool TakeAdded() ABSL_LOCKS_EXCLUDED(mutex_);
  // Waits until a socket has input, the first one must be closed, or another one was added.
  void Wait();
  // Discards input, and closes the sockets that are done.
  void DiscardAndClose();

  const std::size_t maximum_sockets_;
  absl::Mutex mutex_;
  std::deque<Entry> added_ ABSL_GUARDED_BY(mutex_);
  bool started_ ABSL_GUARDED_BY(mutex_) = false;
  bool ending_ ABSL_GUARDED_BY(mutex_) = false;
  int wake_ = -1;
  std::thread thread_;
  // Used only by `thread_`; oldest first.
  std::deque<Entry> lingering_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_SOCKET_LINGER_H_
