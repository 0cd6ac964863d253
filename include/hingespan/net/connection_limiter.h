// Bounded task queue for cpp-httplib, whose own queue is unbounded. Connections up to a limit are
// served; further ones are refused on a second, smaller pool; any beyond that are closed on the
// accepting thread, which must not block on them.
//
// Includes httplib, so include this header only from .cc files.
#ifndef HINGESPAN_NET_CONNECTION_LIMITER_H_
#define HINGESPAN_NET_CONNECTION_LIMITER_H_

#include <httplib.h>

#include <atomic>
#include <cstddef>
#include <functional>

#include "hingespan/net/thread_pool.h"

namespace hingespan {

// Decision about a new connection. kClose closes it immediately and answers only if that can be
// done without waiting.
enum class ConnectionAdmission { kServe, kRefuse, kClose };

class ConnectionLimiter : public httplib::TaskQueue {
 public:
  ConnectionLimiter(std::size_t maximum_connections, std::size_t maximum_refusals);

  // Called by the accepting thread. The task reads CurrentAdmission().
  void enqueue(std::function<void()> task) override;
  // Blocks until all connections have ended.
  void shutdown() override;

  // Returns the decision for the connection whose task runs on the calling thread.
  static ConnectionAdmission CurrentAdmission();
  // True when three quarters of the connections are in use; idle ones should then be closed.
  bool near_limit() const { return serving_.pending() * 4 >= maximum_connections_ * 3; }

 private:
  const std::size_t maximum_connections_;
  ThreadPool serving_;
  ThreadPool refusing_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_CONNECTION_LIMITER_H_
