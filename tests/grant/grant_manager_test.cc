// Tests for which rows a grant manager plans when workers and rows change.
#include "hingespan/grant/grant_manager.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

const ZoneId kLocalZone("z1");
constexpr int kRows = 300;
constexpr int kShortRows = 5;
constexpr int kWorkers = 10;

std::vector<GrantTarget> Workers(int count) {
  std::vector<GrantTarget> targets;
  for (int index = 1; index <= count; ++index) {
    targets.push_back({WorkerId("w" + std::to_string(index)), WorkerIncarnation(1), 100});
  }
  return targets;
}

// A grant manager with a platform that accepts every write.
struct Rig {
  RecordStore store;
  GrantManager grants{NodeId("n"), kLocalZone, {kLocalZone}, GrantOptions(), &store};
  std::vector<GrantTarget> targets = Workers(kWorkers);
  absl::Time now = absl::UnixEpoch();

  Rig() {
    store.SetListener([this](const std::string& key) {
      grants.MarkDirty(ModelName(key.substr(key.find('/') + 1)));
    });
  }
  void Put(const std::string& key, Record record) {
    const TableRevision after = store.revision();
    store.Apply(after, after.Next(), {{key, after.Next(), std::move(record)}});
  }
  void PutRow(const std::string& name, std::uint32_t limit, const std::string& base = "") {
    ModelRow row;
    row.name = ModelName(name);
    row.memory_mib = 10;
    row.max_replicas = limit;
    row.base = ModelName(base);
    row.kind = base.empty() ? RowKind::kModel : RowKind::kAdapter;
    Put(RowKey(row.name), row);
  }
  void Tick() {
    now += absl::Milliseconds(50);
    Outbox outbox;
    grants.Tick(
        targets, [](const ModelName&) { return true; },
        [](const WorkerId&) { return NodeId("keeper"); }, now, &outbox);
    for (const PlatformCall& call : outbox.platform_calls) {
      const Write& write = std::get<Transaction>(call.request).writes.at(0);
      Put(write.key, *DecodeRecord(write.key, *write.value));
      grants.HandleAnswer(
          {call.call, CallOwner::kGrants, {}, TransactionResult{true, store.revision(), {}}}, now);
    }
  }
  // Runs until nothing is left to do and returns the number of plans made.
  std::uint64_t Settle() {
    const std::uint64_t before = grants.plans();
    for (int tick = 0; tick < 2000; ++tick) {
      Tick();
      if (grants.idle()) {
        return grants.plans() - before;
      }
    }
    FAIL("not settled");
    return 0;
  }
  std::uint64_t SlotsOn(const std::string& worker) const {
    std::uint64_t count = 0;
    store.ForEachGrant([&](const GrantRecord& record) {
      for (const GrantSlot& slot : record.slots) {
        count += slot.worker == WorkerId(worker) ? 1 : 0;
      }
    });
    return count;
  }
};

}  // namespace

TEST_CASE("a change of a worker causes planning only for rows that it may affect") {
  Rig rig;
  for (int index = 0; index < kRows; ++index) {
    rig.PutRow("m" + std::to_string(index), 1);
  }
  for (int index = 0; index < kShortRows; ++index) {
    rig.PutRow("short" + std::to_string(index), kWorkers + 1);
  }
  rig.Settle();
  const std::uint64_t on_first = rig.SlotsOn("w1");
  REQUIRE(on_first > kShortRows);

  // Each row on the worker is planned for, written, and found to be complete.
  rig.targets[0].gone = true;
  CHECK(rig.Settle() <= 2 * on_first);
  CHECK(rig.SlotsOn("w1") == 0);
  // A new worker causes planning only for rows that are short of slots.
  rig.targets.push_back({WorkerId("new"), WorkerIncarnation(1), 100});
  CHECK(rig.Settle() <= 2 * kShortRows);
  CHECK(rig.SlotsOn("new") == kShortRows);
  // A restarted worker causes planning for the rows on it and those short of slots.
  rig.targets[1].incarnation = WorkerIncarnation(2);
  CHECK(rig.Settle() <= 2 * rig.SlotsOn("w2") + kShortRows);
  // Nothing has changed.
  CHECK(rig.Settle() == 0);
}

TEST_CASE("a worker that is no longer leaving gets slots again") {
  Rig rig;
  rig.targets.resize(1);
  rig.PutRow("m", 1);
  rig.targets[0].leaving = true;
  rig.Settle();
  CHECK(rig.SlotsOn("w1") == 0);
  rig.targets[0].leaving = false;
  rig.Settle();
  CHECK(rig.SlotsOn("w1") == 1);
}

TEST_CASE("an adapter gets slots once its base has some") {
  Rig rig;
  std::vector<GrantTarget> workers;
  workers.swap(rig.targets);
  rig.PutRow("base", 2);
  rig.PutRow("adapter", 2, "base");
  rig.Settle();
  rig.targets = std::move(workers);
  rig.Settle();
  REQUIRE(rig.store.FindGrant(ModelName("adapter")) != nullptr);
  CHECK(rig.store.FindGrant(ModelName("adapter"))->slots.size() == 2);
}

TEST_CASE("one tick plans for a bounded number of rows") {
  Rig rig;
  rig.targets.clear();
  for (int index = 0; index < kRows; ++index) {
    rig.PutRow("m" + std::to_string(index), 1);
  }
  rig.Tick();
  CHECK(rig.grants.plans() == 32);
}

}  // namespace hingespan
