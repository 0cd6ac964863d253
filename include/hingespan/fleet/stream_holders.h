// Chooses the nodes that keep the record of a stream.
#ifndef HINGESPAN_FLEET_STREAM_HOLDERS_H_
#define HINGESPAN_FLEET_STREAM_HOLDERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace hingespan::gateway {

struct StreamNode {
  std::string name;
  std::string zone;
  // Address for datagrams, "ip:port".
  std::string address;
  // Identifies the node's process.
  std::uint64_t incarnation = 0;

  friend bool operator==(const StreamNode&, const StreamNode&) = default;
};

// The choices are functions of the stream's id and the nodes (rendezvous hashing), so that every
// node finds the holders of a stream without having seen it begin. `self` is never chosen.

// Returns the nodes to which the node that began the stream sends its record: two, in different
// zones if there are any.
std::vector<StreamNode> ChooseHolders(absl::string_view stream_id,
                                      const std::vector<StreamNode>& nodes, absl::string_view self);
// Returns the nodes that may have the record, the three best of each zone: among them are the
// holders, whichever node began the stream.
std::vector<StreamNode> PossibleHolders(absl::string_view stream_id,
                                        const std::vector<StreamNode>& nodes,
                                        absl::string_view self);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_STREAM_HOLDERS_H_
