// One hingespan node as a process: creates the parts from the settings, runs them, and stops them
// in order.
#ifndef HINGESPAN_NODE_DAEMON_H_
#define HINGESPAN_NODE_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "hingespan/common/result.h"
#include "hingespan/settings/node_settings.h"

namespace hingespan {

struct DaemonAddresses {
  // Addresses as "ip:port", with the ports that the kernel assigned.
  std::string http;
  std::string control;
};

// Start and Run must be called on one thread. BeginStop and StopNow are thread-safe.
class Daemon {
 public:
  explicit Daemon(NodeSettings settings);
  // Stops immediately if the node is still running.
  ~Daemon();

  // Binds the listening addresses, then serves. Errors: kPermissionDenied (an address is not
  // loopback, and TLS or the cluster key is missing), kInvalidArgument, kUnavailable (an address is
  // in use).
  Result<DaemonAddresses> Start();
  // Begins the planned stop. Has no effect if it has already begun.
  void BeginStop();
  // Makes Run return immediately.
  void StopNow();
  // Blocks until a stop has ended: a planned stop, within the stop timeout of the settings, or an
  // immediate one. Calls `on_ready` once, when the node is ready for callers. Returns false if
  // requests were cut off.
  bool Run(const std::function<void()>& on_ready);

 private:
  struct Parts;

  Result<DaemonAddresses> Bind();
  // Waits until all requests have ended and the hand-over is announced. Returns false if the stop
  // timeout ran out or StopNow was called.
  bool WaitForStop();
  void Announce(bool leaving);

  NodeSettings settings_;
  std::unique_ptr<Parts> parts_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_DAEMON_H_
