#include "hingespan/membership/duty_takeover.h"

#include <doctest/doctest.h>

#include <string>

namespace hingespan {
namespace {

const NodeId kSelf("n0");
constexpr int kNames = 500;

std::vector<NodeId> Members(const std::vector<int>& numbers) {
  std::vector<NodeId> members;
  for (const int number : numbers) {
    members.emplace_back("n" + std::to_string(number));
  }
  return members;
}

bool Holds(int name, const std::vector<NodeId>& members) {
  return DutyHolder(Duty::kPlacer, std::to_string(name), members) == kSelf;
}

// Checks that exactly the names held with members `now`, but not with all of `before`, are reported
// as taken over.
void CheckTakenOver(const DutyTakeover& takeover, const std::vector<NodeId>& now,
                    const std::vector<std::vector<NodeId>>& before) {
  for (int name = 0; name < kNames; ++name) {
    bool held_before = true;
    for (const std::vector<NodeId>& members : before) {
      held_before = held_before && Holds(name, members);
    }
    CHECK(takeover.MayBeTakenOver(std::to_string(name)) == (Holds(name, now) && !held_before));
  }
}

}  // namespace

TEST_CASE("a node takes over only names of members that have gone") {
  const std::vector<NodeId> before = Members({0, 1, 2, 3});
  const std::vector<NodeId> after = Members({0, 1, 3});
  DutyTakeover takeover(Duty::kPlacer, kSelf);
  CHECK(takeover.SetMembers(before));
  CheckTakenOver(takeover, before, {{}});
  takeover.MarkProcessed();
  CheckTakenOver(takeover, before, {before});
  CHECK(takeover.SetMembers(after));
  CheckTakenOver(takeover, after, {before});
  takeover.MarkProcessed();
  // A member that joins moves no names to this node.
  CHECK_FALSE(takeover.SetMembers(before));
  CheckTakenOver(takeover, before, {after});
}

TEST_CASE("names that another member held for a moment are taken over again") {
  const std::vector<NodeId> before = Members({0, 1});
  const std::vector<NodeId> between = Members({0, 1, 2});
  DutyTakeover takeover(Duty::kPlacer, kSelf);
  takeover.SetMembers(before);
  takeover.MarkProcessed();
  CHECK_FALSE(takeover.SetMembers(between));
  CHECK(takeover.SetMembers(before));
  CheckTakenOver(takeover, before, {before, between});
}

TEST_CASE("a node that was not a member for a moment takes over all names it holds") {
  const std::vector<NodeId> members = Members({0, 1});
  DutyTakeover takeover(Duty::kPlacer, kSelf);
  takeover.SetMembers(members);
  takeover.MarkProcessed();
  CHECK_FALSE(takeover.SetMembers(Members({1})));
  CHECK(takeover.SetMembers(members));
  CheckTakenOver(takeover, members, {{}});
}

}  // namespace hingespan
