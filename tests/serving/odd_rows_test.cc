// Log lines about rows of other writers.
#include <doctest/doctest.h>

#include <string>

#include "absl/strings/match.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {

TEST_CASE("a malformed row of the workers is logged with the start of its name only") {
  constexpr std::size_t kNameBytes = 20000;
  constexpr std::size_t kLongestLine = 500;
  GatewayFixture fixture;
  fixture.AddPlainWorker("w1");
  TestNode* const node = fixture.AddNode("n1");
  fixture.store.Put("servers", std::string(kNameBytes, 'n'), "{}");
  std::string found;
  REQUIRE(fixture.Wait([&] {
    for (const std::string& line : node->LogLines()) {
      if (absl::StrContains(line, "worker_row_malformed")) {
        found = line;
      }
    }
    return !found.empty();
  }));
  CHECK(found.size() < kLongestLine);
  CHECK(fixture.Ask(node, TestRequest{})->head.status == 200);
}

}  // namespace hingespan::gateway
