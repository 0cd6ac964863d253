// TCP proxy on loopback that injects link faults: delay, reset, a cut in one direction or in both.
#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <cstddef>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"

namespace hingespan::soak {

enum class LinkFault {
  kNone,
  // Bytes arrive late in both directions.
  kDelay,
  // Open connections are reset, and new ones as soon as they are accepted.
  kReset,
  // Open connections are closed in order, as those of a process that ends; new ones are reset.
  kClose,
  // Bytes towards the target are held back.
  kCutTowardsTarget,
  // Bytes from the target are held back.
  kCutFromTarget,
  // Bytes are held back in both directions.
  kSilent,
  // New connections are refused; open ones live on.
  kRefuse,
};

// Not thread-safe; runs on its event loop. Bytes that were held back are sent when the fault ends.
class FaultProxy {
 public:
  // Listens on a port that the kernel chooses and forwards connections to `target`, "ip:port".
  FaultProxy(gateway::EventLoop* loop, const std::string& target);
  ~FaultProxy();

  std::string address() const;
  void SetFault(LinkFault fault, absl::Duration delay = absl::ZeroDuration());
  // Number of open connections that have bytes which are not sent yet.
  std::size_t HoldingConnections() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
