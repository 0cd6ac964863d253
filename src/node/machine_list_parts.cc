#include "hingespan/node/machine_list_parts.h"

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"

namespace hingespan {
namespace {

// An entry takes up to about 150 bytes, so that this many fit into a datagram.
constexpr std::size_t kEntriesPerMessage = 7;

}  // namespace

std::vector<MachineListUpdate> SplitMachineList(const MachineListUpdate& list) {
  std::vector<MachineListUpdate> parts;
  const auto current = [&parts]() -> MachineListUpdate& {
    const bool full = parts.empty() ||
                      parts.back().nodes.size() + parts.back().workers.size() >= kEntriesPerMessage;
    return full ? parts.emplace_back() : parts.back();
  };
  for (const NodeMachine& node : list.nodes) {
    current().nodes.push_back(node);
  }
  for (const WorkerMachine& worker : list.workers) {
    current().workers.push_back(worker);
  }
  return parts;
}

std::optional<ModelName> ModelOfKey(const std::string& key) {
  absl::string_view name = key;
  if (absl::ConsumePrefix(&name, kRowPrefix) || absl::ConsumePrefix(&name, kGrantPrefix)) {
    return ModelName(std::string(name));
  }
  return std::nullopt;
}

}  // namespace hingespan
