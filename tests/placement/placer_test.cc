// Tests of a model's placer: wake requests of many routers cause few loads, and refusals reach all
// routers.
#include "hingespan/placement/placer.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace hingespan {
namespace {

const ModelName kModel("m");
const ZoneId kZone("z");
const NodeId kKeeper("keeper");

struct Rig {
  RecordStore store;
  ReplicaDirectory directory{DirectoryOptions()};
  absl::Time now = absl::UnixEpoch();
  Outbox outbox;
  Placer placer;

  explicit Rig(PlacerOptions options = PlacerOptions())
      : placer(NodeId("p"), kZone, options, &store, &directory) {
    store.SetListener([this](const std::string&) { placer.OnRowChanged(kModel); });
  }

  void SetRow(std::uint32_t limit, std::uint32_t min_replicas = 0) {
    ModelRow row;
    row.name = kModel;
    row.memory_mib = 10;
    row.max_replicas = limit;
    row.min_replicas = min_replicas;
    Store({RowKey(kModel), {}, row});
  }
  // Grants a slot at each worker. Worker w1 has the least free memory.
  void SetSlots(int count) {
    GrantRecord record;
    record.model = kModel;
    for (int index = 1; index <= count; ++index) {
      const WorkerId worker("w" + std::to_string(index));
      record.slots.push_back({worker, WorkerIncarnation(1), kZone,
                              GrantGeneration(static_cast<std::uint64_t>(index))});
      WorkerReport report;
      report.worker = worker;
      report.incarnation = WorkerIncarnation(1);
      report.epoch = KeeperEpoch(1);
      report.base_url = "http://e";
      report.memory_mib = 100 + static_cast<std::uint32_t>(index);
      directory.Handle(kKeeper, report, now, &outbox);
    }
    Store({GrantKey(kModel), {}, record});
    outbox = Outbox();
  }
  void Store(RecordChange change) {
    const TableRevision next = store.revision().Next();
    change.revision = next;
    store.Apply(store.revision(), next, {change});
  }
  void SetReplica(const std::string& worker, ReplicaState state, std::uint64_t version) {
    ReplicaList list;
    list.worker = WorkerId(worker);
    list.incarnation = WorkerIncarnation(1);
    list.epoch = KeeperEpoch(1);
    list.version = ReplicaListVersion(version);
    list.replicas = {{kModel, GrantGeneration(1), state, 700}};
    directory.Handle(kKeeper, list, now);
  }
  void Wake(const std::string& router, std::uint32_t waiting = 1, std::uint32_t deadline_ms = 5000,
            std::uint32_t service_ms = 0) {
    placer.HandleWake(
        NodeId(router), {kModel, waiting, deadline_ms, deadline_ms, service_ms},
        [](const WorkerId&) { return kKeeper; }, [](const ModelName&) { return NodeId("p"); }, now,
        &outbox);
  }
  void Tick(absl::Duration after = absl::Milliseconds(20)) {
    now += after;
    placer.Tick([](const ModelName&) { return true; }, [](const WorkerId&) { return kKeeper; }, now,
                &outbox);
  }
  void Reply(const LoadRequest& request, LoadOutcome outcome, std::uint32_t wait_ms = 400) {
    placer.HandleLoadReply(
        kKeeper,
        {request.worker, request.incarnation, request.model, request.generation, outcome, wait_ms},
        now, &outbox);
  }
  std::vector<LoadRequest> TakeLoads() { return Take<LoadRequest>(); }
  std::vector<WakeReply> TakeReplies() { return Take<WakeReply>(); }

 private:
  template <typename T>
  std::vector<T> Take() {
    std::vector<T> taken;
    std::vector<OutgoingMessage> rest;
    for (OutgoingMessage& outgoing : outbox.messages) {
      if (const auto* message = std::get_if<T>(&outgoing.message)) {
        taken.push_back(*message);
      } else {
        rest.push_back(std::move(outgoing));
      }
    }
    outbox.messages = std::move(rest);
    return taken;
  }
};

}  // namespace

TEST_CASE("many routers cause one load, at the worker with the most free memory") {
  Rig rig;
  rig.SetRow(3);
  rig.SetSlots(3);
  for (int router = 0; router < 6; ++router) {
    rig.Wake("r" + std::to_string(router));
  }
  const std::vector<LoadRequest> loads = rig.TakeLoads();
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].worker == WorkerId("w3"));
  CHECK(loads[0].generation == GrantGeneration(3));
  CHECK(rig.TakeReplies().size() == 6);
  rig.Tick(absl::Milliseconds(300));
  CHECK(rig.TakeLoads().size() == 1);
  rig.Reply(loads[0], LoadOutcome::kAccepted);
  rig.Wake("r0");
  CHECK(rig.TakeReplies()[0].expected_wait_ms == 400);
  // Eight places now and four more per second until 4 s from now.
  rig.Wake("r1", 8);
  CHECK(rig.TakeLoads().empty());
  rig.Wake("r2", 40);
  CHECK(rig.TakeLoads().size() == 2);
  rig.SetReplica("w3", ReplicaState::kReady, 1);
  rig.TakeReplies();
  rig.Wake("r0");
  CHECK(rig.TakeReplies()[0].outcome == WakeOutcome::kReady);
}

