// Tests that the check of planned work reports lost requests and nothing else.
#include <doctest/doctest.h>

#include <csignal>

#include "tests/soak_checks/fixture.h"

namespace hingespan::soak {
namespace {

constexpr const char* kLost = "planned work loses no request";

// Adds a stream whose connection ends in the middle of its answer, at At(1.1).
RequestRecord* AddCutStream(Fixture* fixture) {
  RequestRecord* const cut = fixture->Add(RequestKind::kStream, 200, "id: 1\ndata: ev");
  cut->result = gateway::ExchangeResult::kBroken;
  cut->on_persistent_connection = true;
  return cut;
}

// Adds a plain request on a persistent connection that ends without an answer.
RequestRecord* AddUnanswered(Fixture* fixture, bool in_order, double ended_at) {
  RequestRecord* const request = fixture->Add(RequestKind::kRead, 0, "");
  request->result = gateway::ExchangeResult::kBroken;
  request->on_persistent_connection = true;
  request->ended_in_order = in_order;
  request->deadline = absl::Seconds(9);
  request->ended_at = At(ended_at);
  return request;
}

TEST_CASE("an answer that is cut in a run of planned work alone is seen") {
  Fixture fixture;
  fixture.records.planned_only = true;
  RequestRecord* const cut = AddCutStream(&fixture);
  CHECK(fixture.Broken() == Names{kLost});
  cut->cancelled_at = cut->ended_at;
  CHECK(fixture.Broken().empty());
}

TEST_CASE("a request that ran and got no answer is seen, though its connection was reset") {
  Fixture fixture;
  fixture.records.planned_only = true;
  AddUnanswered(&fixture, false, 1.1);
  CHECK(fixture.Broken().empty());
  fixture.Run("r0", "/read/x", "");
  CHECK(fixture.Broken() == Names{"none is silently dropped", kLost});
}

TEST_CASE("a request that a worker refused and that got no answer is seen") {
  Fixture fixture;
  fixture.records.planned_only = true;
  AddUnanswered(&fixture, false, 1.1);
  fixture.worker->SetFault(emulator::WorkerFault::kRejects);
  fixture.Run("r0", "/read/x", "");
  CHECK(fixture.Broken() == Names{"none is silently dropped", kLost});
}

TEST_CASE("an end in good order long after a request shows that it was read") {
  Fixture fixture;
  fixture.records.planned_only = true;
  AddUnanswered(&fixture, true, 3);
  CHECK(fixture.Broken() == Names{"none is silently dropped", kLost});
}

TEST_CASE("a kept connection that ends as a request is sent on it is no loss") {
  Fixture fixture;
  fixture.records.planned_only = true;
  AddUnanswered(&fixture, true, 1.1);
  AddUnanswered(&fixture, false, 3);
  CHECK(fixture.Broken().empty());
}

TEST_CASE("an answer cut at its deadline is no loss") {
  Fixture fixture;
  fixture.records.planned_only = true;
  RequestRecord* const cut = AddCutStream(&fixture);
  cut->ended_at = cut->sent + cut->deadline;
  CHECK(fixture.Broken().empty());
}

TEST_CASE("beside unplanned faults a loss counts around signals to its own gateway only") {
  Fixture fixture;
  AddCutStream(&fixture);
  CHECK(fixture.Broken().empty());
  fixture.records.signals = {{SIGTERM, 0, 1, At(0)}};
  CHECK(fixture.Broken() == Names{kLost});
  fixture.records.signals = {{SIGHUP, 0, 1, At(0)}};
  CHECK(fixture.Broken() == Names{kLost});
  SUBCASE("another gateway") { fixture.records.signals[0].gateway = 1; }
  SUBCASE("another process of this gateway") { fixture.records.signals[0].incarnation = 2; }
  SUBCASE("too long ago") { fixture.records.signals[0].at = At(-9); }
  SUBCASE("later") { fixture.records.signals[0].at = At(2); }
  SUBCASE("an unplanned fault") {
    fixture.records.disturbances.push_back({Disturbance::Component::kStore, 0, At(-2), At(-1)});
  }
  CHECK(fixture.Broken().empty());
}

TEST_CASE("a planned disturbance excuses no loss") {
  Fixture fixture;
  AddCutStream(&fixture);
  fixture.records.signals = {{SIGTERM, 0, 1, At(0)}};
  fixture.records.disturbances.push_back({Disturbance::Component::kGateway, 0, At(0), At(9), true});
  CHECK(fixture.Broken() == Names{kLost});
}

TEST_CASE("an answer still being made or taken as the grace period ends is no loss") {
  Fixture fixture;
  fixture.records.planned_only = true;
  fixture.records.signals = {{SIGTERM, 0, 1, At(0)}};
  RequestRecord* const cut = AddCutStream(&fixture);
  cut->deadline = absl::Seconds(9);
  cut->ended_at = At(5.5);
  CHECK(fixture.Broken() == Names{kLost});
  SUBCASE("slow caller") {
    cut->read_slowly = true;
    CHECK(fixture.Broken().empty());
    cut->ended_at = At(4.5);
    CHECK(fixture.Broken() == Names{kLost});
  }
  SUBCASE("worker at work") {
    fixture.worker->SetFault(emulator::WorkerFault::kLosesAnswer);
    fixture.Run("r0", "/once/x", "");
    CHECK(fixture.Broken().empty());
    cut->sent = At(3.5);
    CHECK(fixture.Broken() == Names{kLost});
  }
}

}  // namespace
}  // namespace hingespan::soak
