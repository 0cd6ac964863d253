// Chooses the zone, and the node within it, to which a request is sent.
#include <map>
#include <utility>

#include "absl/algorithm/container.h"
#include "hingespan/grant/quota.h"
#include "hingespan/routing/request_router.h"
#include "hingespan/routing/site_choice.h"
#include "retry_hints.h"

namespace hingespan {
namespace {

// Maximum number of nodes of one zone that are tried before another zone is chosen.
constexpr std::size_t kForwardsPerZone = 2;

}  // namespace

void RequestRouter::Route(const RequestId& request, absl::Time now, absl::Time wall_time,
                          Outbox* outbox) {
  State& state = requests_.at(request);
  const auto row = store_->FindRow(state.request.model);
  if (row == nullptr) {
    Refuse(request, RefusalCode::kUnknownModel, kNoRetry, "the row was deleted");
    return;
  }
  if (state.request.forwarded) {
    if (WeightOf(*row, zone_) == 0) {
      Refuse(request, RefusalCode::kSiteUnavailable, kDefaultRetryAfter,
             "the row gives this zone no weight");
      return;
    }
    Admit(request, *row, now, wall_time, outbox);
    return;
  }
  const std::optional<ZoneId> site = ChooseSiteFor(*row, state);
  if (!site.has_value()) {
    Refuse(request, RefusalCode::kSiteUnavailable, kDefaultRetryAfter,
           "no zone of the row can be reached");
  } else if (*site == zone_) {
    Admit(request, *row, now, wall_time, outbox);
  } else {
    Forward(&state, *site);
  }
}

std::optional<ZoneId> RequestRouter::ChooseSiteFor(const ModelRow& row, const State& state) {
  std::vector<SiteCandidate> candidates;
  const std::map<ZoneId, std::uint32_t> shares = DivideReplicas(*store_, row, zones_);
  for (const ZoneId& zone : zones_) {
    const bool reachable = zone == zone_ ? !state.refused_here : !UntriedNodes(state, zone).empty();
    if (reachable) {
      const auto share = shares.find(zone);
      const bool has_share = share != shares.end() && share->second > 0;
      candidates.push_back({zone, WeightOf(row, zone), HasGrantedSlot(row.name, zone), has_share});
    }
  }
  if (!state.tried_remotes.empty()) {
    const ZoneId& last_zone = state.tried_remotes.back().zone;
    for (const SiteCandidate& candidate : candidates) {
      if (candidate.zone == last_zone && candidate.weight > 0) {
        return last_zone;
      }
    }
  }
  return ChooseSite(candidates, &random_);
}

bool RequestRouter::HasGrantedSlot(const ModelName& model, const ZoneId& zone) const {
  const auto grant = store_->FindGrant(model);
  if (grant == nullptr) {
    return false;
  }
  return absl::c_any_of(grant->slots, [&zone](const GrantSlot& slot) {
    return slot.zone == zone && slot.state == SlotState::kGranted;
  });
}

// Returns no nodes if enough were tried already, in this zone or in all zones.
std::vector<RemoteNode> RequestRouter::UntriedNodes(const State& state, const ZoneId& zone) const {
  const auto in_zone = [&zone](const RemoteNode& node) { return node.zone == zone; };
  const std::size_t tried_there = absl::c_count_if(state.tried_remotes, in_zone);
  const auto maximum_tried = static_cast<std::size_t>(options_.maximum_attempts);
  std::vector<RemoteNode> untried;
  if (tried_there >= kForwardsPerZone || state.tried_remotes.size() >= maximum_tried) {
    return untried;
  }
  for (const RemoteNode& node : remote_nodes_) {
    const bool tried = absl::c_any_of(
        state.tried_remotes, [&node](const RemoteNode& other) { return other.node == node.node; });
    if (node.zone == zone && !tried) {
      untried.push_back(node);
    }
  }
  return untried;
}

void RequestRouter::Forward(State* state, const ZoneId& zone) {
  const std::vector<RemoteNode> nodes = UntriedNodes(*state, zone);
  const RemoteNode& node = nodes[random_.Below(nodes.size())];
  state->stage = Stage::kForwarded;
  state->tried_remotes.push_back(node);
  ++counters_.forwarded;
  RouteDecision decision;
  decision.request = state->request.request;
  decision.action = RouteAction::kForward;
  decision.forward_address = node.http_address;
  decisions_.push_back(std::move(decision));
}

}  // namespace hingespan
