#include "hingespan/table/record_codec.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace hingespan {
namespace {

ModelRow FullRow() {
  ModelRow row;
  row.name = ModelName("rules-fr");
  row.kind = RowKind::kAdapter;
  row.base = ModelName("rules");
  row.checkpoint = "rules-fr-7";
  row.memory_mib = 512;
  row.max_replicas = 3;
  row.min_replicas = 1;
  row.max_wait_ms = 4000;
  row.max_queue = 12;
  row.max_concurrency = 5;
  row.idle_ms = 60000;
  row.weights = {{ZoneId("z1"), 80}, {ZoneId("z2"), 20}};
  row.edit = EditId("edit-1");
  row.editor = "anne";
  return row;
}

GrantRecord FullGrant() {
  GrantRecord grant;
  grant.model = ModelName("rules");
  grant.next_generation = GrantGeneration(9);
  grant.slots.push_back({WorkerId("w1"), WorkerIncarnation(4), ZoneId("z1"), GrantGeneration(7),
                         SlotState::kGranted});
  grant.slots.push_back({WorkerId("w2"), WorkerIncarnation(1), ZoneId("z2"), GrantGeneration(8),
                         SlotState::kRevoking});
  return grant;
}

ClaimRangeRecord FullClaim() {
  ClaimRangeRecord claim;
  claim.range = KeyRangeId(12);
  claim.until_ms = 1'900'000'000'000;
  claim.segments.push_back(
      {1'800'000'000'000, NodeId("n1"), NodeIncarnation(1'700'000'000'000'000), ZoneId("z1")});
  return claim;
}

void CheckRoundTrip(const std::string& key, const Record& record) {
  const Result<Record> decoded = DecodeRecord(key, EncodeRecord(record));
  REQUIRE(decoded.ok());
  CHECK(*decoded == record);
}

bool IsMalformed(std::string_view key, std::string_view text) {
  return DecodeRecord(key, text).error() == Error::kMalformed;
}

TEST_CASE("keys carry the prefix of their kind") {
  CHECK(RowKey(ModelName("a")) == "rows/a");
  CHECK(GrantKey(ModelName("a")) == "grants/a");
  CHECK(ClaimKey(KeyRangeId(3)) == "claims/3");
}

TEST_CASE("records of every kind round-trip unchanged") {
  CheckRoundTrip("rows/rules-fr", FullRow());
  CheckRoundTrip("grants/rules", FullGrant());
  CheckRoundTrip("claims/12", FullClaim());
}

TEST_CASE("omitted fields of a row keep their defaults") {
  const Result<Record> decoded = DecodeRecord("rows/a", R"({"name":"a","memory_mib":5})");
  REQUIRE(decoded.ok());
  ModelRow expected;
  expected.name = ModelName("a");
  expected.memory_mib = 5;
  CHECK(*decoded == Record(expected));
}

TEST_CASE("text that does not match its key is malformed") {
  CHECK(IsMalformed("rows/a", ""));
  CHECK(IsMalformed("rows/a", "{"));
  CHECK(IsMalformed("rows/a", "[]"));
  CHECK(IsMalformed("rows/a", "{}"));
  CHECK(IsMalformed("rows/a", R"({"name":"b"})"));
  CHECK(IsMalformed("rows/a", EncodeRecord(FullGrant())));
  CHECK(IsMalformed("keys/a", R"({"name":"a"})"));
}

TEST_CASE("fields of the wrong type or out of range are malformed, never truncated") {
  CHECK(IsMalformed("rows/a", R"({"name":"a","max_replicas":-1})"));
  CHECK(IsMalformed("rows/a", R"({"name":"a","max_replicas":4294967296})"));
  CHECK(IsMalformed("rows/a", R"({"name":"a","max_replicas":1.5})"));
  CHECK(IsMalformed("rows/a", R"({"name":"a","kind":"thing"})"));
  CHECK(IsMalformed("rows/a", R"({"name":"a","weights":{"z1":"much"}})"));
}

TEST_CASE("a grant without its counter is malformed, so no generation is issued twice") {
  CHECK(IsMalformed("grants/a", R"({"model":"a","slots":[]})"));
  CHECK(IsMalformed("grants/a", R"({"model":"a","next_generation":2})"));
  CHECK(IsMalformed("grants/a", R"({"model":"a","next_generation":2,"slots":[{"worker":"w"}]})"));
}

TEST_CASE("a key range without its bounds is malformed") {
  CHECK(IsMalformed("claims/1", R"({"range":1,"segments":[]})"));
  CHECK(IsMalformed("claims/1", R"({"range":1,"until_ms":5,"segments":[{"owner":"n1"}]})"));
}

}  // namespace
}  // namespace hingespan
