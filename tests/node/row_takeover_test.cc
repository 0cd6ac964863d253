#include "hingespan/node/row_takeover.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

namespace hingespan {

TEST_CASE("the rows of a member that left are found in steps of bounded size") {
  constexpr int kRows = 400;
  constexpr std::size_t kKeysAtMost = 50;
  const NodeId self("n0");
  const std::vector<NodeId> before = {self, NodeId("n1"), NodeId("n2")};
  const std::vector<NodeId> after = {self, NodeId("n1")};
  RecordStore store;
  std::set<ModelName> expected;
  for (int index = 0; index < kRows; ++index) {
    ModelRow row;
    row.name = ModelName("m" + std::to_string(index));
    store.Apply(store.revision(), store.revision().Next(),
                {{RowKey(row.name), store.revision().Next(), row}});
    const bool held = DutyHolder(Duty::kPlacer, row.name.value(), before) == self;
    if (!held && DutyHolder(Duty::kPlacer, row.name.value(), after) == self) {
      expected.insert(row.name);
    }
  }
  RowTakeover takeover(self, &store);
  std::set<ModelName> found;
  std::size_t most = 0;
  const auto search = [&] {
    int steps = 0;
    for (; takeover.searching() && steps < kRows; ++steps) {
      const std::size_t earlier = found.size();
      takeover.Step(kKeysAtMost, [&](const ModelName& model) { found.insert(model); });
      most = std::max(most, found.size() - earlier);
    }
    return steps;
  };
  takeover.SetMembers(before);
  search();
  found.clear();
  takeover.SetMembers(after);
  // The last step finds no more records.
  CHECK(search() == kRows / static_cast<int>(kKeysAtMost) + 1);
  CHECK(found == expected);
  CHECK(most <= kKeysAtMost);
  takeover.SetMembers(before);
  CHECK_FALSE(takeover.searching());
}

}  // namespace hingespan
