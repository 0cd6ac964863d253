// Rows of other writers under any names, in the tables that gateway processes read.
#include <doctest/doctest.h>

#include <string>

#include "tests/foreign_entries/foreign_entries_world.h"
#include "tests/foreign_entries/odd_texts.h"

namespace hingespan::foreign_entries {
namespace {

constexpr int kProcesses = 3;

void PutOddNames(ForeignEntriesWorld* world, const std::string& table, const std::string& prefix) {
  for (const std::string& name : OddNames()) {
    const std::string key = prefix + name;
    constexpr std::size_t kMaxKeyBytes = 200;
    world->store()->Put(table, key.substr(0, kMaxKeyBytes), "{\"note\":\"of another writer\"}");
  }
}

}  // namespace

TEST_CASE("names of any characters among the workers cost no other entry") {
  ForeignEntriesWorld world(kProcesses);
  PutOddNames(&world, "servers", "");
  world.CheckServed();
}

TEST_CASE("names of any characters in the product's own tables cost no other entry") {
  ForeignEntriesWorld world(kProcesses);
  for (const char* const prefix : {"", "node/", "versions/", "quarantine/", "lease/"}) {
    PutOddNames(&world, kFleetTable, prefix);
  }
  PutOddNames(&world, "op", "");
  world.CheckServed();
}

}  // namespace hingespan::foreign_entries
