// Links between zones: a pair of relays for each node and each other zone that may call it.
#ifndef HINGESPAN_EMULATOR_ZONE_LINKS_H_
#define HINGESPAN_EMULATOR_ZONE_LINKS_H_

#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include "emulator/link_state.h"
#include "emulator/relay_loop.h"
#include "emulator/tcp_relay.h"
#include "emulator/udp_relay.h"
#include "hingespan/backing/machine_list.h"

namespace hingespan::emulator {

// Thread-safe.
class ZoneLinks {
 public:
  // `initial` is the state of every link that has not been set.
  ZoneLinks(std::string ip, LinkState initial, Clock* clock);
  ~ZoneLinks();

  void Start() { loop_.Start(); }
  void Stop() { loop_.Stop(); }

  // Creates or retargets the relays from `zone` to a node in another zone. Returns kInvalidArgument
  // if an address of the node is invalid, and kUnavailable if no port is available.
  std::error_code Connect(const ZoneId& zone, const NodeMachine& node);
  // Return the relays' addresses; the node's own if it was never connected.
  std::string HttpAddress(const ZoneId& zone, const NodeMachine& node);
  std::string ControlAddress(const ZoneId& zone, const NodeMachine& node);

  // Sets the state of both directions.
  void SetState(const ZoneId& one, const ZoneId& other, LinkState state);

 private:
  struct Relays {
    ZoneId node_zone;
    std::unique_ptr<TcpRelay> http;
    std::unique_ptr<UdpRelay> control;
  };
  using ZonePair = std::pair<ZoneId, ZoneId>;

  static ZonePair PairOf(const ZoneId& one, const ZoneId& other);
  LinkState StateOf(const ZoneId& one, const ZoneId& other) const;
  std::error_code Create(const ZoneId& zone, const NodeMachine& node);
  const Relays* Find(const ZoneId& zone, const NodeId& node) const;

  const std::string ip_;
  const LinkState initial_;
  // The loop's mutex guards the members below.
  RelayLoop loop_;
  std::map<ZonePair, LinkState> states_;
  std::map<std::pair<ZoneId, NodeId>, Relays> relays_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_ZONE_LINKS_H_
