// Tests of one zone's quotas and grant plans, and of the grant manager's calls.
#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "hingespan/grant/grant_manager.h"
#include "hingespan/grant/grant_plan.h"
#include "hingespan/grant/pinned_slots.h"
#include "hingespan/grant/quota.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

const ZoneId kLocalZone("z1");
const ZoneId kOtherZone("z2");
const absl::Time kStart = absl::UnixEpoch();

ModelRow Row(const std::string& name, std::uint32_t limit) {
  ModelRow row;
  row.name = ModelName(name);
  row.memory_mib = 10;
  row.max_replicas = limit;
  return row;
}

GrantSlot Slot(const std::string& worker, std::uint64_t generation,
               const ZoneId& zone = kLocalZone) {
  return {WorkerId(worker), WorkerIncarnation(1), zone, GrantGeneration(generation),
          SlotState::kGranted};
}

std::vector<GrantTarget> Workers(int count) {
  std::vector<GrantTarget> targets;
  for (int index = 1; index <= count; ++index) {
    targets.push_back({WorkerId("w" + std::to_string(index)), WorkerIncarnation(1), 100});
  }
  return targets;
}

struct Plan {
  ModelRow row = Row("m", 2);
  std::vector<GrantTarget> targets = Workers(3);
  GrantPlanInput input;
  Plan() {
    input.row = &row;
    input.targets = &targets;
    input.zone = kLocalZone;
    input.zone_limit = 2;
    input.total_limit = 2;
    input.record.model = row.name;
    input.is_confirmed = [](const GrantSlot&) { return false; };
  }
  void SetSlots(std::vector<GrantSlot> slots) {
    input.record.slots = std::move(slots);
    input.record.next_generation = GrantGeneration(10);
  }
};

}  // namespace

TEST_CASE("quotas add up, follow the weights and spread single replicas over zones") {
  const std::vector<ZoneId> zones = {kLocalZone, kOtherZone, ZoneId("z3")};
  ModelRow row = Row("m", 7);
  row.weights = {{kLocalZone, 70}, {kOtherZone, 30}};
  auto quotas = DivideByWeight(row, 7, zones);
  CHECK(quotas[kLocalZone] == 5);
  CHECK(quotas[kOtherZone] == 2);
  CHECK(quotas[zones[2]] == 0);
  row.weights = {{kLocalZone, 0}};
  CHECK(DivideByWeight(row, 7, zones)[kLocalZone] == 0);
  std::map<ZoneId, std::uint32_t> sums;
  for (int index = 0; index < 300; ++index) {
    std::uint32_t total = 0;
    for (const auto& [zone, quota] :
         DivideByWeight(Row("m" + std::to_string(index), 1), 1, zones)) {
      sums[zone] += quota;
      total += quota;
    }
    CHECK(total == 1);
  }
  for (const ZoneId& zone : zones) {
    CHECK(sums[zone] > 60);
  }
}

TEST_CASE("an adapter's replicas are divided among the zones where its base may have some") {
  const std::vector<ZoneId> zones = {kLocalZone, kOtherZone, ZoneId("z3")};
  RecordStore store;
  ModelRow base = Row("base", 2);
  base.weights = {{kLocalZone, 1}, {kOtherZone, 1}};
  store.Apply(TableRevision(), TableRevision(1), {{RowKey(base.name), TableRevision(1), base}});
  for (int index = 0; index < 100; ++index) {
    ModelRow adapter = Row("a" + std::to_string(index), 1);
    adapter.kind = RowKind::kAdapter;
    adapter.base = base.name;
    auto quotas = DivideReplicas(store, adapter, zones);
    CHECK(quotas[kLocalZone] + quotas[kOtherZone] == 1);
    CHECK(quotas.at(zones[2]) == 0);
  }
  ModelRow elsewhere = Row("elsewhere", 1);
  elsewhere.kind = RowKind::kAdapter;
  elsewhere.base = base.name;
  elsewhere.weights = {{zones[2], 1}};
  CHECK(DivideReplicas(store, elsewhere, zones).at(zones[2]) == 0);
}

TEST_CASE("min_replicas pins the oldest granted slots") {
  ModelRow row = Row("m", 4);
  row.min_replicas = 2;
  GrantRecord record;
  record.slots = {Slot("w1", 7), Slot("w2", 3), Slot("w3", 5, kOtherZone),
                  Slot("w4", 4, kOtherZone)};
  record.slots[3].state = SlotState::kRevoking;
  const std::vector<GrantSlot> pinned = PinnedSlots(row, record);
  REQUIRE(pinned.size() == 2);
  CHECK(pinned[0].worker == WorkerId("w2"));
  CHECK(pinned[1].worker == WorkerId("w3"));
}

TEST_CASE("slots are granted in advance, within both limits, to workers that are not leaving") {
  Plan plan;
  plan.targets[0].leaving = true;
  plan.targets[1].incarnation = WorkerIncarnation();
  GrantRecord record = PlanGrants(plan.input);
  REQUIRE(record.slots.size() == 1);
  CHECK(record.slots[0].worker == WorkerId("w3"));
  plan.targets = Workers(3);
  record = PlanGrants(plan.input);
  CHECK(record.slots.size() == 2);
  CHECK(record.next_generation == GrantGeneration(3));
  plan.SetSlots({Slot("v1", 1, kOtherZone)});
  CHECK(PlanGrants(plan.input).slots.size() == 2);
}

