// Ordering and classification of member states.
#ifndef HINGESPAN_SRC_MEMBERSHIP_MEMBER_ORDER_H_
#define HINGESPAN_SRC_MEMBERSHIP_MEMBER_ORDER_H_

#include <tuple>

#include "hingespan/transport/message.h"

namespace hingespan {

// Ranks states within one refutation; a higher rank replaces a lower one. kLeaving ranks above
// kSuspect, so that a leaving member that is suspected gets no duty back.
inline int Rank(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kLeaving:
      return 2;
    case MemberState::kDead:
      return 3;
    case MemberState::kLeft:
      return 4;
  }
  return 0;
}

inline bool Replaces(const MemberUpdate& update, const MemberUpdate& known) {
  const auto order = [](const MemberUpdate& member) {
    return std::make_tuple(member.incarnation, member.refutation, Rank(member.state));
  };
  return order(update) > order(known);
}

inline bool IsGone(MemberState state) {
  return state == MemberState::kDead || state == MemberState::kLeft;
}

inline bool MayHoldDuties(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace hingespan

#endif  // HINGESPAN_SRC_MEMBERSHIP_MEMBER_ORDER_H_
