#include "hingespan/membership/duties.h"

#include <algorithm>
#include <string>

namespace hingespan {

RendezvousKey DutyKey(Duty duty, std::string_view name) {
  std::string input(1, static_cast<char>('0' + static_cast<int>(duty)));
  input.append(name);
  return RendezvousKey(input);
}

NodeId DutyHolder(Duty duty, std::string_view name, const std::vector<NodeId>& members) {
  const RendezvousKey key = DutyKey(duty, name);
  const auto holder = std::max_element(members.begin(), members.end(),
                                       [&key](const NodeId& left, const NodeId& right) {
                                         return key.Prefers(right.value(), left.value());
                                       });
  return holder == members.end() ? NodeId() : *holder;
}

bool HoldsDuty(const NodeId& node, Duty duty, std::string_view name,
               const std::vector<NodeId>& members) {
  const RendezvousKey key = DutyKey(duty, name);
  bool is_member = false;
  for (const NodeId& member : members) {
    if (key.Prefers(member.value(), node.value())) {
      return false;
    }
    is_member = is_member || member == node;
  }
  return is_member;
}

}  // namespace hingespan
