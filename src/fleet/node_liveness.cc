#include "hingespan/fleet/node_liveness.h"

#include <algorithm>

namespace hingespan::gateway {
namespace {

// Time after which a node whose row is gone is forgotten.
constexpr absl::Duration kMemory = absl::Minutes(10);

}  // namespace

void NodeLiveness::NoteAlive(Node* node, absl::Time now) {
  node->heard = now;
  node->unanswered = 0;
}

void NodeLiveness::Begin(absl::Time now) {
  for (auto& [name, node] : nodes_) {
    NoteAlive(&node, now);
  }
}

void NodeLiveness::SetRows(const std::vector<NodeRow>& rows, absl::Time now) {
  for (auto& [name, node] : nodes_) {
    node.present = false;
  }
  for (const NodeRow& row : rows) {
    Node& node = nodes_[row.name];
    if (node.row.incarnation != row.incarnation) {
      node.removals = 0;
    }
    if (node.row.row_version != row.row_version) {
      NoteAlive(&node, now);  // The node has written the row.
    }
    node.row = row;
    node.present = true;
  }
  std::erase_if(nodes_, [&](const auto& entry) {
    return !entry.second.present && now - entry.second.heard > kMemory;
  });
}

void NodeLiveness::OnHeard(const std::string& name, absl::Time now) {
  const auto entry = nodes_.find(name);
  if (entry != nodes_.end()) {
    NoteAlive(&entry->second, now);
  }
}

std::vector<std::string> NodeLiveness::TakeDueProbes(absl::Time now) {
  const absl::Duration probe_after =
      settings_.probe_after + settings_.probe_after_per_node * static_cast<double>(nodes_.size());
  std::vector<std::string> due;
  for (auto& [name, node] : nodes_) {
    if (node.present && now - node.heard >= probe_after &&
        now - node.probed >= settings_.probe_interval) {
      node.probed = now;
      ++node.unanswered;
      due.push_back(name);
    }
  }
  return due;
}

int NodeLiveness::UnansweredLimit(const Node& node) const {
  return settings_.unanswered_probes << std::min(node.removals, settings_.max_doublings);
}

std::vector<NodeRow> NodeLiveness::TakeLost(absl::Time now) {
  std::vector<NodeRow> lost;
  for (auto& [name, node] : nodes_) {
    if (node.present && node.unanswered >= UnansweredLimit(node) &&
        now - node.probed >= settings_.probe_interval && lost.size() < settings_.max_lost_at_once) {
      lost.push_back(node.row);
      ++node.removals;
      NoteAlive(&node, now);
    }
  }
  return lost;
}

}  // namespace hingespan::gateway
