#include "hingespan/routing/replica_directory.h"

#include <doctest/doctest.h>

namespace hingespan {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const WorkerId kWorker("w1");
const NodeId kKeeper("n1");
const NodeId kNextKeeper("n2");
const ModelName kModel("m1");
const ModelName kOther("m2");

// Builds the messages of one keeper.
struct Sender {
  std::uint64_t incarnation = 1;
  std::uint64_t epoch = 1;

  WorkerReport Report(std::uint64_t version) const {
    WorkerReport report;
    report.worker = kWorker;
    report.incarnation = WorkerIncarnation(incarnation);
    report.epoch = KeeperEpoch(epoch);
    report.version = ReplicaListVersion(version);
    report.base_url = "http://127.0.0.1:1/engines/w1";
    return report;
  }
  WorkerHeartbeat Heartbeat(std::uint64_t version, std::uint64_t sequence) const {
    return {kWorker, WorkerIncarnation(incarnation), KeeperEpoch(epoch),
            ReplicaListVersion(version), sequence};
  }
  ReplicaUpdate Update(std::uint64_t version, ModelName model, ReplicaState state) const {
    ReplicaUpdate update;
    update.worker = kWorker;
    update.incarnation = WorkerIncarnation(incarnation);
    update.epoch = KeeperEpoch(epoch);
    update.version = ReplicaListVersion(version);
    update.model = std::move(model);
    update.state = state;
    return update;
  }
  ReplicaList List(std::uint64_t version, std::vector<ModelName> ready, std::uint32_t part = 0,
                   std::uint32_t parts = 1) const {
    ReplicaList list;
    list.worker = kWorker;
    list.incarnation = WorkerIncarnation(incarnation);
    list.epoch = KeeperEpoch(epoch);
    list.version = ReplicaListVersion(version);
    list.part = part;
    list.parts = parts;
    for (ModelName& model : ready) {
      list.replicas.push_back({std::move(model), GrantGeneration(1), ReplicaState::kReady, 0});
    }
    return list;
  }
};

struct Fixture {
  ReplicaDirectory directory{DirectoryOptions{}};
  Outbox outbox;
  absl::Time now = kStart;
  Sender keeper;

