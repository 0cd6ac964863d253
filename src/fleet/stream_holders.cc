#include "hingespan/fleet/stream_holders.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace hingespan::gateway {
namespace {

constexpr std::size_t kHolders = 2;
constexpr std::size_t kCandidatesPerZone = 3;

struct RankedNode {
  std::uint64_t score = 0;
  const StreamNode* node = nullptr;
};

// Returns the nodes other than `self`, best first.
std::vector<RankedNode> Rank(absl::string_view stream_id, const std::vector<StreamNode>& nodes,
                             absl::string_view self) {
  const std::uint64_t seed = XXH3_64bits(stream_id.data(), stream_id.size());
  std::vector<RankedNode> ranked;
  ranked.reserve(nodes.size());
  for (const StreamNode& node : nodes) {
    if (node.name != self && !node.address.empty()) {
      ranked.push_back({XXH3_64bits_withSeed(node.name.data(), node.name.size(), seed), &node});
    }
  }
  std::sort(ranked.begin(), ranked.end(), [](const RankedNode& left, const RankedNode& right) {
    return left.score != right.score ? left.score > right.score
                                     : left.node->name < right.node->name;
  });
  return ranked;
}

}  // namespace

std::vector<StreamNode> ChooseHolders(absl::string_view stream_id,
                                      const std::vector<StreamNode>& nodes,
                                      absl::string_view self) {
  const std::vector<RankedNode> ranked = Rank(stream_id, nodes, self);
  std::vector<StreamNode> holders;
  if (ranked.empty()) {
    return holders;
  }
  holders.push_back(*ranked.front().node);
  const auto other_zone = std::find_if(ranked.begin(), ranked.end(), [&](const RankedNode& each) {
    return each.node->zone != holders.front().zone;
  });
  if (other_zone != ranked.end()) {
    holders.push_back(*other_zone->node);
  } else if (ranked.size() >= kHolders) {
    holders.push_back(*ranked[1].node);
  }
  return holders;
}

std::vector<StreamNode> PossibleHolders(absl::string_view stream_id,
                                        const std::vector<StreamNode>& nodes,
                                        absl::string_view self) {
  std::map<std::string, std::size_t> taken;
  std::vector<StreamNode> chosen;
  for (const RankedNode& each : Rank(stream_id, nodes, self)) {
    if (++taken[each.node->zone] <= kCandidatesPerZone) {
      chosen.push_back(*each.node);
    }
  }
  return chosen;
}

}  // namespace hingespan::gateway
