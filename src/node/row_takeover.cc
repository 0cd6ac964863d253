#include "hingespan/node/row_takeover.h"

#include <optional>
#include <string>

#include "hingespan/node/machine_list_parts.h"

namespace hingespan {

void RowTakeover::SetMembers(const std::vector<NodeId>& members) {
  if (takeover_.SetMembers(members)) {
    searching_ = true;
    searched_ = TableRevision();
  }
}

void RowTakeover::Step(std::size_t keys_at_most,
                       const std::function<void(const ModelName&)>& visit) {
  if (!searching_) {
    return;
  }
  const TableRevision through =
      store_->ForEachKeyAfter(searched_, keys_at_most, [&](const std::string& key) {
        const std::optional<ModelName> model = ModelOfKey(key);
        if (model && takeover_.MayBeTakenOver(model->value())) {
          visit(*model);
        }
      });
  searching_ = through != searched_;
  searched_ = through;
  if (!searching_) {
    takeover_.MarkProcessed();
  }
}

}  // namespace hingespan
