// Finds the rows that this node has to place after a change of members, a bounded number per step.
#ifndef HINGESPAN_NODE_ROW_TAKEOVER_H_
#define HINGESPAN_NODE_ROW_TAKEOVER_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "hingespan/common/ids.h"
#include "hingespan/membership/duty_takeover.h"
#include "hingespan/table/record_store.h"

namespace hingespan {

// Rows that change during the search are not reported; the caller must handle them. Not
// thread-safe.
class RowTakeover {
 public:
  RowTakeover(NodeId self, const RecordStore* store)
      : takeover_(Duty::kPlacer, std::move(self)), store_(store) {}

  void SetMembers(const std::vector<NodeId>& members);
  // Continues the search: examines about `keys_at_most` records and calls `visit` for each row
  // found.
  void Step(std::size_t keys_at_most, const std::function<void(const ModelName&)>& visit);
  bool searching() const { return searching_; }

 private:
  DutyTakeover takeover_;
  const RecordStore* store_;
  bool searching_ = false;
  // Revision up to which records have been examined.
  TableRevision searched_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_ROW_TAKEOVER_H_
