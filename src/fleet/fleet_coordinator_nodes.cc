// The rows of nodes in the fleet table: this node's own, and those of lost nodes, which the lease
// holder removes.
#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/common/log_line.h"
#include "hingespan/fleet/fleet_coordinator.h"
#include "hingespan/fleet/fleet_rows.h"

namespace hingespan::gateway {
namespace {

constexpr absl::string_view kNodePrefix = "node/";
// Delay before the removal of the node's row is retried if its outcome is unknown.
constexpr absl::Duration kRemovalRetryDelay = absl::Milliseconds(500);

}  // namespace

void FleetCoordinator::AnnounceNode() {
  announced_ = true;
  own_row_version_ = 0;
  NodeAnnouncement own;
  own.node = {settings_.node,
              settings_.zone,
              settings_.copies_address,
              settings_.link_mbps,
              settings_.forward_address,
              settings_.address,
              settings_.incarnation};
  own.answers_probes = true;
  const std::string value = EncodeNodeRow(own);
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
  if (own != rows.rows.end()) {
    const Result<NodeAnnouncement> read = DecodeNodeRow(settings_.node, own->value);
    if (read.ok() && read->node.incarnation == settings_.incarnation) {
      own_row_version_ = std::max(own_row_version_, own->version);
      return;
    }
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
    const std::string name = row.key.substr(kNodePrefix.size());
    Result<NodeAnnouncement> read = DecodeNodeRow(name, row.value);
    if (!read.ok()) {
      parts_.log->Write(LogLevel::kWarning, "node_row_malformed",
                        {{"node", AbbreviateForLog(name)}});
      continue;
    }
    peers[name] = read->node.datagram_address;
    if (name != settings_.node && read->answers_probes) {
      judged.push_back({name, read->node.incarnation, row.version});
    }
    nodes.push_back(std::move(read->node));
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
