// Reads of the platform by a restarted node, in virtual time.
#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "tests/simulation/simulated_fleet.h"

namespace hingespan::simulation {
namespace {

constexpr int kRows = 300;
const absl::Duration kBound = absl::Seconds(60);

SimulatedFleetOptions OneZone(int nodes) {
  SimulatedFleetOptions options;
  options.zones = 1;
  options.nodes_per_zone = nodes;
  options.workers_per_zone = 2;
  return options;
}

void WriteRows(SimulatedFleet* fleet) {
  std::vector<ModelRow> rows;
  for (int number = 0; number < kRows; ++number) {
    ModelRow& row = rows.emplace_back();
    row.name = ModelName(absl::StrCat("model-", number));
    row.memory_mib = 4096;
  }
  fleet->WriteRows(rows, 10);
}

TEST_CASE("a restarted node takes the table from its zone, not from the platform") {
  SimulatedFleet fleet(OneZone(6));
  REQUIRE(fleet.RunUntil([&] { return fleet.AllReady(); }, kBound));
  WriteRows(&fleet);
  REQUIRE(fleet.RunUntil([&] { return fleet.Converged(); }, kBound));
  fleet.RunFor(absl::Seconds(10));
  // One of these nodes is the zone's reader.
  for (const NodeId& node : fleet.nodes()) {
    CAPTURE(node.value());
    fleet.Kill(node);
    fleet.RunFor(absl::Seconds(10));
    const std::uint64_t before = fleet.usage(node).table_bytes_read;
    fleet.Restart(node);
    REQUIRE(fleet.RunUntil([&] { return fleet.AllReady() && fleet.Converged(); }, kBound));
    fleet.RunFor(absl::Seconds(10));
    CHECK(fleet.usage(node).table_bytes_read - before == 0);
  }
}

TEST_CASE("the first node of a zone reads the platform even if no seed answers") {
  SimulatedFleet fleet(OneZone(2));
  WriteRows(&fleet);
  REQUIRE(fleet.RunUntil([&] { return fleet.AllReady() && fleet.Converged(); }, kBound));
  for (const NodeId& node : fleet.nodes()) {
    fleet.Kill(node);
  }
  const NodeId first = fleet.nodes().front();
  const std::uint64_t before = fleet.usage(first).table_bytes_read;
  fleet.Restart(first);
  CHECK(fleet.RunUntil([&] { return fleet.AllReady() && fleet.Converged(); }, kBound));
  CHECK(fleet.usage(first).table_bytes_read > before);
}

}  // namespace
}  // namespace hingespan::simulation