TEST_CASE("a revoking slot counts until its revocation is confirmed or its incarnation has ended") {
  Plan plan;
  plan.SetSlots({Slot("w1", 1), Slot("w2", 2)});
  plan.input.record.slots[0].state = SlotState::kRevoking;
  CHECK(PlanGrants(plan.input) == plan.input.record);

  SUBCASE("confirmed") {
    plan.input.is_confirmed = [](const GrantSlot& slot) {
      return slot.generation == GrantGeneration(1);
    };
    const GrantRecord record = PlanGrants(plan.input);
    REQUIRE(record.slots.size() == 2);
    CHECK(record.slots[1].generation == GrantGeneration(10));
  }
  SUBCASE("unknown worker") {
    plan.targets = {};
    CHECK(PlanGrants(plan.input) == plan.input.record);
  }
  SUBCASE("machine gone") {
    plan.targets[0].gone = true;
    CHECK(PlanGrants(plan.input).slots[0].worker == WorkerId("w2"));
  }
  SUBCASE("restarted") {
    plan.targets[0].incarnation = WorkerIncarnation(2);
    plan.targets[1].incarnation = WorkerIncarnation(2);
    const GrantRecord record = PlanGrants(plan.input);
    REQUIRE(record.slots.size() == 2);
    CHECK(record.slots[0].worker == WorkerId("w2"));
    CHECK(record.slots[0].incarnation == WorkerIncarnation(2));
    CHECK(record.slots[0].generation == GrantGeneration(10));
  }
}

TEST_CASE(
    "lowered limits, deleted rows and leaving workers cause revocations with a larger generation") {
  Plan plan;
  plan.SetSlots({Slot("w1", 1), Slot("w2", 2), Slot("v1", 3, kOtherZone)});
  SUBCASE("lowered: the newest slot is revoked, other zones' slots stay") {
    plan.input.zone_limit = 1;
    const GrantRecord record = PlanGrants(plan.input);
    CHECK(record.slots[0].state == SlotState::kGranted);
    CHECK(record.slots[1].state == SlotState::kRevoking);
    CHECK(record.slots[1].generation == GrantGeneration(10));
    CHECK(record.slots[2] == plan.input.record.slots[2]);
  }
  SUBCASE("deleted") {
    plan.input.row = nullptr;
    const GrantRecord record = PlanGrants(plan.input);
    CHECK(record.slots[0].state == SlotState::kRevoking);
    CHECK(record.slots[1].state == SlotState::kRevoking);
    CHECK(record.slots[2].state == SlotState::kGranted);
  }
  SUBCASE("leaving") {
    plan.targets[0].leaving = true;
    const GrantRecord record = PlanGrants(plan.input);
    CHECK(record.slots[0].state == SlotState::kRevoking);
    CHECK(record.slots[1].state == SlotState::kGranted);
  }
}

TEST_CASE("grants spread over workers, and adapters are granted where their base is") {
  Plan plan;
  plan.input.total_limit = 1;
  std::map<WorkerId, int> counts;
  for (int index = 0; index < 300; ++index) {
    plan.input.record.model = ModelName("m" + std::to_string(index));
    ++counts[PlanGrants(plan.input).slots[0].worker];
  }
  for (const GrantTarget& target : plan.targets) {
    CHECK(counts[target.worker] > 60);
  }
  plan.input.total_limit = 3;
  plan.input.zone_limit = 3;
  plan.input.base_workers = {WorkerId("w2")};
  const GrantRecord record = PlanGrants(plan.input);
  REQUIRE(record.slots.size() == 1);
  CHECK(record.slots[0].worker == WorkerId("w2"));
}

TEST_CASE(
    "one transaction per model is in flight at a time, with both revisions, until it times out") {
  RecordStore store;
  GrantManager grants(NodeId("n"), kLocalZone, {kLocalZone}, GrantOptions(), &store);
  store.SetListener([&](const std::string&) { grants.MarkDirty(ModelName("m")); });
  store.Apply(TableRevision(0), TableRevision(4),
              {{RowKey(ModelName("m")), TableRevision(4), Row("m", 1)}});
  const auto tick = [&](absl::Duration after) {
    Outbox outbox;
    grants.Tick(
        Workers(2), [](const ModelName&) { return true; },
        [](const WorkerId&) { return NodeId("keeper"); }, kStart + after, &outbox);
    return outbox;
  };
  const Outbox first = tick(absl::ZeroDuration());
  REQUIRE(first.platform_calls.size() == 1);
  const auto& transaction = std::get<Transaction>(first.platform_calls[0].request);
  REQUIRE(transaction.preconditions.size() == 2);
  CHECK(transaction.preconditions[0].revision == TableRevision(4));
  CHECK(transaction.preconditions[1].revision == TableRevision(0));
  CHECK(tick(absl::Seconds(1)).platform_calls.empty());
  // The answer never arrives: the call is abandoned and retried later.
  CHECK(tick(absl::Seconds(11)).platform_calls.empty());
  CHECK(tick(absl::Seconds(12)).platform_calls.size() == 1);
  // The first call took effect: the record arrives, and nothing more is written.
  const std::string& value = *transaction.writes[0].value;
  const std::string key = GrantKey(ModelName("m"));
  store.Apply(TableRevision(4), TableRevision(5),
              {{key, TableRevision(5), *DecodeRecord(key, value)}});
  CHECK(tick(absl::Seconds(30)).platform_calls.empty());
}

}  // namespace hingespan
