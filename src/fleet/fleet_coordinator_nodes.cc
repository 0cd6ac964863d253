// The rows of nodes in the fleet table: this node's own, and those of lost nodes, which the lease
// holder removes.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/fleet/fleet_coordinator.h"

namespace hingespan::gateway {
namespace {

using Json = nlohmann::json;
constexpr absl::string_view kNodePrefix = "node/";
// Delay before the removal of the node's row is retried if its outcome is unknown.
constexpr absl::Duration kRemovalRetryDelay = absl::Milliseconds(500);

std::uint64_t IncarnationOf(const std::string& node_row) {
  const Json json = Json::parse(node_row, nullptr, false);
  return json.is_object() ? json.value("incarnation", std::uint64_t{0}) : 0;
}

}  // namespace

void FleetCoordinator::AnnounceNode() {
  announced_ = true;
  own_row_version_ = 0;
  const std::string value = Json{
      {"address", settings_.address},
      {"copies", settings_.copies_address},
      {"forward", settings_.forward_address},
      {"zone", settings_.zone},
      {"link_mbps", settings_.link_mbps},
      {"incarnation", settings_.incarnation},
      {"answers_probes", true}}.dump();
  parts_.store->Commit({}, {{settings_.table, absl::StrCat(kNodePrefix, settings_.node), value}},
                       [this](Result<std::uint64_t> result) {
                         if (!result.ok()) {
                           announced_ = false;
                           return;
                         }
                         own_row_version_ = *result;
                         if (stopped_) {
                           WithdrawNode();
                         }
                       });
}

void FleetCoordinator::WithdrawNode() {
  if (own_row_version_ == 0) {
    return;
  }
  const std::string key = absl::StrCat(kNodePrefix, settings_.node);
  // The row version is a condition, as a removal without an answer may take effect after the next
  // process has announced itself.
  parts_.store->Commit(
      {{settings_.table, key, own_row_version_}}, {{settings_.table, key, std::nullopt}},
      [this](Result<std::uint64_t> result) {
        if (!result.ok() && result.error() != make_error_code(Error::kConflict)) {
          withdraw_timer_->Set(parts_.loop->Now() + kRemovalRetryDelay, [this] { WithdrawNode(); });
        }
      });
}

void FleetCoordinator::CheckOwnRow(const StoreRows& rows) {
  const std::string key = absl::StrCat(kNodePrefix, settings_.node);
  // A copy of the table may be older than this node's row.
  if (own_row_version_ == 0 || rows.version < own_row_version_) {
    return;
  }
  const auto own = std::find_if(rows.rows.begin(), rows.rows.end(),
                                [&](const StoreRow& row) { return row.key == key; });
  if (own != rows.rows.end() && IncarnationOf(own->value) == settings_.incarnation) {
    own_row_version_ = std::max(own_row_version_, own->version);
    return;
  }
  if (!stopped_ && announced_) {
    AnnounceNode();
  }
}

void FleetCoordinator::ReadNodes(const StoreRows& rows, absl::Time read_started) {
  std::map<std::string, std::string> peers;
  std::vector<FleetNode> nodes;
  std::vector<NodeRow> judged;
  for (const StoreRow& row : rows.rows) {
    if (!absl::StartsWith(row.key, kNodePrefix)) {
      continue;
    }
    const Json json = Json::parse(row.value, nullptr, false);
    if (!json.is_object() || !json.contains("address")) {
      continue;
    }
    const std::string name = row.key.substr(kNodePrefix.size());
    const auto incarnation = json.value("incarnation", std::uint64_t{0});
    peers[name] = json["address"].get<std::string>();
    nodes.push_back({name, json.value("zone", ""), json.value("copies", ""),
                     json.value("link_mbps", 0.0), json.value("forward", ""), peers[name],
                     incarnation});
    // Nodes of an earlier release don't answer.
    if (name != settings_.node && json.value("answers_probes", false)) {
      judged.push_back({name, incarnation, row.version});
    }
  }
  peers_ = std::move(peers);
  liveness_.SetRows(judged, parts_.loop->Now());
  parts_.on_nodes(nodes, read_started);
  const bool wider = std::any_of(nodes.begin(), nodes.end(), [this](const FleetNode& node) {
    return node.link_mbps > settings_.link_mbps;
  });
  lease_.SetExtraWait(wider ? settings_.narrow_link_wait : absl::ZeroDuration());
}

void FleetCoordinator::CheckNodes() {
  const absl::Time now = parts_.loop->Now();
  for (const NodeRow& lost : liveness_.TakeLost(now)) {
    RemoveRow(lost);
  }
  const std::string probe = EncodeFleetMessage(NodeProbe{settings_.address});
  for (const std::string& name : liveness_.TakeDueProbes(now)) {
    ++parts_.metrics->node_probes;
    parts_.send(peers_[name], probe);
  }
}

void FleetCoordinator::RemoveRow(const NodeRow& lost) {
  ++parts_.metrics->nodes_lost;
  parts_.log->Write(LogLevel::kWarning, "node_lost",
                    {{"node", lost.name}, {"row_version", absl::StrCat(lost.row_version)}});
  const std::string key = absl::StrCat(kNodePrefix, lost.name);
  // The row version is a condition, as the node may have started again.
  parts_.store->Commit({{settings_.table, key, lost.row_version}},
                       {{settings_.table, key, std::nullopt}}, [this](Result<std::uint64_t>) {
                         // Whatever became of the removal, the table shows it.
                         ReadTable();
                       });
}

void FleetCoordinator::OnProbe(const NodeProbe& probe) {
  parts_.send(probe.reply_address, EncodeFleetMessage(NodeProbeReply{settings_.node}));
}

void FleetCoordinator::OnProbeReply(const NodeProbeReply& reply) {
  liveness_.OnHeard(reply.node, parts_.loop->Now());
}

}  // namespace hingespan::gateway
