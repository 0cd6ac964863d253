// Relays datagrams to a target and back with a delay, and drops them when the link is cut.
#ifndef HINGESPAN_EMULATOR_UDP_RELAY_H_
#define HINGESPAN_EMULATOR_UDP_RELAY_H_

#include <netinet/in.h>

#include <deque>
#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "emulator/link_state.h"
#include "emulator/relay_loop.h"

namespace hingespan::emulator {

// Uses a separate socket towards the target for each sender, so that answers can be returned to it.
// All calls require the loop's mutex.
class UdpRelay : public RelayHandler {
 public:
  UdpRelay(RelayLoop* loop, LinkState state);
  ~UdpRelay() override;

  // Returns false if no port is available.
  bool Listen(const std::string& ip);
  // Returns the relay's own address as "ip:port".
  std::string address() const;
  void SetTarget(const sockaddr_in& target);
  void SetState(LinkState state);

 private:
  struct Datagram {
    absl::Time release;
    int socket = -1;
    sockaddr_in destination{};
    std::string bytes;
  };

  void OnReadable(int socket, absl::Time now) override;
  void OnWritable(int, absl::Time) override {}
  void OnTimer(absl::Time now) override;

  void Forward(int arrived_on, const sockaddr_in& sender, std::string bytes, absl::Time now);
  // Returns the socket towards the target for this sender; negative if none can be opened.
  int UpstreamFor(const sockaddr_in& sender);
  void SendDue(absl::Time now);
  void CloseUpstreams();

  RelayLoop* const loop_;
  RelayHandlerId id_;
  LinkState state_;
  std::string ip_;
  int listener_ = -1;
  sockaddr_in target_{};
  std::map<std::string, int> upstream_by_sender_;
  absl::flat_hash_map<int, sockaddr_in> sender_by_upstream_;
  std::deque<Datagram> queue_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_UDP_RELAY_H_
