// A loopback proxy for TCP whose link can be harmed from outside: delayed, reset, cut one way or
// silenced.
#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"

namespace hingespan::soak {

enum class LinkFault {
  kNone,
  // Bytes arrive late, both ways.
  kDelay,
  // Open connections are reset, and new ones as soon as they come.
  kReset,
  // Bytes towards the target are held back.
  kCutTowardsTarget,
  // Bytes from the target are held back.
  kCutFromTarget,
  // Both ways.
  kSilent,
};

// Not thread-safe; lives on its loop. Bytes that were held back pass when the fault ends.
class FaultProxy {
 public:
  // Listens on a port of the kernel's choice and passes connections on to `target`, "ip:port".
  FaultProxy(gateway::EventLoop* loop, const std::string& target);
  ~FaultProxy();

  std::string address() const;
  void SetFault(LinkFault fault, absl::Duration delay = absl::ZeroDuration());

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
