// Tests that encoded rows and grants are read back unchanged, whatever was stored before.
#include "hingespan/table/compact_records.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hingespan/table/compact_codec.h"
#include "hingespan/table/record_store.h"
#include "tests/rapidcheck_seed.h"
#include "tests/table/random_records.h"

namespace hingespan {
namespace {

TEST_CASE("varints of every length are read back unchanged") {
  CHECK(rc::check("numbers", [](std::uint64_t value) {
    const unsigned shift = *rc::gen::inRange(0U, 64U);
    std::string bytes;
    AppendVarint(value >> shift, &bytes);
    const char* cursor = bytes.data();
    RC_ASSERT(ReadVarint(&cursor) == value >> shift);
    RC_ASSERT(cursor == bytes.data() + bytes.size());
  }));
}

TEST_CASE("a pooled string is kept while in use and its number is reused afterwards") {
  StringPool pool;
  const std::uint32_t first = pool.Acquire("a");
  CHECK(pool.Acquire("a") == first);
  pool.Release("a");
  CHECK(pool.size() == 1);
  CHECK(pool.Text(first) == "a");
  pool.Release("a");
  CHECK(pool.size() == 0);
  CHECK(pool.Acquire("b") == first);
  CHECK(pool.Text(first) == "b");
}

TEST_CASE("encoded records match a plain map after any writes and refer to no released string") {
  CHECK(rc::check("compact records", [] {
    CompactRecords records;
    std::map<std::string, ModelRow> rows;
    std::map<std::string, GrantRecord> grants;
    const int writes = *rc::gen::inRange(0, 30);
    for (int write = 0; write < writes; ++write) {
      const std::string name = RandomName();
      const std::uint32_t model = records.FindOrAdd(name);
      const TableRevision revision(static_cast<std::uint64_t>(write) + 1);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          records.SetRow(model, revision, nullptr);
          rows.erase(name);
          break;
        case 1:
          records.SetGrant(model, revision, nullptr);
          grants.erase(name);
          break;
        case 2:
          rows[name] = RandomRow(name);
          records.SetRow(model, revision, &rows[name]);
          break;
        default:
          grants[name] = RandomGrant(name);
          records.SetGrant(model, revision, &grants[name]);
      }
    }
    for (std::uint32_t model = 0; model < records.size(); ++model) {
      const std::string name(records.Name(model));
      // Prefilled, as ForEachRow and ForEachGrant reuse one record for all reads.
      ModelRow row = RandomRow("other");
      GrantRecord grant = RandomGrant("other");
      RC_ASSERT(records.Find(name) == model);
      RC_ASSERT(records.ReadRow(model, &row) == rows.contains(name));
      RC_ASSERT(records.ReadGrant(model, &grant) == grants.contains(name));
      RC_ASSERT(!rows.contains(name) || row == rows[name]);
      RC_ASSERT(!grants.contains(name) || grant == grants[name]);
    }
  }));
}

TEST_CASE("a row with its grant takes at most 250 bytes, also after repeated rewrites") {
  constexpr std::uint64_t kRows = 5000;
  constexpr std::size_t kBytesPerRow = 250;
  RecordStore store;
  for (std::uint64_t pass = 0; pass < 3; ++pass) {
    std::vector<RecordChange> changes;
    const TableRevision before = store.revision();
    for (std::uint64_t number = 0; number < kRows; ++number) {
      const TableRevision revision(before.value() + number + 1);
      const std::string name = absl::StrCat("tenant-adapter-", number);
      changes.push_back({RowKey(ModelName(name)), revision, TypicalRow(name, number)});
      changes.push_back({GrantKey(ModelName(name)), revision, TypicalGrant(name, number)});
    }
    REQUIRE(store.Apply(before, changes.back().revision, changes));
    CHECK(store.HeldBytes() / kRows <= kBytesPerRow);
  }
}

}  // namespace
}  // namespace hingespan
