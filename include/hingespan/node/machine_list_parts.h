// Splits a machine list into messages that fit into one datagram each, and parses the model name of
// a record key.
#ifndef HINGESPAN_NODE_MACHINE_LIST_PARTS_H_
#define HINGESPAN_NODE_MACHINE_LIST_PARTS_H_

#include <optional>
#include <string>
#include <vector>

#include "hingespan/common/ids.h"
#include "hingespan/transport/message.h"

namespace hingespan {

// Splits the list. Returns no parts for an empty list.
std::vector<MachineListUpdate> SplitMachineList(const MachineListUpdate& list);

// Returns the model of a "rows/..." or "grants/..." key, or nullopt for any other key.
std::optional<ModelName> ModelOfKey(const std::string& key);

}  // namespace hingespan

#endif  // HINGESPAN_NODE_MACHINE_LIST_PARTS_H_
