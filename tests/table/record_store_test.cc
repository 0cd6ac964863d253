#include "hingespan/table/record_store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "tests/rapidcheck_seed.h"

namespace hingespan {
namespace {

RecordChange RowChange(const std::string& name, std::uint64_t revision, std::uint32_t memory_mib) {
  ModelRow row;
  row.name = ModelName(name);
  row.memory_mib = memory_mib;
  return {RowKey(row.name), TableRevision(revision), row};
}

RecordChange Deletion(const std::string& name, std::uint64_t revision) {
  return {RowKey(ModelName(name)), TableRevision(revision), std::nullopt};
}

std::map<std::string, std::uint32_t> RowsOf(const RecordStore& store) {
  std::map<std::string, std::uint32_t> rows;
  store.ForEachRow([&rows](const ModelRow& row) { rows[row.name.value()] = row.memory_mib; });
  return rows;
}

TEST_CASE("a store never returns to an earlier revision") {
  RecordStore store;
  REQUIRE(store.Apply(TableRevision(0), TableRevision(5), {RowChange("m", 5, 50)}));
  CHECK(store.Apply(TableRevision(0), TableRevision(3), {RowChange("m", 3, 30)}));
  CHECK(store.FindRow(ModelName("m"))->memory_mib == 50);
  CHECK(store.revision() == TableRevision(5));
  CHECK(store.RevisionOf("rows/m") == TableRevision(5));
}

TEST_CASE("changes after a gap are not applied") {
  RecordStore store;
  CHECK_FALSE(store.Apply(TableRevision(4), TableRevision(5), {RowChange("m", 5, 50)}));
  CHECK(store.revision() == TableRevision(0));
  CHECK(store.FindRow(ModelName("m")) == nullptr);
}

TEST_CASE("a delayed value does not restore a deleted key") {
  RecordStore store;
  REQUIRE(store.Apply(TableRevision(0), TableRevision(2), {Deletion("m", 2)}));
  CHECK(store.Apply(TableRevision(0), TableRevision(1), {RowChange("m", 1, 10)}));
  CHECK(store.row_count() == 0);
  CHECK(store.RevisionOf("rows/m") == TableRevision(0));
}

TEST_CASE("all kinds of records are found and the listener is called for each key") {
  RecordStore store;
  std::vector<std::string> notified_keys;
  store.SetListener([&notified_keys](const std::string& key) { notified_keys.push_back(key); });
  GrantRecord grant;
  grant.model = ModelName("m");
  ClaimRangeRecord claim;
  claim.range = KeyRangeId(12);
  REQUIRE(store.Apply(TableRevision(0), TableRevision(1),
                      {{GrantKey(grant.model), TableRevision(1), grant},
                       {ClaimKey(claim.range), TableRevision(1), claim}}));
  CHECK(store.FindGrant(ModelName("m")) != nullptr);
  CHECK(store.FindClaimRange(KeyRangeId(12)) != nullptr);
  CHECK(notified_keys == std::vector<std::string>{GrantKey(grant.model), ClaimKey(claim.range)});
  TableRevision through;
  CHECK(store.ChangesAfter(TableRevision(0), 10000, &through).size() == 2);
}

TEST_CASE("a page never splits a revision, even if it exceeds the size limit") {
  RecordStore store;
  REQUIRE(store.Apply(TableRevision(0), TableRevision(2),
                      {RowChange("a", 1, 1), RowChange("b", 1, 1), RowChange("c", 2, 1)}));
  TableRevision through;
  const auto page = store.ChangesAfter(TableRevision(0), 1, &through);
  CHECK(page.size() == 2);
  CHECK(through == TableRevision(1));
  CHECK(store.ChangesAfter(through, 1, &through).size() == 1);
  CHECK(through == TableRevision(2));
}

// --- Paging from a peer that changes concurrently

struct Page {
  TableRevision after;
  TableRevision through;
  std::vector<RecordChange> changes;
};

// Commits writes or deletions of one to three keys.
void RandomCommit(RecordStore* peer) {
  const TableRevision revision = peer->revision().Next();
  const int count = *rc::gen::inRange(1, 4);
  std::vector<RecordChange> changes;
  for (int index = 0; index < count; ++index) {
    const std::string name = std::to_string(*rc::gen::inRange(0, 6));
    const auto memory_mib = *rc::gen::arbitrary<std::uint32_t>();
    changes.push_back(*rc::gen::inRange(0, 3) == 0 ? Deletion(name, revision.value())
                                                   : RowChange(name, revision.value(), memory_mib));
  }
  RC_ASSERT(peer->Apply(peer->revision(), revision, changes));
}

Page NextPage(const RecordStore& source, TableRevision after) {
  Page page;
  page.after = after;
  page.changes = source.ChangesAfter(after, *rc::gen::inRange<std::size_t>(1, 1500), &page.through);
  return page;
}

void ApplyPage(const Page& page, RecordStore* receiver) {
  const TableRevision before = receiver->revision();
  receiver->Apply(page.after, page.through, page.changes);
  RC_ASSERT(receiver->revision() >= before);
}

void CatchUp(const RecordStore& source, RecordStore* receiver) {
  while (receiver->revision() < source.revision()) {
    const Page page = NextPage(source, receiver->revision());
    RC_ASSERT(page.through > receiver->revision());
    ApplyPage(page, receiver);
  }
}

TEST_CASE("lost, duplicated and reordered pages converge to the peer's values") {
  CHECK(rc::check("paging from a changing peer", [] {
    RecordStore peer;
    // The second receiver reads pages from the first one, which is itself still receiving pages.
    RecordStore first;
    RecordStore second;
    std::vector<Page> sent;
    const int steps = *rc::gen::inRange(0, 40);
    for (int step = 0; step < steps; ++step) {
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          RandomCommit(&peer);
          break;
        case 1:
          sent.push_back(NextPage(peer, first.revision()));
          break;
        case 2:
          sent.push_back(NextPage(first, second.revision()));
          break;
        default:
          // Pages stay in the list, so either receiver may get them repeatedly, late or never.
          if (!sent.empty()) {
            const Page& page = sent[*rc::gen::inRange<std::size_t>(0, sent.size())];
            ApplyPage(page, *rc::gen::arbitrary<bool>() ? &first : &second);
          }
      }
    }
    CatchUp(peer, &first);
    CatchUp(first, &second);
    RC_ASSERT(RowsOf(first) == RowsOf(peer));
    RC_ASSERT(RowsOf(second) == RowsOf(peer));
  }));
}

}  // namespace
}  // namespace hingespan
