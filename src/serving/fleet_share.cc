#include "hingespan/serving/fleet_share.h"

#include <algorithm>

namespace hingespan::gateway {

void FleetShare::SetNodes(const std::vector<std::string>& nodes, absl::Time read_started,
                          absl::Time now) {
  for (auto& [name, until] : counted_until_) {
    if (until == absl::InfiniteFuture()) {
      until = now + times_.SettlingTime();
    }
  }
  for (const std::string& name : nodes) {
    counted_until_[name] = absl::InfiniteFuture();
  }
  std::erase_if(counted_until_, [&](const auto& entry) { return entry.second <= now; });
  if (std::find(nodes.begin(), nodes.end(), node_) == nodes.end()) {
    joined_ = absl::InfiniteFuture();
    confirmed_ = absl::InfinitePast();
    return;
  }
  joined_ = std::min(joined_, now);
  confirmed_ = read_started;
}

int FleetShare::Divisor(absl::Time now) const {
  if (now - confirmed_ > times_.confirmed || now < joined_ + times_.SettlingTime()) {
    return 0;
  }
  return CountedNodes(now);
}

int FleetShare::CountedNodes(absl::Time now) const {
  return static_cast<int>(std::count_if(counted_until_.begin(), counted_until_.end(),
                                        [&](const auto& entry) { return entry.second > now; }));
}

}  // namespace hingespan::gateway
