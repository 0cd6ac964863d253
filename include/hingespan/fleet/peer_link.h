// Sends and receives datagrams between nodes. Receivers must handle lost, late and duplicate
// datagrams.
#ifndef HINGESPAN_FLEET_PEER_LINK_H_
#define HINGESPAN_FLEET_PEER_LINK_H_

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "absl/strings/string_view.h"
#include "hingespan/http/event_loop.h"

namespace hingespan::gateway {

// Not thread-safe; runs on the thread of its event loop.
class PeerLink {
 public:
  using Receiver = std::function<void(absl::string_view bytes)>;

  PeerLink(EventLoop* loop, Receiver receiver);
  ~PeerLink();
  // Binds to "ip:port"; port 0 lets the kernel choose a port.
  std::error_code Listen(const std::string& address);
  std::string address() const;
  // Sends without waiting; drops the datagram if it can't be sent.
  void Send(const std::string& address, absl::string_view bytes);

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_PEER_LINK_H_
