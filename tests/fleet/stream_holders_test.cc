#include "hingespan/fleet/stream_holders.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

std::vector<StreamNode> Nodes(int count, int zones) {
  std::vector<StreamNode> nodes;
  for (int number = 0; number < count; ++number) {
    const std::string name = absl::StrCat("node-", number);
    nodes.push_back({name, absl::StrCat("zone-", number % zones), absl::StrCat(name, ":1")});
  }
  return nodes;
}

bool Contains(const std::vector<StreamNode>& nodes, const std::string& name) {
  return std::any_of(nodes.begin(), nodes.end(),
                     [&](const StreamNode& node) { return node.name == name; });
}

// Guards against a record that no node finds once the node that began the stream is gone.
TEST_CASE("every node finds the holders of a stream, whichever node began it") {
  CHECK(rc::check([] {
    const int count = *rc::gen::inRange(2, 40);
    const std::vector<StreamNode> nodes = Nodes(count, *rc::gen::inRange(1, 6));
    const std::string id = absl::StrCat("stream-", *rc::gen::inRange(0, 100000));
    const std::string began = nodes[*rc::gen::inRange(0, count)].name;
    const std::string asks = nodes[*rc::gen::inRange(0, count)].name;
    const std::vector<StreamNode> possible = PossibleHolders(id, nodes, asks);
    RC_ASSERT(!Contains(possible, asks));
    const std::vector<StreamNode> holders = ChooseHolders(id, nodes, began);
    RC_ASSERT(!Contains(holders, began));
    RC_ASSERT(holders.size() == std::min<std::size_t>(2, nodes.size() - 1));
    for (const StreamNode& holder : holders) {
      RC_ASSERT(holder.name == asks || Contains(possible, holder.name));
    }
  }));
}

TEST_CASE("the holders of a stream are in two zones, and spread over the nodes") {
  constexpr int kStreams = 3000;
  const std::vector<StreamNode> nodes = Nodes(9, 3);
  std::map<std::string, int> kept;
  for (int number = 0; number < kStreams; ++number) {
    const auto holders = ChooseHolders(absl::StrCat("stream-", number), nodes, "node-0");
    REQUIRE(holders.size() == 2);
    CHECK(holders[0].zone != holders[1].zone);
    ++kept[holders[0].name];
    ++kept[holders[1].name];
  }
  CHECK(kept.size() == nodes.size() - 1);
  for (const auto& [name, count] : kept) {
    CHECK(count < kStreams / 2);
  }
}

TEST_CASE("a lone node has no holders") {
  CHECK(ChooseHolders("s", Nodes(1, 1), "node-0").empty());
  CHECK(PossibleHolders("s", Nodes(1, 1), "node-0").empty());
}

}  // namespace
}  // namespace hingespan::gateway
