// Odd values of other writers in the rows that the gateway's nodes write themselves.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/foreign_entries/foreign_entries_world.h"
#include "tests/foreign_entries/odd_texts.h"

namespace hingespan::foreign_entries {
namespace {

constexpr int kProcesses = 3;

}  // namespace

TEST_CASE("a row of a node that is no node ends no process") {
  for (const std::string& value :
       {std::string("{\"address\":7}"), std::string("{\"address\":\"a\",\"incarnation\":\"x\"}")}) {
    CAPTURE(value);
    ForeignEntriesWorld world(kProcesses);
    world.store()->Put(kFleetTable, "node/odd", value);
    world.CheckServed();
    CHECK(world.LogLines("node_row_malformed") > 0);
  }
}

TEST_CASE("odd values of the product's own rows cost themselves only") {
  ForeignEntriesWorld world(kProcesses);
  const std::string node =
      "{\"address\":\"127.0.0.1:9\",\"zone\":\"zone-b\",\"incarnation\":1,\"answers_probes\":true}";
  std::vector<std::string> values = OddValues();
  for (const char* const member :
       {"address", "zone", "incarnation", "answers_probes", "link_mbps", "copies", "forward"}) {
    for (const std::string& text : WithOddMember(node, member)) {
      values.push_back(text);
    }
  }
  int number = 0;
  for (const std::string& value : values) {
    ++number;
    for (const char* const prefix : {"node/odd", "versions/odd", "quarantine/odd"}) {
      world.store()->Put(kFleetTable, absl::StrCat(prefix, number), value);
    }
    for (int part = 0; part < 8; ++part) {
      world.store()->Put(absl::StrCat("hingespan-streams/", part), absl::StrCat("odd", number),
                         value);
    }
  }
  world.CheckServed();
}

}  // namespace hingespan::foreign_entries
