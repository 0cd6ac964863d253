// The other nodes, as places that may serve a request for which this node has no path to a worker.
#ifndef HINGESPAN_SERVING_PEER_DIRECTORY_H_
#define HINGESPAN_SERVING_PEER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace hingespan::gateway {

// Outcome of a forwarded request, as evidence about its peer.
enum class ForwardOutcome {
  // The peer answered, by itself or with a worker's answer.
  kAnswered,
  // The peer has no path to workers either, or doesn't take requests now.
  kDeclined,
  // No connection could be made, or it broke.
  kUnreachable,
  // No evidence about the peer.
  kCancelled,
};

struct Peer {
  std::string name;
  std::string zone;
  // Address for forwarded requests, "ip:port".
  std::string address;
};

// Does no I/O; not thread-safe.
class PeerDirectory {
 public:
  PeerDirectory(std::string node, std::string zone)
      : node_(std::move(node)), zone_(std::move(zone)) {}

  // Replaces the peers. This node itself and nodes without an address are left out.
  void SetPeers(const std::vector<Peer>& peers);

  // Returns the peer to which to forward next, or null if there is none outside `excluded` that is
  // not avoided. Prefers zones in which no peer is avoided, as a whole zone may have lost its path,
  // then the own zone, then the peer with the fewest requests of this node in flight, then the
  // least used one.
  const Peer* Choose(const std::set<std::string>& excluded, absl::Time now) const;
  void OnStarted(const std::string& name);
  void OnEnded(const std::string& name, ForwardOutcome outcome, absl::Time now);

 private:
  struct State {
    int running = 0;
    std::uint64_t started = 0;
    absl::Time avoided_until = absl::InfinitePast();
  };

  State StateOf(const Peer& peer) const;

  std::string node_;
  std::string zone_;
  std::vector<Peer> peers_;
  // By name; also of nodes that are gone while requests to them run.
  std::map<std::string, State> states_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_PEER_DIRECTORY_H_
