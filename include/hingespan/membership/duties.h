// Assigns duties in a zone by rendezvous hashing over the members that may hold them.
#ifndef HINGESPAN_MEMBERSHIP_DUTIES_H_
#define HINGESPAN_MEMBERSHIP_DUTIES_H_

#include <string_view>
#include <vector>

#include "hingespan/common/ids.h"
#include "hingespan/common/rendezvous_hash.h"

namespace hingespan {

enum class Duty {
  // Sends orders to the engine of one worker. Name: worker id.
  kKeeper,
  // Decides where replicas of one row are placed in this zone. Name: model name.
  kPlacer,
  // Owns a key range of this zone. Name: number of the range.
  kKeyRange,
  // Reads changes and the machine list from the platform for the zone. Name: empty.
  kPlatformReader,
  // Distributes the zone's weight-store permits. Name: empty.
  kPermitHolder,
};

// Returns the member with the highest hash of (duty, name, member); empty if there are no members.
// When a member joins or leaves, only its own share moves.
NodeId DutyHolder(Duty duty, std::string_view name, const std::vector<NodeId>& members);
// Returns true if DutyHolder is `node`; stops at the first member that ranks above it.
bool HoldsDuty(const NodeId& node, Duty duty, std::string_view name,
               const std::vector<NodeId>& members);
// Returns the key by which members are ranked.
RendezvousKey DutyKey(Duty duty, std::string_view name);

}  // namespace hingespan

#endif  // HINGESPAN_MEMBERSHIP_DUTIES_H_
