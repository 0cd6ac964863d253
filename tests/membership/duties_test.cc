#include "hingespan/membership/duties.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace hingespan {
namespace {

std::vector<NodeId> Members(int count) {
  std::vector<NodeId> members;
  for (int index = 0; index < count; ++index) {
    members.emplace_back("n" + std::to_string(index));
  }
  return members;
}

TEST_CASE("an empty zone has no duty holder") {
  CHECK(DutyHolder(Duty::kKeeper, "w1", {}).empty());
}

TEST_CASE("the order of members does not matter") {
  std::vector<NodeId> members = Members(9);
  const NodeId holder = DutyHolder(Duty::kPlacer, "m1", members);
  std::reverse(members.begin(), members.end());
  CHECK(DutyHolder(Duty::kPlacer, "m1", members) == holder);
}

TEST_CASE("when a member leaves, only its own share moves") {
  const std::vector<NodeId> before = Members(10);
  std::vector<NodeId> after = before;
  after.pop_back();
  for (int model = 0; model < 1000; ++model) {
    const NodeId holder = DutyHolder(Duty::kPlacer, std::to_string(model), before);
    const bool moves = holder == before.back();
    CHECK((DutyHolder(Duty::kPlacer, std::to_string(model), after) == holder) != moves);
  }
}

TEST_CASE("duties are spread over all members") {
  std::map<NodeId, int> shares;
  for (int model = 0; model < 10000; ++model) {
    ++shares[DutyHolder(Duty::kPlacer, std::to_string(model), Members(10))];
  }
  CHECK(shares.size() == 10);
  for (const auto& [member, share] : shares) {
    CHECK(share > 800);
    CHECK(share < 1200);
  }
}

}  // namespace
}  // namespace hingespan
