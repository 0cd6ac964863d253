#include "hingespan/serving/peer_directory.h"

#include <algorithm>
#include <tuple>

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kAvoidDeclined = absl::Seconds(1);
constexpr absl::Duration kAvoidUnreachable = absl::Seconds(2);

}  // namespace

void PeerDirectory::SetPeers(const std::vector<Peer>& peers) {
  peers_.clear();
  for (const Peer& peer : peers) {
    if (peer.name != node_ && !peer.address.empty()) {
      peers_.push_back(peer);
    }
  }
  std::erase_if(states_, [&](const auto& entry) {
    const bool present = std::any_of(peers_.begin(), peers_.end(),
                                     [&](const Peer& peer) { return peer.name == entry.first; });
    return !present && entry.second.running == 0;
  });
}

PeerDirectory::State PeerDirectory::StateOf(const Peer& peer) const {
  const auto entry = states_.find(peer.name);
  return entry == states_.end() ? State{} : entry->second;
}

const Peer* PeerDirectory::Choose(const std::set<std::string>& excluded, absl::Time now) const {
  std::set<absl::string_view> doubtful_zones;
  for (const Peer& peer : peers_) {
    if (StateOf(peer).avoided_until > now) {
      doubtful_zones.insert(peer.zone);
    }
  }
  using Rank = std::tuple<bool, bool, int, std::uint64_t>;
  const Peer* best = nullptr;
  Rank best_rank;
  for (const Peer& peer : peers_) {
    const State state = StateOf(peer);
    if (state.avoided_until > now || excluded.contains(peer.name)) {
      continue;
    }
    const Rank rank{doubtful_zones.contains(peer.zone), peer.zone != zone_, state.running,
                    state.started};
    if (best == nullptr || rank < best_rank) {
      best = &peer;
      best_rank = rank;
    }
  }
  return best;
}

void PeerDirectory::OnStarted(const std::string& name) {
  State& state = states_[name];
  ++state.running;
  ++state.started;
}

void PeerDirectory::OnEnded(const std::string& name, ForwardOutcome outcome, absl::Time now) {
  State& state = states_[name];
  state.running = std::max(0, state.running - 1);
  if (outcome == ForwardOutcome::kDeclined) {
    state.avoided_until = now + kAvoidDeclined;
  } else if (outcome == ForwardOutcome::kUnreachable) {
    state.avoided_until = now + kAvoidUnreachable;
  }
}

}  // namespace hingespan::gateway