  // The worker is known with kModel ready at version 1, and the next list may be requested.
  Fixture() {
    directory.Handle(kKeeper, keeper.Report(1), now, &outbox);
    directory.Handle(kKeeper, keeper.List(1, {kModel}), now);
    outbox = Outbox();
    now += DirectoryOptions().list_request_interval;
  }
  bool Ready(const ModelName& model) const { return !directory.ReadyWorkers(model, now).empty(); }
  std::vector<NodeId> TakeListRequests() { return TakeRecipients<ReplicaListRequest>(); }
  std::vector<NodeId> TakeReportRequests() { return TakeRecipients<WorkerReportRequest>(); }
  template <typename Request>
  std::vector<NodeId> TakeRecipients() {
    std::vector<NodeId> recipients;
    for (const OutgoingMessage& message : outbox.messages) {
      if (std::holds_alternative<Request>(message.message)) {
        recipients.push_back(message.to);
      }
    }
    outbox = Outbox();
    return recipients;
  }
};

TEST_CASE_FIXTURE(Fixture, "updates apply in order, and repeated or late ones are ignored") {
  CHECK(Ready(kModel));
  const ReplicaUpdate loading = keeper.Update(2, kOther, ReplicaState::kLoading);
  CHECK(directory.Handle(kKeeper, loading, now, &outbox) == std::vector<ModelName>{kOther});
  CHECK(directory.LoadingWorkers(kOther, now) == std::vector<WorkerId>{kWorker});
  CHECK_FALSE(Ready(kOther));
  directory.Handle(kKeeper, keeper.Update(3, kOther, ReplicaState::kReady), now, &outbox);
  CHECK(directory.Handle(kKeeper, loading, now, &outbox).empty());
  CHECK(Ready(kOther));
  directory.Handle(kKeeper, keeper.Update(4, kOther, ReplicaState::kDraining), now, &outbox);
  CHECK_FALSE(Ready(kOther));
  ReplicaUpdate removed = keeper.Update(5, kModel, ReplicaState::kReady);
  removed.removed = true;
  CHECK(directory.Handle(kKeeper, removed, now, &outbox) == std::vector<ModelName>{kModel});
  CHECK_FALSE(Ready(kModel));
  CHECK(TakeListRequests().empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "a missing version requests the list from the keeper, at a limited rate") {
  directory.Handle(kKeeper, keeper.Update(3, kOther, ReplicaState::kReady), now, &outbox);
  CHECK_FALSE(Ready(kOther));
  directory.Handle(kKeeper, keeper.Update(4, kOther, ReplicaState::kReady), now, &outbox);
  CHECK(TakeListRequests() == std::vector<NodeId>{kKeeper});
  now += DirectoryOptions().list_request_interval;
  directory.Handle(kKeeper, keeper.Report(4), now, &outbox);
  CHECK(TakeListRequests() == std::vector<NodeId>{kKeeper});
  CHECK(directory.Handle(kKeeper, keeper.List(4, {kOther}), now).size() == 2);
  CHECK(Ready(kOther));
  CHECK_FALSE(Ready(kModel));
  now += DirectoryOptions().list_request_interval;
  directory.Handle(kKeeper, keeper.Report(4), now, &outbox);
  CHECK(TakeListRequests().empty());
}

TEST_CASE_FIXTURE(Fixture, "parts of different versions are never combined") {
  directory.Handle(kKeeper, keeper.List(5, {kModel}, 0, 2), now);
  directory.Handle(kKeeper, keeper.List(6, {kOther}, 1, 2), now);
  CHECK_FALSE(Ready(kOther));
  directory.Handle(kKeeper, keeper.List(6, {kOther}, 1, 2), now);
  directory.Handle(kKeeper, keeper.List(5, {}, 1, 2), now);
  CHECK_FALSE(Ready(kOther));
  CHECK(directory.Find(kWorker)->version == ReplicaListVersion(1));
  directory.Handle(kKeeper, keeper.List(6, {}, 0, 2), now);
  CHECK(Ready(kOther));
  CHECK_FALSE(Ready(kModel));
}

TEST_CASE_FIXTURE(Fixture, "after a takeover the old keeper's messages are ignored") {
  Sender next = keeper;
  next.epoch = 2;
  directory.Handle(kNextKeeper, next.Report(0), now, &outbox);
  CHECK(TakeListRequests() == std::vector<NodeId>{kNextKeeper});
  CHECK(Ready(kModel));  // The old list stays in use until the new one arrives.
  WorkerReport stale = keeper.Report(9);
  stale.leaving = true;
  directory.Handle(kKeeper, stale, now, &outbox);
  directory.Handle(kKeeper, keeper.Update(2, kOther, ReplicaState::kReady), now, &outbox);
  directory.Handle(kKeeper, keeper.List(9, {kOther}), now);
  CHECK(Ready(kModel));
  CHECK_FALSE(Ready(kOther));
  CHECK(directory.Find(kWorker)->keeper == kNextKeeper);
  directory.Handle(kNextKeeper, next.List(0, {}), now);
  CHECK_FALSE(Ready(kModel));
}

TEST_CASE_FIXTURE(Fixture, "a restarted engine holds no replicas of the previous incarnation") {
  Sender restarted = keeper;
  restarted.incarnation = 2;
  CHECK(directory.Handle(kKeeper, restarted.Report(0), now, &outbox) ==
        std::vector<ModelName>{kModel});
  CHECK_FALSE(Ready(kModel));
  directory.Handle(kKeeper, keeper.List(7, {kModel}), now);
  CHECK_FALSE(Ready(kModel));
}

TEST_CASE_FIXTURE(Fixture, "a leaving, unreachable or silent worker gets no requests") {
  WorkerReport report = keeper.Report(1);
  report.leaving = true;
  CHECK(directory.Handle(kKeeper, report, now, &outbox) == std::vector<ModelName>{kModel});
  CHECK_FALSE(Ready(kModel));
  report.leaving = false;
  directory.Handle(kKeeper, report, now, &outbox);
  CHECK(Ready(kModel));
  directory.MarkLeaving(kWorker, true);
  CHECK_FALSE(Ready(kModel));
  directory.MarkLeaving(kWorker, false);
  CHECK(Ready(kModel));
  report.reachable = false;
  directory.Handle(kKeeper, report, now, &outbox);
  CHECK_FALSE(Ready(kModel));
  report.reachable = true;
  directory.Handle(kKeeper, report, now, &outbox);
  now += DirectoryOptions().report_timeout;
  CHECK(Ready(kModel));
  now += absl::Nanoseconds(1);
  CHECK_FALSE(Ready(kModel));
}

TEST_CASE_FIXTURE(Fixture, "a late report does not cancel a leave") {
  WorkerReport earlier = keeper.Report(1);
  earlier.sequence = 4;
  WorkerReport leave = keeper.Report(1);
  leave.sequence = 5;
  leave.leaving = true;
  directory.Handle(kKeeper, leave, now, &outbox);
  CHECK(directory.Handle(kKeeper, earlier, now, &outbox).empty());
  CHECK_FALSE(Ready(kModel));
  // The sequence of a new keeper starts anew.
  Sender next = keeper;
  next.epoch = 2;
  WorkerReport back = next.Report(1);
  back.sequence = 1;
  directory.Handle(kNextKeeper, back, now, &outbox);
  CHECK(Ready(kModel));
}

TEST_CASE_FIXTURE(Fixture, "a leave applies although a later replica update arrived before it") {
  WorkerReport leave = keeper.Report(1);
  leave.sequence = 5;
  leave.leaving = true;
  directory.Handle(kKeeper, keeper.Update(2, kOther, ReplicaState::kReady), now, &outbox);
  directory.Handle(kKeeper, leave, now, &outbox);
  CHECK_FALSE(Ready(kModel));
  CHECK(directory.Find(kWorker)->report.version == ReplicaListVersion(2));
  CHECK(TakeListRequests().empty());
}

TEST_CASE_FIXTURE(Fixture, "a worker that was removed and is reported again is still leaving") {
  directory.MarkLeaving(kWorker, true);
  now += DirectoryOptions().forget_after + absl::Seconds(1);
  WorkerReport other = keeper.Report(0);
  other.worker = WorkerId("w2");
  directory.Handle(kKeeper, other, now, &outbox);
  REQUIRE(directory.Find(kWorker) == nullptr);
  directory.Handle(kKeeper, keeper.Report(1), now, &outbox);
  directory.Handle(kKeeper, keeper.List(1, {kModel}), now);
  CHECK_FALSE(Ready(kModel));
}

TEST_CASE_FIXTURE(
    Fixture, "a model that the engine does not hold is removed until the keeper lists it again") {
  directory.MarkNotLoaded(kWorker, kModel);
  CHECK_FALSE(Ready(kModel));
  now += DirectoryOptions().list_request_interval;
  directory.Handle(kKeeper, keeper.Report(1), now, &outbox);
  CHECK(TakeListRequests() == std::vector<NodeId>{kKeeper});
  directory.Handle(kKeeper, keeper.List(1, {kModel}), now);
  CHECK(Ready(kModel));
}

TEST_CASE_FIXTURE(
    Fixture, "a worker that was silent for forget_after is removed when a new one is reported") {
  now += DirectoryOptions().forget_after + absl::Seconds(1);
  WorkerReport report = keeper.Report(0);
  report.worker = WorkerId("w2");
  directory.Handle(kKeeper, report, now, &outbox);
  CHECK(directory.Find(kWorker) == nullptr);
  CHECK(directory.workers().size() == 1);
  CHECK_FALSE(Ready(kModel));
}

// kWorker is known with report 5 and was last heard exactly report_timeout ago.
struct HeartbeatFixture : Fixture {
  WorkerReport report = keeper.Report(1);

  HeartbeatFixture() {
    report.sequence = 5;
    directory.Handle(kKeeper, report, now, &outbox);
    outbox = Outbox();
    now += DirectoryOptions().report_timeout;
  }
  std::vector<ModelName> Deliver(const WorkerHeartbeat& heartbeat, const NodeId& from = kKeeper) {
    return directory.Handle(from, heartbeat, now, &outbox);
  }
};

TEST_CASE_FIXTURE(HeartbeatFixture, "heartbeats alone keep an unchanged worker usable") {
  for (int beat = 0; beat < 10; ++beat) {
    CHECK(Deliver(keeper.Heartbeat(1, 5)).empty());
    CHECK(Ready(kModel));
    CHECK(outbox.messages.empty());
    now += DirectoryOptions().report_timeout;
  }
  now += absl::Nanoseconds(1);
  CHECK_FALSE(Ready(kModel));
  // The worker became usable again, so waiting requests must be dispatched.
  CHECK(Deliver(keeper.Heartbeat(1, 5)) == std::vector<ModelName>{kModel});
  CHECK(Ready(kModel));
}

TEST_CASE_FIXTURE(HeartbeatFixture,
                  "a heartbeat for a newer report requests it and confirms nothing") {
  CHECK(Deliver(keeper.Heartbeat(1, 6)).empty());
  CHECK(TakeReportRequests() == std::vector<NodeId>{kKeeper});
  now += absl::Nanoseconds(1);
  CHECK_FALSE(Ready(kModel));
  WorkerReport leave = report;
  leave.sequence = 6;
  leave.leaving = true;
  directory.Handle(kKeeper, leave, now, &outbox);
  Deliver(keeper.Heartbeat(1, 6));
  CHECK(TakeReportRequests().empty());
  CHECK_FALSE(Ready(kModel));
}

TEST_CASE_FIXTURE(HeartbeatFixture, "a heartbeat for an older report has no effect") {
  CHECK(Deliver(keeper.Heartbeat(1, 4)).empty());
  CHECK(outbox.messages.empty());
  now += absl::Nanoseconds(1);
  CHECK_FALSE(Ready(kModel));
}

TEST_CASE_FIXTURE(HeartbeatFixture, "a heartbeat with a newer list version repairs a lost update") {
  Deliver(keeper.Heartbeat(2, 5));
  CHECK(TakeListRequests() == std::vector<NodeId>{kKeeper});
  directory.Handle(kKeeper, keeper.List(2, {kModel, kOther}), now);
  CHECK(Ready(kOther));
  Deliver(keeper.Heartbeat(1, 5));
  now += DirectoryOptions().list_request_interval;
  Deliver(keeper.Heartbeat(2, 5));
  CHECK(outbox.messages.empty());
}

TEST_CASE_FIXTURE(HeartbeatFixture, "after a takeover only the new keeper's heartbeats apply") {
  Sender next = keeper;
  next.epoch = 2;
  Deliver(next.Heartbeat(0, 1), kNextKeeper);
  CHECK(TakeReportRequests() == std::vector<NodeId>{kNextKeeper});
  WorkerReport first = next.Report(0);
  first.sequence = 1;
  directory.Handle(kNextKeeper, first, now, &outbox);
  directory.Handle(kNextKeeper, next.List(0, {kModel}), now);
  outbox = Outbox();
  now += DirectoryOptions().report_timeout;
  Deliver(keeper.Heartbeat(9, 9));
  CHECK(outbox.messages.empty());
  CHECK(directory.Find(kWorker)->keeper == kNextKeeper);
  now += absl::Nanoseconds(1);
  CHECK_FALSE(Ready(kModel));
}

// An update with a new epoch or incarnation carries no report.
TEST_CASE_FIXTURE(
    HeartbeatFixture,
    "an update that overtakes the new keeper's report makes the next heartbeat request it") {
  Sender next = keeper;
  next.epoch = 2;
  directory.Handle(kNextKeeper, next.Update(1, kOther, ReplicaState::kReady), now, &outbox);
  outbox = Outbox();
  Deliver(next.Heartbeat(1, 1), kNextKeeper);
  CHECK(TakeReportRequests() == std::vector<NodeId>{kNextKeeper});
}

TEST_CASE_FIXTURE(HeartbeatFixture, "the heartbeat of an unknown worker requests its report") {
  WorkerHeartbeat other = keeper.Heartbeat(0, 1);
  other.worker = WorkerId("w2");
  Deliver(other);
  CHECK(TakeReportRequests() == std::vector<NodeId>{kKeeper});
  CHECK(directory.Find(other.worker) == nullptr);
}

}  // namespace
}  // namespace hingespan
