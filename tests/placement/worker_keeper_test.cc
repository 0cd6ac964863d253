// Tests one worker's keeper against an engine: lost, late and duplicated orders, a paused competing
// keeper, restarts.
#include "hingespan/placement/worker_keeper.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/placement/keeper_rig.h"

namespace hingespan {
TEST_CASE("a load is announced, ordered once for repeated requests, and becomes ready") {
  Rig rig;
  rig.AddModel("m", 50);
  CHECK(rig.Load("m").outcome == LoadOutcome::kNotKeeper);
  rig.Run();
  REQUIRE(rig.keeper.state() == KeeperState::kHolding);
  const LoadReply reply = rig.Load("m");
  CHECK(reply.outcome == LoadOutcome::kAccepted);
  CHECK(reply.expected_wait_ms > 0);
  CHECK(rig.Load("m").outcome == LoadOutcome::kAccepted);
  CHECK(Only<LoadOrder>(rig.outbox.engine_calls).size() == 1);
  rig.Run();
  CHECK(rig.Load("m").outcome == LoadOutcome::kReady);
  const std::vector<ReplicaUpdate> updates = rig.SentUpdates();
  REQUIRE(updates.size() == 2);
  CHECK(updates[0].state == ReplicaState::kLoading);
  CHECK(updates[1].state == ReplicaState::kReady);
  CHECK(updates[1].version == updates[0].version.Next());
  CHECK(rig.Load("m", 5, 2).outcome == LoadOutcome::kOtherIncarnation);
  CHECK(rig.keeper.ListReplicas(rig.now)[0].replicas.size() == 1);
}

TEST_CASE("a load whose answer is lost stays charged although a status does not show it") {
  Rig rig;
  rig.AddModel("m", 60);
  rig.Run();
  rig.Load("m");
  const EngineCall late = Only<LoadOrder>(rig.TakeCalls()).front();
  rig.Answer(late, Error::kTimeout);
  rig.now += absl::Seconds(20);
  rig.Tick();
  // The first order has not reached the engine yet, but may still do so.
  for (const EngineCall& call : rig.TakeCalls()) {
    if (std::holds_alternative<StatusCall>(call.order)) {
      rig.Answer(call, rig.engine.Apply(call));
    }
  }
  CHECK(rig.keeper.ledger().charged_mib() == 60);
  CHECK(rig.engine.Apply(late).ok());
  CHECK(rig.engine.used_mib() == 60);
  CHECK(rig.keeper.ledger().charged_mib() == 60);
  // A later order settles the state; a copy of the first one is void from then on.
  rig.Run(200);
  CHECK(rig.keeper.ledger().charged_mib() == rig.engine.used_mib());
  CHECK(!rig.engine.Apply(late).ok());
}

TEST_CASE("a revocation is confirmed only once the replica is gone, and voids late loads") {
  Rig rig;
  rig.AddModel("m", 60);
  rig.Run();
  rig.Load("m");
  const EngineCall late = Only<LoadOrder>(rig.outbox.engine_calls).front();
  rig.Run();
  CHECK(!rig.Revoke("m", 6));
  rig.Tick();
  const std::vector<EngineCall> calls = rig.TakeCalls();
  for (const EngineCall& call : calls) {
    rig.Answer(call, rig.engine.Apply(call));
  }
  CHECK(!rig.Revoke("m", 6));
  rig.Run();
  CHECK(rig.Revoke("m", 6));
  CHECK(rig.engine.replicas().empty());
  CHECK(rig.keeper.ledger().charged_mib() == 0);
  CHECK(!rig.engine.Apply(late).ok());
  CHECK(rig.Load("m").outcome == LoadOutcome::kOtherIncarnation);
  CHECK(rig.Load("m", 7).outcome == LoadOutcome::kAccepted);
  CHECK(rig.Revoke("m", 6));
  rig.Run();
  CHECK(rig.engine.Find("m") != nullptr);
}

TEST_CASE(
    "a slot without a replica is revoked at the engine too, one of an ended incarnation at once") {
  Rig rig;
  rig.AddModel("m", 60);
  rig.Run();
  CHECK(!rig.Revoke("m", 6));
  rig.Run();
  CHECK(rig.Revoke("m", 6));
  CHECK(rig.SentUpdates().empty());
  OrderFence fence{WorkerIncarnation(1), KeeperEpoch(1), OrderSequence(99), GrantGeneration(5)};
  const LoadOrder stale{fence, ModelName("m"), ModelName(), "m", 60};
  CHECK(!rig.engine.Apply({0, kWorker, "", stale}).ok());
  rig.engine.Restart();
  rig.Run(15);
  CHECK(rig.Revoke("m", 8, 1));
  CHECK(!rig.Revoke("m", 9, 2));
}

TEST_CASE(
    "a paused keeper's orders are refused, and it fences again only after a growing backoff") {
  Rig first;
  first.AddModel("m", 60);
  first.Run();
  first.Load("m");
  const EngineCall late = Only<LoadOrder>(first.TakeCalls()).front();
  const KeeperEpoch before = first.engine.Status().epoch;
  CHECK(first.engine.Apply({0, kWorker, "", FenceCall{before.Next(), WorkerIncarnation(1)}}).ok());
  const Result<EngineStatus> refused = first.engine.Apply(late);
  CHECK(refused.error() == Error::kFenced);
  first.Answer(late, refused);
  first.Tick();
  for (const EngineCall& call : first.TakeCalls()) {
    first.Answer(call, first.engine.Apply(call));
  }
  CHECK(first.keeper.state() == KeeperState::kFenced);
  CHECK(first.Load("m").outcome == LoadOutcome::kNotKeeper);
  first.Tick();
  CHECK(first.TakeCalls().empty());
  first.Run(10);
  CHECK(first.keeper.state() == KeeperState::kHolding);
  CHECK(first.engine.Status().epoch > before.Next());
  CHECK(first.keeper.ledger().charged_mib() == 0);
}

TEST_CASE("a restarted engine is fenced anew and holds nothing") {
  Rig rig;
  rig.AddModel("m", 60);
  rig.Run();
  rig.Load("m");
  rig.Run();
  rig.engine.Restart();
  rig.Run(15);
  CHECK(rig.keeper.state() == KeeperState::kHolding);
  CHECK(rig.keeper.Report().incarnation == WorkerIncarnation(2));
  CHECK(rig.keeper.ledger().charged_mib() == 0);
  CHECK(rig.Load("m", 5, 1).outcome == LoadOutcome::kOtherIncarnation);
  CHECK(rig.Load("m", 9, 2).outcome == LoadOutcome::kAccepted);
}

TEST_CASE("idle replicas are evicted to make room; running and pinned ones are not") {
  Rig rig;
  rig.AddModel("a", 60);
  rig.AddModel("b", 60);
  rig.AddModel("pinned", 40, "", 1);
  rig.Run();
  rig.Load("a");
  rig.Load("pinned");
  rig.Run();
  rig.engine.Find("a")->running = 1;
  rig.Run(15);
  const LoadReply refused = rig.Load("b");
  CHECK(refused.outcome == LoadOutcome::kNoMemory);
  CHECK(refused.expected_wait_ms > 0);
  rig.engine.Find("a")->running = 0;
  rig.Run(15);
  CHECK(rig.Load("b").outcome == LoadOutcome::kAccepted);
  const EngineCall unload = Only<UnloadOrder>(rig.outbox.engine_calls).front();
  CHECK(std::get<UnloadOrder>(unload.order).model == ModelName("a"));
  CHECK(std::get<UnloadOrder>(unload.order).fence.generation == GrantGeneration(5));
  rig.Run(10);
  CHECK(rig.engine.Find("a") == nullptr);
  CHECK(rig.engine.Find("b") != nullptr);
  CHECK(rig.engine.Find("pinned") != nullptr);
  CHECK(rig.engine.overcommits() == 0);
}

TEST_CASE("a base is evicted together with the idle adapters on it") {
  Rig rig;
  rig.AddModel("base", 60);
  rig.AddModel("adapter", 10, "base");
  rig.AddModel("other", 60);
  rig.Run();
  rig.Load("adapter");
  rig.Run(5);
  REQUIRE(rig.engine.Find("adapter") != nullptr);
  rig.engine.Find("adapter")->running = 1;
  rig.Run(15);
  rig.Load("other");
  rig.Run(15);
  CHECK(rig.engine.Find("base") != nullptr);
  CHECK(rig.engine.Find("other") == nullptr);
  rig.engine.Find("adapter")->running = 0;
  rig.Run(30);
  rig.Load("other");
  rig.Run(15);
  CHECK(rig.engine.Find("adapter") == nullptr);
  CHECK(rig.engine.Find("base") == nullptr);
  CHECK(rig.engine.Find("other") != nullptr);
  CHECK(rig.engine.overcommits() == 0);
}

TEST_CASE("an adapter's base is loaded first, and stays while the adapter is loaded") {
  KeeperOptions options = EagerOptions();
  options.keep_warm.mode = KeepWarmMode::kDropAtOnce;
  options.minimum_residence = absl::Seconds(2);
  Rig rig(options);
  rig.AddModel("base", 60);
  rig.AddModel("adapter", 10, "base");
  rig.Run();
  CHECK(rig.Load("adapter").outcome == LoadOutcome::kAccepted);
  std::vector<EngineCall> loads = Only<LoadOrder>(rig.outbox.engine_calls);
  REQUIRE(loads.size() == 1);
  CHECK(std::get<LoadOrder>(loads[0].order).model == ModelName("base"));
  rig.Run(5);
  REQUIRE(rig.engine.Find("adapter") != nullptr);
  rig.engine.Find("adapter")->running = 1;
  rig.Run(100);
  CHECK(rig.engine.Find("base") != nullptr);
  rig.engine.Find("adapter")->running = 0;
  rig.Run(100);
  CHECK(rig.engine.replicas().empty());
}

TEST_CASE("remote loads wait for a permit, which is returned when they end") {
  KeeperOptions options = EagerOptions();
  options.use_permits = true;
  Rig rig(options);
  rig.AddModel("m", 60);
  rig.Run();
  rig.Load("m");
  rig.Tick(absl::Seconds(1));
  rig.Tick(absl::Seconds(1));
  CHECK(Only<LoadOrder>(rig.outbox.engine_calls).empty());
  std::vector<bool> releases;
  std::uint64_t number = 0;
  const auto note = [&] {
    for (const OutgoingMessage& outgoing : std::exchange(rig.outbox.messages, {})) {
      if (const auto* request = std::get_if<PermitRequest>(&outgoing.message)) {
        CHECK(outgoing.to == kPermitHolder);
        releases.push_back(request->release);
        CHECK((number == 0 || number == request->number));
        number = request->number;
      }
    }
  };
  note();
  CHECK(releases == std::vector<bool>{false, false, false});
  // A late answer to an earlier request does not grant this one.
  rig.keeper.HandlePermit({kWorker, ModelName("m"), number - 1, true, 0}, rig.now, &rig.outbox);
  CHECK(Only<LoadOrder>(rig.outbox.engine_calls).empty());
  rig.outbox.messages.clear();
  rig.keeper.HandlePermit({kWorker, ModelName("m"), number, true, 0}, rig.now, &rig.outbox);
  CHECK(Only<LoadOrder>(rig.outbox.engine_calls).size() == 1);
  rig.Run(5);
  note();
  CHECK(releases == std::vector<bool>{false, false, false, true});
}

TEST_CASE("a permit granted too late is requested again, and an unexpected one is returned") {
  KeeperOptions options = EagerOptions();
  options.use_permits = true;
  Rig rig(options);
  rig.AddModel("m", 60);
  rig.Run();
  rig.Load("m");
  const auto requests = [&] {
    std::vector<PermitRequest> sent;
    for (const OutgoingMessage& outgoing : std::exchange(rig.outbox.messages, {})) {
      if (const auto* request = std::get_if<PermitRequest>(&outgoing.message)) {
        sent.push_back(*request);
      }
    }
    return sent;
  };
  const std::uint64_t first = requests().back().number;
  rig.Tick(options.permit_use_within);
  rig.keeper.HandlePermit({kWorker, ModelName("m"), first, true, 0}, rig.now, &rig.outbox);
  CHECK(Only<LoadOrder>(rig.outbox.engine_calls).empty());
  const PermitRequest last = requests().back();
  CHECK(last.release);
  CHECK(last.number == first);
}

TEST_CASE("a leaving or unreachable worker is reported at once and takes no load") {
  Rig rig;
  rig.AddModel("m", 60);
  rig.Run();
  const auto reports = [&] {
    std::vector<WorkerReport> sent;
    for (const OutgoingMessage& outgoing : std::exchange(rig.outbox.messages, {})) {
      if (const auto* report = std::get_if<WorkerReport>(&outgoing.message)) {
        sent.push_back(*report);
      }
    }
    return sent;
  };
  reports();
  for (int failure = 0; failure < 2; ++failure) {
    rig.Tick(absl::Milliseconds(1001));
    for (const EngineCall& call : rig.TakeCalls()) {
      rig.Answer(call, Error::kTimeout);
    }
  }
  const std::vector<WorkerReport> sent = reports();
  REQUIRE(!sent.empty());
  CHECK(!sent.back().reachable);
  for (std::size_t index = 1; index < sent.size(); ++index) {
    CHECK(sent[index].sequence > sent[index - 1].sequence);
  }
  CHECK(rig.keeper.Report().sequence > sent.back().sequence);
  CHECK(rig.Load("m").outcome == LoadOutcome::kLeaving);
  rig.Run(15);
  reports();
  rig.keeper.SetMachine({kWorker, ZoneId("z"), "http://e", MachineState::kLeaving});
  rig.Tick(absl::Milliseconds(1));
  CHECK(reports().back().leaving);
  CHECK(rig.Load("m").outcome == LoadOutcome::kLeaving);
}

}  // namespace hingespan
