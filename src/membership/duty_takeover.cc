#include "hingespan/membership/duty_takeover.h"

#include <algorithm>

namespace hingespan {

bool DutyTakeover::SetMembers(const std::vector<NodeId>& members) {
  const bool was_member = std::find(members_.begin(), members_.end(), self_) != members_.end();
  const bool is_member = std::find(members.begin(), members.end(), self_) != members.end();
  was_absent_ = was_absent_ || !was_member || !is_member;
  bool member_gone = false;
  for (const NodeId& member : members_) {
    if (std::find(members.begin(), members.end(), member) == members.end()) {
      gone_.insert(member);
      member_gone = true;
    }
  }
  for (const NodeId& member : members) {
    gone_.erase(member);
  }
  members_ = members;
  return is_member && (!was_member || member_gone);
}

bool DutyTakeover::MayBeTakenOver(std::string_view name) const {
  const RendezvousKey key = DutyKey(duty_, name);
  const bool held_by_gone_member =
      std::any_of(gone_.begin(), gone_.end(),
                  [&](const NodeId& member) { return key.Prefers(member.value(), self_.value()); });
  return (was_absent_ || held_by_gone_member) && HoldsDuty(self_, duty_, name, members_);
}

void DutyTakeover::MarkProcessed() {
  gone_.clear();
  was_absent_ = std::find(members_.begin(), members_.end(), self_) == members_.end();
}

}  // namespace hingespan
