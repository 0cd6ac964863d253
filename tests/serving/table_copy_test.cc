#include "hingespan/serving/table_copy.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

namespace hingespan::gateway {
namespace {

const absl::Time kNow = absl::UnixEpoch();

StoreRow Row(const std::string& key, const std::string& value, std::uint64_t version,
             bool removed = false) {
  return {"t", key, value, version, removed};
}

TEST_CASE("changes after a version include removals, also those implied by a later snapshot") {
  TableCopy copy("t", nullptr);
  copy.ApplySnapshot({{Row("a", "1", 3), Row("b", "1", 4)}, 5}, kNow);
  copy.ApplyChanges({{Row("a", "", 6, true)}, 6}, kNow);
  copy.ApplySnapshot({{Row("c", "1", 8)}, 9}, kNow);
  const auto changes = copy.ChangesAfter(5);
  REQUIRE(changes.has_value());
  std::map<std::string, bool> removed;
  for (const StoreRow& row : changes->rows) {
    removed[row.key] = row.removed;
  }
  CHECK(removed == std::map<std::string, bool>{{"a", true}, {"b", true}, {"c", false}});
  CHECK(changes->version == 9);
}

TEST_CASE("a copy reports no changes from before its first snapshot") {
  TableCopy copy("t", nullptr);
  CHECK(!copy.ChangesAfter(1).has_value());
  copy.ApplySnapshot({{Row("a", "1", 3)}, 5}, kNow);
  CHECK(!copy.ChangesAfter(4).has_value());
  CHECK(copy.ChangesAfter(5).has_value());
}

TEST_CASE("a change to an equivalent value is not passed on") {
  TableCopy copy("t", [](const StoreRow& left, const StoreRow& right) {
    return left.value.substr(0, 1) == right.value.substr(0, 1);
  });
  copy.ApplySnapshot({{Row("a", "x1", 3)}, 5}, kNow);
  copy.ApplyChanges({{Row("a", "x2", 6)}, 6}, kNow);
  CHECK(!copy.HasChangesAfter(5));
  copy.ApplyChanges({{Row("a", "y2", 7)}, 7}, kNow);
  CHECK(copy.HasChangesAfter(5));
}

TEST_CASE("property: a follower of a copy holds what the store holds") {
  CHECK(rc::check("copies and followers", [] {
    std::map<std::string, StoreRow> store;
    std::uint64_t version = 1;
    TableCopy copy("t", nullptr);
    copy.ApplySnapshot({{}, version}, kNow);
    std::uint64_t copied = version;
    std::map<std::string, StoreRow> follower;
    std::uint64_t followed = version;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step <= steps; ++step) {
      const std::string key = *rc::gen::element<std::string>("a", "b", "c");
      const int action = step == steps ? 3 : *rc::gen::inRange(0, 5);
      if (action <= 1) {
        ++version;
        store[key] = Row(key, std::to_string(version), version, action == 1);
      } else if (action == 2) {
        StoreRows snapshot{{}, version};
        for (const auto& [name, row] : store) {
          if (!row.removed) {
            snapshot.rows.push_back(row);
          }
        }
        copy.ApplySnapshot(snapshot, kNow);
        copied = version;
      } else {
        StoreRows changes{{}, version};
        for (const auto& [name, row] : store) {
          if (row.version > copied) {
            changes.rows.push_back(row);
          }
        }
        copy.ApplyChanges(changes, kNow);
        copied = version;
        const auto reported = copy.ChangesAfter(followed);
        RC_ASSERT(reported.has_value());
        for (const StoreRow& row : reported->rows) {
          follower[row.key] = row;
        }
        followed = reported->version;
      }
    }
    for (const auto& [key, row] : store) {
      const bool held = follower.contains(key) && !follower[key].removed;
      RC_ASSERT(held == !row.removed);
      if (held) {
        RC_ASSERT(follower[key].value == row.value);
      }
    }
  }));
}

}  // namespace
}  // namespace hingespan::gateway
