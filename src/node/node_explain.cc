// Explains to operators where a model runs and why.
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hingespan/engine/replica_state_name.h"
#include "hingespan/grant/quota.h"
#include "hingespan/node/node_core.h"

namespace hingespan {
namespace {

std::string ExplainRow(const ModelRow& row, TableRevision revision) {
  return absl::StrCat("row: revision ", revision.value(), ", at most ", row.max_replicas,
                      " replicas, at least ", row.min_replicas, ", ", row.memory_mib,
                      " MiB each, wait at most ", row.max_wait_ms, " ms",
                      row.editor.empty() ? "" : ", edited by ", row.editor);
}

std::string ExplainSlot(const GrantSlot& slot) {
  return absl::StrCat("slot: worker ", slot.worker.value(), " incarnation ",
                      slot.incarnation.value(), " in ", slot.zone.value(), ", generation ",
                      slot.generation.value(),
                      slot.state == SlotState::kRevoking ? ", being revoked" : "");
}

}  // namespace

std::vector<std::string> NodeCore::Explain(const ModelName& model, absl::Time now) const {
  std::vector<std::string> lines;
  const auto row = store_.FindRow(model);
  if (row == nullptr) {
    lines.push_back("row: none; requests are refused with unknown_model");
  } else {
    lines.push_back(ExplainRow(*row, store_.RevisionOf(RowKey(model))));
    for (const auto& [zone, quota] : DivideReplicas(store_, *row, options_.zones)) {
      lines.push_back(absl::StrCat("zone ", zone.value(), ": weight ", WeightOf(*row, zone),
                                   ", share of replicas ", quota));
    }
  }
  if (const auto grant = store_.FindGrant(model)) {
    for (const GrantSlot& slot : grant->slots) {
      lines.push_back(ExplainSlot(slot));
    }
  }
  lines.push_back(
      absl::StrCat("placer in zone ", options_.zone.value(), ": ", PlacerOf(model).value()));
  for (const auto& [worker, known] : directory_->workers()) {
    const auto replica = known.replicas.find(model);
    if (replica == known.replicas.end()) {
      continue;
    }
    lines.push_back(absl::StrCat(
        "replica: worker ", worker.value(), " ", ReplicaStateName(replica->second.state),
        ", generation ", replica->second.generation.value(), ", keeper ", known.keeper.value(),
        directory_->MayReceiveWork(known, now) ? "" : ", gets no new work"));
  }
  return lines;
}

}  // namespace hingespan
