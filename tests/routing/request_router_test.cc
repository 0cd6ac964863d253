#include "hingespan/routing/request_router.h"

#include <doctest/doctest.h>

#include "tests/routing/router_harness.h"

namespace hingespan {
namespace {

using Router = RouterHarness;

void CheckRefusal(const RouteDecision& decision, RefusalCode code, RunState attempt) {
  CHECK(decision.action == RouteAction::kRefuse);
  CHECK(RefusalCodeName(decision.refusal.code) == RefusalCodeName(code));
  CHECK(RunStateName(decision.refusal.attempt) == RunStateName(attempt));
}

// --- Waiting ---------------------------------------------------------------------------------

TEST_CASE_FIXTURE(
    Router,
    "a burst on a cold model sends few wake requests and is served once a replica is ready") {
  constexpr int kBurst = 200;
  for (int index = 0; index < kBurst; ++index) {
    Submit("r" + std::to_string(index));
    Tick();
  }
  std::vector<WakeRequest> wakes = Take<WakeRequest>();
  REQUIRE(wakes.size() == 1);
  CHECK(wakes[0].waiting == 1);
  CHECK(wakes[0].earliest_deadline_ms == 30000);
  for (int step = 0; step < 10; ++step) {
    Tick(options.wake_interval / 10);
  }
  wakes = Take<WakeRequest>();
  REQUIRE(wakes.size() == 1);
  CHECK(wakes[0].waiting == kBurst);
  CHECK(router.counters().cold == kBurst);

  PutReady("w1");
  PutReady("w2");
  int served = 0;
  for (auto decisions = Decisions(); !decisions.empty(); decisions = Decisions()) {
    CHECK(decisions.size() <= 4);  // Two replicas with a concurrency of two.
    for (const auto& [request, decision] : decisions) {
      CHECK(decision.action == RouteAction::kDispatch);
      Finish(request, AttemptOutcome::kComplete);
      ++served;
    }
  }
  CHECK(served == kBurst);
  CHECK(router.active() == 0);
  CHECK(router.reservations() == 0);
}

TEST_CASE_FIXTURE(
    Router,
    "waiting requests are ordered by priority and deadline; a cancellation frees the queue entry") {
  ModelRow row = *store.FindRow(kModel);
  row.max_queue = 3;
  row.max_concurrency = 1;
  PutRow(row);
  RouteRequest late = MakeRequest("late");
  late.deadline += absl::Seconds(1);
  RouteRequest important = MakeRequest("important");
  important.deadline += absl::Seconds(2);
  important.priority = 1;
  Submit(late);
  Submit("cancelled");
  Submit(important);
  Submit("too many");
  const RouteDecision refused = OnlyDecision();
  CheckRefusal(refused, RefusalCode::kQueueFull, RunState::kNotRun);
  CHECK(refused.refusal.retry_after > absl::ZeroDuration());
  router.Cancel(RequestId("cancelled"));
  CheckRefusal(OnlyDecision(), RefusalCode::kCancelled, RunState::kNotRun);
  Submit("soon");
  PutReady("w1");
  for (const std::string expected : {"important", "soon", "late"}) {
    CHECK(OnlyDecision().request == RequestId(expected));
    Finish(expected, AttemptOutcome::kComplete);
  }
}

TEST_CASE_FIXTURE(Router, "a waiting request is refused at the first tick at its deadline") {
  Submit("a");
  Tick(kRequestTimeout - absl::Nanoseconds(1));
  CHECK(Decisions().empty());
  Tick(absl::Nanoseconds(1));
  CheckRefusal(OnlyDecision(), RefusalCode::kWaitExpired, RunState::kNotRun);
  CHECK(router.active() == 0);
}

TEST_CASE_FIXTURE(Router, "a request past its deadline is not dispatched, even before the tick") {
  Submit("a");
  now += kRequestTimeout;
  PutReady("w1");
  CheckRefusal(OnlyDecision(), RefusalCode::kWaitExpired, RunState::kNotRun);
}

TEST_CASE_FIXTURE(Router, "hopeless waits are refused at once and told the expected wait") {
  RouteRequest patient = MakeRequest("patient");
  patient.deadline += absl::Minutes(1);
  Submit("hasty");
  Submit(patient);
  const auto loading_in = [this](absl::Duration wait) {
    WakeReply reply{kModel, WakeOutcome::kLoading, WakeRefusal::kNone,
                    static_cast<std::uint32_t>(absl::ToInt64Milliseconds(wait))};
    router.OnWakeReply(reply, now);
  };
  loading_in(kRequestTimeout * options.hopeless_margin);
  CHECK(Decisions().empty());
  const absl::Duration too_long = kRequestTimeout * options.hopeless_margin + absl::Milliseconds(1);
  loading_in(too_long);
  const RouteDecision refused = OnlyDecision();
  CHECK(refused.request == RequestId("hasty"));
  CheckRefusal(refused, RefusalCode::kWaitHopeless, RunState::kNotRun);
  CHECK(refused.refusal.retry_after == too_long);
  CHECK(router.waiting() == 1);
}

TEST_CASE_FIXTURE(
    Router, "a placer's refusal refuses all waiting requests, unless a replica is ready here") {
  Submit("a");
  Submit("b");
  router.OnWakeReply({kModel, WakeOutcome::kRefused, WakeRefusal::kUnknownModel, 0}, now);
  CHECK(Decisions().empty());  // The placer does not have the row yet.
  const WakeReply refused{kModel, WakeOutcome::kRefused, WakeRefusal::kNoMemory, 5000};
  router.OnWakeReply(refused, now);
  const auto decisions = Decisions();
  REQUIRE(decisions.size() == 2);
  CheckRefusal(decisions.at("a"), RefusalCode::kNoCapacity, RunState::kNotRun);
  CHECK(decisions.at("b").refusal.retry_after == absl::Seconds(5));

  PutReady("w1");
  for (const std::string name : {"c", "d", "e"}) {
    Submit(name);
  }
  router.OnWakeReply(refused, now);
  CHECK(router.waiting() == 1);
}

TEST_CASE_FIXTURE(
    Router,
    "with a ready replica the placer is asked only after requests have waited for an interval") {
  PutReady("w1");
  for (const std::string name : {"a", "b", "c"}) {
    Submit(name);
  }
  Tick();
  CHECK(Take<WakeRequest>().empty());
  Tick(options.wake_interval);
  CHECK(Take<WakeRequest>().size() == 1);
}

TEST_CASE_FIXTURE(Router, "the placer's reply repairs a lost ready update") {
  PutGrant({kLocalZone});
  PutWorker(WorkerId("w1"), ReplicaState::kLoading);
  Submit("a");
  Tick(DirectoryOptions().list_request_interval);
  Take<ReplicaListRequest>();
  router.OnWakeReply({kModel, WakeOutcome::kReady, WakeRefusal::kNone, 0}, now);
  Tick();
  REQUIRE(Take<ReplicaListRequest>().size() == 1);
  PutReady("w1");
  CHECK(OnlyDecision().action == RouteAction::kDispatch);
}

TEST_CASE_FIXTURE(Router, "requests that cannot be admitted are refused at once") {
  RouteRequest unknown = MakeRequest("unknown");
  unknown.model = ModelName("nobody");
  Submit(unknown);
  CheckRefusal(OnlyDecision(), RefusalCode::kUnknownModel, RunState::kNotRun);
  for (std::uint32_t index = 0; index < options.maximum_requests; ++index) {
    RouteRequest request = MakeRequest("r" + std::to_string(index));
    Submit(request);
  }
  Decisions();
  const std::size_t queue_limit = store.FindRow(kModel)->max_queue;
  CHECK(router.active() == queue_limit);
  ModelRow row = *store.FindRow(kModel);
  row.max_queue = options.maximum_requests + 1;
  PutRow(row);
  while (router.active() < options.maximum_requests) {
    Submit("s" + std::to_string(router.active()));
  }
  Submit("one more");
  CheckRefusal(OnlyDecision(), RefusalCode::kOverloaded, RunState::kNotRun);
  row.max_replicas = 0;
  PutRow(row);
  Tick();
  CHECK(router.active() == 0);
  CHECK(router.counters().refused.at(RefusalCode::kNoCapacity) == options.maximum_requests);
  Decisions();
  Submit("none allowed");
  const RouteDecision none_allowed = OnlyDecision();
  CheckRefusal(none_allowed, RefusalCode::kNoCapacity, RunState::kNotRun);
  CHECK(none_allowed.refusal.retry_after == absl::Seconds(10));
  router.SetStopping(true);
  Submit("stopping");
  CheckRefusal(OnlyDecision(), RefusalCode::kStopping, RunState::kNotRun);
}

// --- Workers ---------------------------------------------------------------------------------

TEST_CASE_FIXTURE(Router, "the circuit of a failing engine opens and another replica serves") {
  PutReady("w1");
  PutReady("w2");
  constexpr int kRequests = 100;
  int failures = 0;
  for (int index = 0; index < kRequests; ++index) {
    const std::string name = "r" + std::to_string(index);
    Submit(name);
    RouteDecision decision = OnlyDecision();
    while (decision.worker == WorkerId("w1")) {
      ++failures;
      Finish(name, AttemptOutcome::kNotRun);
      decision = OnlyDecision();
    }
    CHECK(decision.worker == WorkerId("w2"));
    Finish(name, AttemptOutcome::kComplete);
  }
  CHECK(failures == options.circuit_breaker.failure_threshold);
  CHECK(router.counters().completed == kRequests);
}

TEST_CASE_FIXTURE(Router,
                  "an open circuit delays requests until its trial or a restart of the engine") {
  PutReady("w1");
  Submit("a");
  for (int failure = 0; failure < options.circuit_breaker.failure_threshold; ++failure) {
    CHECK(OnlyDecision().action == RouteAction::kDispatch);
    Finish("a", AttemptOutcome::kNotRun);
  }
  Tick();
  CHECK(Decisions().empty());
  CHECK(router.waiting() == 1);
  SUBCASE("trial") {
    Tick(options.circuit_breaker.open_for);
    CHECK(OnlyDecision().worker == WorkerId("w1"));
    Finish("a", AttemptOutcome::kNotRun);
    Tick(options.circuit_breaker.open_for);
    CHECK(Decisions().empty());
    CHECK(router.waiting() == 1);
    Tick(options.circuit_breaker.open_for);
    CHECK(OnlyDecision().worker == WorkerId("w1"));
    Finish("a", AttemptOutcome::kComplete);
    CHECK(router.active() == 0);
  }
  SUBCASE("restart") {
    PutWorker(WorkerId("w1"), ReplicaState::kReady, false, 2);
    const RouteDecision decision = OnlyDecision();
    CHECK(decision.incarnation == WorkerIncarnation(2));
    CHECK(decision.base_url == "http://w1");
  }
}

TEST_CASE_FIXTURE(Router, "a worker that does not hold the model gets no further requests for it") {
  PutReady("w1");
  Submit("a");
  OnlyDecision();
  Finish("a", AttemptOutcome::kNotLoaded);
  Tick();
  CHECK(Decisions().empty());
  CHECK(Take<WakeRequest>().size() == 1);
  PutReady("w1");
  CHECK(OnlyDecision().action == RouteAction::kDispatch);
}

TEST_CASE_FIXTURE(Router, "a leaving worker gets no new requests; running ones end normally") {
  PutReady("w1");
  Submit("a");
  OnlyDecision();
  PutWorker(WorkerId("w1"), ReplicaState::kReady, true);
  Submit("b");
  Tick();
  CHECK(Decisions().empty());
  Finish("a", AttemptOutcome::kComplete);
  CHECK(Decisions().empty());
  PutReady("w2");
  CHECK(OnlyDecision().worker == WorkerId("w2"));
}

TEST_CASE_FIXTURE(Router, "requests of other nodes reduce the capacity, but never to zero") {
  PutWorker(WorkerId("w1"), ReplicaState::kReady);
  WorkerReport report = directory.Find(WorkerId("w1"))->report;
  report.running = 7;
  now += absl::Seconds(1);
  directory.Handle(kPlacer, report, now, &outbox);
  Submit("a");
  Submit("b");
  CHECK(OnlyDecision().request == RequestId("a"));
  report.running = 1;  // Only the request of this node.
  now += absl::Seconds(1);
  directory.Handle(kPlacer, report, now, &outbox);
  Tick();
  CHECK(OnlyDecision().request == RequestId("b"));
}

// --- Failures --------------------------------------------------------------------------------

TEST_CASE_FIXTURE(Router, "a request that may have run is retried only if it is repeatable") {
  PutReady("w1");
  Submit("repeatable");
  OnlyDecision();
  Finish("repeatable", AttemptOutcome::kFailedBeforeOutput);
  CHECK(OnlyDecision().action == RouteAction::kDispatch);
  Finish("repeatable", AttemptOutcome::kNotRun);
  CHECK(OnlyDecision().action == RouteAction::kDispatch);
  Finish("repeatable", AttemptOutcome::kFailedAfterOutput);
  CheckRefusal(OnlyDecision(), RefusalCode::kEngineFailed, RunState::kMayHaveRun);

  PutReady("w2");
  RouteRequest once = MakeRequest("once");
  once.repeatable = false;
  Submit(once);
  OnlyDecision();
  Finish("once", AttemptOutcome::kNotRun);
  CHECK(OnlyDecision().action == RouteAction::kDispatch);
  Finish("once", AttemptOutcome::kFailedBeforeOutput);
  CheckRefusal(OnlyDecision(), RefusalCode::kEngineFailed, RunState::kMayHaveRun);
  CHECK(router.active() == 0);
}

TEST_CASE_FIXTURE(Router, "a request that never ran is refused as not run after its last attempt") {
  for (int worker = 0; worker < options.maximum_attempts; ++worker) {
    PutReady("w" + std::to_string(worker));
  }
  Submit("a");
  for (int attempt = 0; attempt < options.maximum_attempts; ++attempt) {
    CHECK(OnlyDecision().action == RouteAction::kDispatch);
    Finish("a", AttemptOutcome::kNotRun);
  }
  CheckRefusal(OnlyDecision(), RefusalCode::kEngineFailed, RunState::kNotRun);
}

TEST_CASE_FIXTURE(Router, "a request that the only replica refuses waits until its deadline") {
  PutReady("w1");
  Submit("a");
  // The trials are 1, 2, 4, 8 and 10 s apart.
  constexpr int kTrials = 5;
  int dispatches = 0;
  for (const absl::Time last = now + kRequestTimeout; now < last;) {
    for (const RouteDecision& decision : router.TakeDecisions()) {
      REQUIRE(decision.action == RouteAction::kDispatch);
      ++dispatches;
      Finish("a", AttemptOutcome::kNotRun);
    }
    CHECK(router.active() == 1);
    PutReady("w1");
    Tick(absl::Milliseconds(500));
  }
  CheckRefusal(OnlyDecision(), RefusalCode::kWaitExpired, RunState::kNotRun);
  CHECK(router.active() == 0);
  CHECK(router.reservations() == 0);
  CHECK(dispatches == options.circuit_breaker.failure_threshold + kTrials);
}

TEST_CASE_FIXTURE(Router,
                  "a request that returns to the queue is treated like other waiting requests") {
  PutReady("w1");
  Submit("a");
  OnlyDecision();
  Finish("a", AttemptOutcome::kNotLoaded);
  CHECK(Decisions().empty());
  CHECK(router.waiting() == 1);
  CHECK(router.counters().cold == 0);
  SUBCASE("another replica is ready: all attempts are left") {
    for (int worker = 0; worker < options.maximum_attempts; ++worker) {
      PutReady("x" + std::to_string(worker));
    }
    for (int attempt = 0; attempt < options.maximum_attempts; ++attempt) {
      CHECK(OnlyDecision().action == RouteAction::kDispatch);
      Finish("a", AttemptOutcome::kNotRun);
    }
    CheckRefusal(OnlyDecision(), RefusalCode::kEngineFailed, RunState::kNotRun);
  }
  SUBCASE("the placer refuses") {
    router.OnWakeReply({kModel, WakeOutcome::kRefused, WakeRefusal::kNoMemory, 5000}, now);
    CheckRefusal(OnlyDecision(), RefusalCode::kNoCapacity, RunState::kNotRun);
  }
}

TEST_CASE_FIXTURE(Router,
                  "a request that returns to the queue is not refused if the queue is full") {
  ModelRow row = *store.FindRow(kModel);
  row.max_queue = 1;
  PutRow(row);
  PutReady("w1");
  for (const std::string name : {"a", "b", "c"}) {
    Submit(name);
  }
  CHECK(Decisions().size() == 2);
  Finish("a", AttemptOutcome::kNotLoaded);
  CHECK(Decisions().empty());
  CHECK(router.waiting() == 2);
  Submit("d");
  CheckRefusal(OnlyDecision(), RefusalCode::kQueueFull, RunState::kNotRun);
}

TEST_CASE("retries stop when the retry budget is used up") {
  RouterOptions options;
  options.retry_budget = {0.0, 1.0};
  RouterHarness harness(options);
  harness.PutReady("w1");
  harness.Submit("a");
  harness.Finish("a", AttemptOutcome::kFailedBeforeOutput);
  CHECK(harness.Decisions().at("a").action == RouteAction::kDispatch);
  harness.Finish("a", AttemptOutcome::kFailedBeforeOutput);
  CheckRefusal(harness.OnlyDecision(), RefusalCode::kEngineFailed, RunState::kMayHaveRun);
}

TEST_CASE_FIXTURE(Router, "a cancelled running request ends when its outcome is reported") {
  PutReady("w1");
  Submit("a");
  Submit("b");
  Decisions();
  router.Cancel(RequestId("a"));
  router.Cancel(RequestId("b"));
  CHECK(Decisions().empty());
  Finish("a", AttemptOutcome::kCancelled);
  CHECK(Decisions().empty());
  Finish("b", AttemptOutcome::kNotRun);
  CheckRefusal(OnlyDecision(), RefusalCode::kCancelled, RunState::kNotRun);
  CHECK(router.active() == 0);
}

// --- Claims ----------------------------------------------------------------------------------

TEST_CASE_FIXTURE(
    Router, "a request that is not repeatable is dispatched only after its claim is granted") {
  PutReady("w1");
  Submit(MakeKeyed("a"));
  CHECK(Decisions().empty());
  CHECK(router.reservations() == 1);
  SUBCASE("granted, and released if the request provably did not run") {
    AnswerClaims(ClaimOutcome::kGranted);
    for (int attempt = 0; attempt < options.maximum_attempts; ++attempt) {
      CHECK(OnlyDecision().action == RouteAction::kDispatch);
      CHECK(Take<ClaimRelease>().empty());
      Finish("a", AttemptOutcome::kNotRun);
      Tick(options.circuit_breaker.open_for);
    }
    CHECK(Decisions().empty());
    CHECK(Take<ClaimRelease>().empty());
    Tick(kRequestTimeout);
    const RouteDecision refused = OnlyDecision();
    CheckRefusal(refused, RefusalCode::kWaitExpired, RunState::kNotRun);
    CHECK(refused.refusal.key == RunState::kNotRun);
    CHECK(Take<ClaimRelease>().size() == 1);
    CHECK(Take<ClaimRequest>().empty());
  }
  SUBCASE("granted, and kept if the request may have run") {
    AnswerClaims(ClaimOutcome::kGranted);
    OnlyDecision();
    Finish("a", AttemptOutcome::kFailedBeforeOutput);
    CheckRefusal(OnlyDecision(), RefusalCode::kEngineFailed, RunState::kMayHaveRun);
    CHECK(Take<ClaimRelease>().empty());
  }
  SUBCASE("claimed by another attempt") {
    AnswerClaims(ClaimOutcome::kAlreadyClaimed);
    const RouteDecision refused = OnlyDecision();
    CheckRefusal(refused, RefusalCode::kKeyAlreadyClaimed, RunState::kNotRun);
    CHECK(refused.refusal.key == RunState::kMayHaveRun);
  }
  SUBCASE("out of time") {
    AnswerClaims(ClaimOutcome::kOutOfTime);
    CheckRefusal(OnlyDecision(), RefusalCode::kKeyOutOfTime, RunState::kNotRun);
  }
  SUBCASE("undecided until the claim timeout") {
    Tick(options.claim_time);
    const RouteDecision refused = OnlyDecision();
    CheckRefusal(refused, RefusalCode::kKeyUndecided, RunState::kNotRun);
    CHECK(refused.refusal.key == RunState::kMayHaveRun);
    CHECK(refused.refusal.retry_after > absl::ZeroDuration());
  }
  SUBCASE("granted after the caller disconnected: released") {
    router.Cancel(RequestId("a"));
    CheckRefusal(OnlyDecision(), RefusalCode::kCancelled, RunState::kNotRun);
    CHECK(Take<ClaimRelease>().empty());
    AnswerClaims(ClaimOutcome::kGranted);
    CHECK(Decisions().empty());
    CHECK(Take<ClaimRelease>().size() == 1);
  }
  SUBCASE("granted after the replica was removed: waits for another one and keeps the claim") {
    PutWorker(WorkerId("w1"), std::nullopt);
    AnswerClaims(ClaimOutcome::kGranted);
    CHECK(Decisions().empty());
    PutReady("w2");
    CHECK(OnlyDecision().worker == WorkerId("w2"));
    CHECK(Take<ClaimRequest>().empty());
  }
}

TEST_CASE_FIXTURE(Router, "a claim granted to a request that expired is released") {
  PutReady("w1");
  RouteRequest request = MakeKeyed("a");
  request.deadline = now + absl::Milliseconds(50);
  Submit(request);
  for (const ClaimRequest& claim : Take<ClaimRequest>()) {
    claimant.HandleReply({claim.key, claim.attempt, ClaimOutcome::kGranted});
  }
  Tick(absl::Milliseconds(50));
  CheckRefusal(OnlyDecision(), RefusalCode::kWaitExpired, RunState::kNotRun);
  CHECK(Take<ClaimRelease>().size() == 1);
  CHECK(router.reservations() == 0);
}

TEST_CASE_FIXTURE(Router, "an undecided claim does not keep a request past its deadline") {
  PutReady("w1");
  RouteRequest request = MakeKeyed("a");
  request.deadline = now + absl::Milliseconds(50);
  Submit(request);
  now = request.deadline;
  router.Tick([](const ModelName&) { return kPlacer; }, now, wall, &outbox);
  CheckRefusal(OnlyDecision(), RefusalCode::kWaitExpired, RunState::kNotRun);
  CHECK(router.reservations() == 0);
  AnswerClaims(ClaimOutcome::kGranted);
  CHECK(Take<ClaimRelease>().size() == 1);
}

TEST_CASE_FIXTURE(Router, "of two attempts with one key at its owner, one runs") {
  PutClaimRange(kSelf);
  PutReady("w1");
  RouteRequest first = MakeKeyed("first");
  RouteRequest second = first;
  second.request = RequestId("second");
  Submit(first);
  CHECK(OnlyDecision().action == RouteAction::kDispatch);
  Submit(second);
  CheckRefusal(OnlyDecision(), RefusalCode::kKeyAlreadyClaimed, RunState::kNotRun);
  RouteRequest repeatable = first;
  repeatable.request = RequestId("repeatable");
  repeatable.repeatable = true;
  Submit(repeatable);
  CHECK(OnlyDecision().action == RouteAction::kDispatch);
}

// --- Sites -----------------------------------------------------------------------------------

class TwoZones : public RouterHarness {
 public:
  TwoZones() {
    SetWeights({{kRemoteZone, 1}});
    router.SetRemoteNodes({{NodeId("x"), kRemoteZone, "x:1"}, {NodeId("y"), kRemoteZone, "y:1"}});
  }
  void SetWeights(std::map<ZoneId, std::uint32_t> weights) {
    ModelRow row = *store.FindRow(kModel);
    row.weights = std::move(weights);
    PutRow(row);
  }
};

TEST_CASE_FIXTURE(TwoZones, "a failed forward is retried at other nodes, then in other zones") {
  Submit("a");
  const RouteDecision first = OnlyDecision();
  CHECK(first.action == RouteAction::kForward);
  Finish("a", AttemptOutcome::kNotRun);
  const RouteDecision second = OnlyDecision();
  CHECK(second.action == RouteAction::kForward);
  CHECK(second.forward_address != first.forward_address);
  SUBCASE("no zone is left") {
    Finish("a", AttemptOutcome::kNotRun);
    CheckRefusal(OnlyDecision(), RefusalCode::kSiteUnavailable, RunState::kNotRun);
  }
  SUBCASE("this zone is left") {
    SetWeights({{kLocalZone, 1}, {kRemoteZone, 1}});
    Finish("a", AttemptOutcome::kNotRun);
    CHECK(Decisions().empty());
    CHECK(router.waiting() == 1);
  }
  SUBCASE("complete") {
    Finish("a", AttemptOutcome::kComplete);
    CHECK(Decisions().empty());
    CHECK(router.active() == 0);
  }
}

TEST_CASE_FIXTURE(TwoZones, "a failed forward of a request that is not repeatable may have run") {
  Submit(MakeKeyed("a"));
  CHECK(OnlyDecision().action == RouteAction::kForward);
  CHECK(Take<ClaimRequest>().empty());
  Finish("a", AttemptOutcome::kFailedBeforeOutput);
  CheckRefusal(OnlyDecision(), RefusalCode::kEngineFailed, RunState::kMayHaveRun);
}

TEST_CASE_FIXTURE(TwoZones,
                  "a request that another zone's node refused finally is not sent elsewhere") {
  SetWeights({{kRemoteZone, 1}});
  PutGrant({kRemoteZone});
  Submit("a");
  CHECK(OnlyDecision().action == RouteAction::kForward);
  Finish("a", AttemptOutcome::kRefusedElsewhere);
  Tick();
  CHECK(Decisions().empty());
  CHECK(router.active() == 0);
  CHECK(router.counters().refused_elsewhere == 1);
}

TEST_CASE_FIXTURE(TwoZones,
                  "forwarded requests are served here or refused, never forwarded again") {
  RouteRequest request = MakeRequest("a");
  request.forwarded = true;
  Submit(request);
  CheckRefusal(OnlyDecision(), RefusalCode::kSiteUnavailable, RunState::kNotRun);
  SetWeights({{kLocalZone, 1}, {kRemoteZone, 99}});
  PutGrant({kRemoteZone});
  request.request = RequestId("b");
  Submit(request);
  CHECK(Decisions().empty());
  CHECK(router.waiting() == 1);
}

TEST_CASE_FIXTURE(TwoZones,
                  "a request waiting in a zone without a slot is forwarded to a zone with one") {
  SetWeights({{kLocalZone, 1000}, {kRemoteZone, 1}});
  router.SetRemoteNodes({});
  Submit("a");
  CHECK(Decisions().empty());
  CHECK(router.waiting() == 1);
  router.SetRemoteNodes({{NodeId("x"), kRemoteZone, "x:1"}});
  PutGrant({kRemoteZone});
  SUBCASE("at the next wake") { Tick(absl::Milliseconds(300)); }
  SUBCASE("at the placer's refusal") {
    router.OnWakeReply({kModel, WakeOutcome::kRefused, WakeRefusal::kNoGrant, 0}, now);
  }
  CHECK(OnlyDecision().action == RouteAction::kForward);
  CHECK(router.waiting() == 0);
}

TEST_CASE_FIXTURE(TwoZones,
                  "a request that this zone's placer refuses is forwarded to a zone with a slot") {
  SetWeights({{kLocalZone, 1000}, {kRemoteZone, 1}});
  router.SetRemoteNodes({});
  PutGrant({kLocalZone, kRemoteZone});
  Submit("a");
  CHECK(router.waiting() == 1);
  SUBCASE("that can be reached") {
    router.SetRemoteNodes({{NodeId("x"), kRemoteZone, "x:1"}});
    router.OnWakeReply({kModel, WakeOutcome::kRefused, WakeRefusal::kNoMemory, 0}, now);
    CHECK(OnlyDecision().action == RouteAction::kForward);
    Finish("a", AttemptOutcome::kNotRun);
    CHECK(OnlyDecision().action == RouteAction::kRefuse);
  }
  SUBCASE("that can't be reached") {
    router.OnWakeReply({kModel, WakeOutcome::kRefused, WakeRefusal::kNoMemory, 0}, now);
    CheckRefusal(OnlyDecision(), RefusalCode::kNoCapacity, RunState::kNotRun);
  }
}

TEST_CASE_FIXTURE(TwoZones, "a request that holds its claim here is not forwarded") {
  SetWeights({{kLocalZone, 1000}, {kRemoteZone, 1}});
  router.SetRemoteNodes({});
  PutGrant({kLocalZone, kRemoteZone});
  PutClaimRange(kSelf);
  PutReady("w");
  Submit(MakeKeyed("a"));
  CHECK(OnlyDecision().action == RouteAction::kDispatch);
  Finish("a", AttemptOutcome::kNotLoaded);
  REQUIRE(Decisions().empty());
  router.SetRemoteNodes({{NodeId("x"), kRemoteZone, "x:1"}});
  router.OnWakeReply({kModel, WakeOutcome::kRefused, WakeRefusal::kNoMemory, 0}, now);
  const RouteDecision refused = OnlyDecision();
  CheckRefusal(refused, RefusalCode::kNoCapacity, RunState::kNotRun);
  CHECK(refused.refusal.key == RunState::kNotRun);
}

TEST_CASE_FIXTURE(TwoZones, "the local zone without a slot is skipped while another zone has one") {
  SetWeights({{kLocalZone, 1000}, {kRemoteZone, 1}});
  PutGrant({kRemoteZone});
  Submit("a");
  CHECK(OnlyDecision().action == RouteAction::kForward);
  router.SetRemoteNodes({});
  Submit("b");
  CHECK(router.waiting() == 1);
}

}  // namespace
}  // namespace hingespan
