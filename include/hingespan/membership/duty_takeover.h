// Finds the names whose duty may have moved to a node after the members changed. With rendezvous
// hashing these are only names whose former holder has gone, or all names if the node itself has
// just joined.
#ifndef HINGESPAN_MEMBERSHIP_DUTY_TAKEOVER_H_
#define HINGESPAN_MEMBERSHIP_DUTY_TAKEOVER_H_

#include <string_view>
#include <vector>

#include "absl/container/btree_set.h"
#include "hingespan/common/ids.h"
#include "hingespan/membership/duties.h"

namespace hingespan {

// Not thread-safe. Changes accumulate until MarkProcessed, so that a member that joined and left
// between two checks does not hide the names it held for a moment.
class DutyTakeover {
 public:
  DutyTakeover(Duty duty, NodeId self) : duty_(duty), self_(std::move(self)) {}

  // Returns true if the change may have moved names to this node.
  bool SetMembers(const std::vector<NodeId>& members);
  // Returns true if the node holds the duty of `name` and may not have held it at some time since
  // MarkProcessed.
  bool MayBeTakenOver(std::string_view name) const;
  // Called after all names have been checked.
  void MarkProcessed();

 private:
  Duty duty_;
  NodeId self_;
  std::vector<NodeId> members_;
  // Members since MarkProcessed that have gone.
  absl::btree_set<NodeId> gone_;
  // True if the node was not a member at some time since MarkProcessed.
  bool was_absent_ = false;
};

}  // namespace hingespan

#endif  // HINGESPAN_MEMBERSHIP_DUTY_TAKEOVER_H_