TEST_CASE("another replica is loaded for requests that a busy replica can't take in time") {
  Rig rig;
  rig.SetRow(2);
  rig.SetSlots(2);
  rig.SetReplica("w1", ReplicaState::kReady, 1);
  // Eight places of 60 s each, so one becomes free about every 7.5 s.
  SUBCASE("the load ends in time") {
    rig.Wake("r0", 3, 5000, 60000);
    const std::vector<LoadRequest> loads = rig.TakeLoads();
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].worker == WorkerId("w2"));
    rig.Wake("r0", 3, 4900, 60000);
    CHECK(rig.TakeLoads().empty());
  }
  SUBCASE("the load would end too late") {
    rig.Wake("r0", 3, 100, 60000);
    CHECK(rig.TakeLoads().empty());
  }
  SUBCASE("the replica is quick enough") {
    rig.Wake("r0", 3, 5000, 1000);
    CHECK(rig.TakeLoads().empty());
  }
}

TEST_CASE("requests received before a replica was ready use its free places") {
  Rig rig;
  rig.SetRow(2);
  rig.SetSlots(2);
  rig.Wake("r0", 6, 5000, 60000);
  rig.Reply(rig.TakeLoads().at(0), LoadOutcome::kAccepted);
  rig.Tick(absl::Milliseconds(400));
  rig.SetReplica("w2", ReplicaState::kReady, 1);
  rig.Wake("r0", 6, 4800, 60000);
  CHECK(rig.TakeLoads().empty());
  // The requests keep waiting because the replica was full.
  rig.Tick(absl::Seconds(1));
  rig.Wake("r0", 6, 3800, 60000);
  CHECK(rig.TakeLoads().size() == 1);
}

TEST_CASE("without coalescing every wake request loads everywhere") {
  PlacerOptions options;
  options.disable_coalescing_for_test = true;
  Rig rig(options);
  rig.SetRow(3);
  rig.SetSlots(3);
  rig.Wake("r0");
  rig.Wake("r1");
  CHECK(rig.TakeLoads().size() == 6);
}

TEST_CASE(
    "after a refused load the next slot is asked, and once all refused every router is told") {
  Rig rig;
  rig.SetRow(2);
  rig.SetSlots(2);
  rig.Wake("r0");
  rig.Wake("r1");
  rig.TakeReplies();
  rig.Reply(rig.TakeLoads()[0], LoadOutcome::kNoMemory);
  CHECK(rig.TakeReplies().empty());
  rig.Tick();
  const std::vector<LoadRequest> second = rig.TakeLoads();
  REQUIRE(second.size() == 1);
  CHECK(second[0].worker == WorkerId("w1"));
  rig.Reply(second[0], LoadOutcome::kNoMemory);
  const std::vector<WakeReply> refusals = rig.TakeReplies();
  REQUIRE(refusals.size() == 2);
  CHECK(refusals[1].outcome == WakeOutcome::kRefused);
  CHECK(refusals[1].reason == WakeRefusal::kNoMemory);
  CHECK(refusals[1].expected_wait_ms > 0);
  rig.Wake("r2");
  CHECK(rig.TakeReplies()[0].reason == WakeRefusal::kNoMemory);
  CHECK(rig.TakeLoads().empty());
  rig.now += absl::Seconds(2);
  rig.SetSlots(2);
  rig.Wake("r2");
  CHECK(rig.TakeLoads().size() == 1);
}

TEST_CASE("a keeper that does not answer is skipped") {
  Rig rig;
  rig.SetRow(2);
  rig.SetSlots(2);
  WorkerId asked;
  for (int tick = 0; tick < 40; ++tick) {
    rig.Wake("r0");
    rig.Tick(absl::Milliseconds(100));
    for (const LoadRequest& load : rig.TakeLoads()) {
      asked = load.worker;
      if (load.worker == WorkerId("w2")) {
        rig.Reply(load, LoadOutcome::kNotKeeper);
      }
    }
  }
  CHECK(asked == WorkerId("w1"));
}

TEST_CASE("requests wait for a possible grant; a missing grant, worker or row causes a refusal") {
  Rig rig;
  rig.Wake("r0");
  CHECK(rig.TakeReplies()[0].reason == WakeRefusal::kUnknownModel);
  rig.SetRow(0);
  rig.Wake("r0");
  CHECK(rig.TakeReplies()[0].reason == WakeRefusal::kNoGrant);
  rig.SetRow(1);
  rig.Wake("r0");
  CHECK(rig.TakeReplies()[0].outcome == WakeOutcome::kLoading);
  for (int tick = 0; tick < 21; ++tick) {
    rig.Tick(absl::Milliseconds(100));
    rig.Wake("r0");
  }
  CHECK(rig.TakeReplies().back().reason == WakeRefusal::kNoGrant);
  rig.SetSlots(1);
  rig.Wake("r0");
  CHECK(rig.TakeLoads().size() == 1);
  WorkerReport away;
  away.worker = WorkerId("w1");
  away.incarnation = WorkerIncarnation(1);
  away.epoch = KeeperEpoch(1);
  away.reachable = false;
  rig.directory.Handle(kKeeper, away, rig.now, &rig.outbox);
  for (int tick = 0; tick < 25; ++tick) {
    rig.Tick(absl::Milliseconds(100));
    rig.Wake("r0");
  }
  CHECK(rig.TakeReplies().back().reason == WakeRefusal::kNoWorker);
}

TEST_CASE("min_replicas are kept loaded") {
  Rig rig;
  rig.SetRow(3, 2);
  rig.SetSlots(3);
  rig.Tick();
  CHECK(rig.TakeLoads().size() == 2);
  rig.SetReplica("w1", ReplicaState::kReady, 1);
  rig.Tick(absl::Seconds(1));
  const std::vector<LoadRequest> loads = rig.TakeLoads();
  REQUIRE(loads.size() == 1);
  CHECK(loads[0].worker == WorkerId("w2"));
}

}  // namespace hingespan
