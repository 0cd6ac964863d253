#include "hingespan/node/leave_gossip.h"

#include <cstddef>

#include "hingespan/node/machine_list_parts.h"

namespace hingespan {
namespace {

constexpr absl::Duration kRoundInterval = absl::Milliseconds(100);
// Peers per round and number of rounds: each node of a zone receives a leave about 30 times within
// a second.
constexpr std::size_t kPeersPerRound = 3;
constexpr int kRounds = 10;

}  // namespace

void LeaveGossip::Note(const WorkerMachine& machine) {
  if (machine.state == MachineState::kLive) {
    rumors_.erase(machine.worker);
    return;
  }
  rumors_[machine.worker] = Rumor{machine, kRounds};
}

void LeaveGossip::Tick(const std::vector<NodeId>& peers, absl::Time now, Outbox* outbox) {
  if (rumors_.empty() || now < next_round_) {
    return;
  }
  next_round_ = now + kRoundInterval;
  MachineListUpdate update;
  for (auto& [worker, rumor] : rumors_) {
    update.workers.push_back(rumor.machine);
    --rumor.rounds_left;
  }
  absl::erase_if(rumors_, [](const auto& entry) { return entry.second.rounds_left <= 0; });
  const std::vector<MachineListUpdate> parts = SplitMachineList(update);
  std::vector<NodeId> remaining_peers = peers;
  for (std::size_t sent = 0; sent < kPeersPerRound && !remaining_peers.empty(); ++sent) {
    const std::size_t index = random_.Below(remaining_peers.size());
    for (const MachineListUpdate& part : parts) {
      outbox->Send(remaining_peers[index], part);
    }
    remaining_peers[index] = remaining_peers.back();
    remaining_peers.pop_back();
  }
}

}  // namespace hingespan
