// Tests when a keeper reports changes to its zone, and what heartbeats confirm.
#include <doctest/doctest.h>

#include "tests/placement/keeper_rig.h"

namespace hingespan {
namespace {

// The keeper holds the worker, and its report of that has been sent and repeated.
struct SettledRig : Rig {
  SettledRig() {
    AddModel("m", 60);
    Run();
    Idle(absl::Seconds(5));
    TakeSent<WorkerReport>();
  }
  // Makes every status show `load` running requests.
  void Idle(absl::Duration duration) {
    for (const absl::Time end = now + duration; now < end;) {
      Tick();
      for (const EngineCall& call : TakeCalls()) {
        EngineStatus status = engine.Status();
        status.running = load;
        Answer(call, status);
      }
    }
  }
  std::vector<WorkerReport> ReportsAtLoad(std::uint32_t running) {
    load = running;
    Idle(absl::Seconds(10));
    return TakeSent<WorkerReport>();
  }
  std::uint32_t load = 0;
};

TEST_CASE_FIXTURE(SettledRig, "an unchanged worker is not reported again, and stays confirmed") {
  const WorkerReport sent = *keeper.SentReport();
  CHECK(ReportsAtLoad(0).empty());
  const std::optional<WorkerHeartbeat> heartbeat = keeper.Heartbeat();
  REQUIRE(heartbeat);
  CHECK(heartbeat->sequence == sent.sequence);
  CHECK(heartbeat->epoch == sent.epoch);
  CHECK(heartbeat->incarnation == sent.incarnation);
}

TEST_CASE_FIXTURE(SettledRig,
                  "a small load is reported exactly, a large one when it changes by a quarter") {
  for (const std::uint32_t running : {1U, 2U, 7U, 0U, 40U}) {
    const std::vector<WorkerReport> sent = ReportsAtLoad(running);
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().running == running);
  }
  CHECK(ReportsAtLoad(49).empty());
  CHECK(ReportsAtLoad(31).empty());
  CHECK(ReportsAtLoad(50).size() == 1);
  CHECK(ReportsAtLoad(38).size() == 1);
}

TEST_CASE_FIXTURE(SettledRig, "a fluctuating load is reported at most once per interval") {
  for (int swing = 0; swing < 40; ++swing) {
    load = swing % 2 == 0 ? 9 : 0;
    Idle(absl::Milliseconds(200));
  }
  CHECK(TakeSent<WorkerReport>().size() <= 5);
}

TEST_CASE_FIXTURE(
    SettledRig,
    "a leaving worker is reported at once and once more, with the same sequence number") {
  keeper.SetMachine({kWorker, ZoneId("z"), "http://e", MachineState::kLeaving});
  Tick(absl::Milliseconds(1));
  const std::vector<WorkerReport> first = TakeSent<WorkerReport>();
  REQUIRE(first.size() == 1);
  CHECK(first.front().leaving);
  const std::vector<WorkerReport> again = ReportsAtLoad(0);
  REQUIRE(again.size() == 1);
  CHECK(again.front().leaving);
  CHECK(again.front().sequence == first.front().sequence);
  CHECK(keeper.Heartbeat()->sequence == first.front().sequence);
}

TEST_CASE_FIXTURE(SettledRig, "a new peer gets the report at once, the others do not") {
  keeper.Tick({kPeer, NodeId("new")}, kPermitHolder, now, &outbox);
  std::vector<NodeId> told;
  for (const OutgoingMessage& outgoing : outbox.messages) {
    if (std::holds_alternative<WorkerReport>(outgoing.message)) {
      told.push_back(outgoing.to);
    }
  }
  CHECK(told == std::vector<NodeId>{NodeId("new")});
}

TEST_CASE_FIXTURE(SettledRig, "a heartbeat carries the version of a lost update") {
  const ReplicaListVersion before = keeper.Heartbeat()->version;
  Load("m");
  Run();
  REQUIRE_FALSE(SentUpdates().empty());
  CHECK(keeper.Heartbeat()->version == SentUpdates().back().version);
  CHECK(keeper.Heartbeat()->version > before);
}

TEST_CASE_FIXTURE(SettledRig, "a keeper whose worker was taken over confirms nothing") {
  const EngineStatus held = engine.Status();
  EngineCall fence;
  fence.order = FenceCall{held.epoch.Next(), held.incarnation};
  REQUIRE(engine.Apply(fence).ok());
  REQUIRE(keeper.Heartbeat());
  // The next status, within a second, shows the takeover; the keeper would fence again only after
  // the backoff.
  for (int tick = 0; tick < 11 && keeper.state() != KeeperState::kFenced; ++tick) {
    Idle(absl::Milliseconds(100));
  }
  REQUIRE(keeper.state() == KeeperState::kFenced);
  CHECK_FALSE(keeper.Heartbeat());
  CHECK(keeper.SentReport() == nullptr);
}

TEST_CASE("a keeper that never held its worker confirms nothing") {
  Rig rig;
  rig.Tick();
  CHECK_FALSE(rig.keeper.Heartbeat());
  CHECK(rig.keeper.SentReport() == nullptr);
}

}  // namespace
}  // namespace hingespan
