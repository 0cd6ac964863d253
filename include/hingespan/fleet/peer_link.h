// Datagrams between nodes. Lost, late and repeated datagrams are the receivers' business.
#ifndef HINGESPAN_FLEET_PEER_LINK_H_
#define HINGESPAN_FLEET_PEER_LINK_H_

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "absl/strings/string_view.h"
#include "hingespan/http/event_loop.h"

namespace hingespan::gateway {

// Not thread-safe; lives on its loop.
class PeerLink {
 public:
  using Receiver = std::function<void(absl::string_view bytes)>;

  PeerLink(EventLoop* loop, Receiver receiver);
  ~PeerLink();
  // "ip:port"; port 0 lets the kernel choose.
  std::error_code Listen(const std::string& address);
  std::string address() const;
  // Sends at once or not at all.
  void Send(const std::string& address, absl::string_view bytes);

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_PEER_LINK_H_
