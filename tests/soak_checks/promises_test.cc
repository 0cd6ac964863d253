// Tests that each check of the soak reports the violation that it is meant for.
#include "tests/soak/promises.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/soak/fault_plan.h"
#include "tests/soak_checks/fixture.h"

namespace hingespan::soak {
namespace {

std::string Events(const std::string& id, int first, int last) {
  std::string text;
  for (int event = first; event <= last; ++event) {
    absl::StrAppend(&text, "id: ", event, "\ndata: event ", event, " of ", id, "\n\n");
  }
  return text;
}

TEST_CASE("what is in order breaks no promise") {
  Fixture fixture;
  fixture.Add(RequestKind::kAct, 200, "answer of w1 to r0");
  fixture.Add(RequestKind::kStream, 200, Events("r1", 1, 12));
  fixture.Add(RequestKind::kRead, 503, "");
  CHECK(fixture.Broken().empty());
}

TEST_CASE("another request's answer, seal or body is seen") {
  Fixture fixture;
  fixture.Add(RequestKind::kAct, 200, "answer of w1 to r7");
  CHECK(fixture.Broken() == Names{"own answer"});
  fixture.records.requests[0]->body = "answer of w1 to r0";
  fixture.records.requests[0]->head.fields[1].value = "seal-r7";
  CHECK(fixture.Broken() == Names{"own answer"});
}

TEST_CASE("a gap in a stream, and a broken one that looks complete, are seen") {
  Fixture fixture;
  fixture.Add(RequestKind::kStream, 200, Events("r0", 1, 4) + Events("r0", 6, 12));
  CHECK(fixture.Broken() == Names{"events in order"});
  fixture.records.requests[0]->body = Events("r0", 1, 5);
  CHECK(fixture.Broken() == Names{"a broken stream does not look complete"});
  fixture.records.requests[0]->result = gateway::ExchangeResult::kBroken;
  CHECK(fixture.Broken().empty());
}

TEST_CASE("a second run and a false refusal are seen") {
  Fixture fixture;
  fixture.Add(RequestKind::kAct, 502, "");
  fixture.Run("r0", "/act/x", "");
  CHECK(fixture.Broken().empty());
  fixture.records.requests[0]->head.status = 503;
  CHECK(fixture.Broken() == Names{"a refusal is true"});
  fixture.records.requests[0]->head.status = 502;
  fixture.Run("r0", "/act/x", "");
  CHECK(fixture.Broken() == Names{"at most once"});
}

TEST_CASE("a request without an answer is seen, but not beside a killed gateway") {
  Fixture fixture;
  RequestRecord* const lost = fixture.Add(RequestKind::kAct, 0, "");
  lost->result = gateway::ExchangeResult::kBroken;
  CHECK(fixture.Broken() == Names{"none is silently dropped"});
  fixture.records.disturbances.push_back({Disturbance::Component::kGateway, 0, At(1), At(2)});
  CHECK(fixture.Broken().empty());
}

TEST_CASE("an answer that comes late is seen") {
  Fixture fixture;
  fixture.Add(RequestKind::kAct, 504, "")->ended_at = At(9);
  CHECK(fixture.Broken() == Names{"answered within its time"});
}

TEST_CASE("a request that a planned stop cuts off is seen") {
  Fixture fixture;
  RequestRecord* const cut = fixture.Add(RequestKind::kAct, 0, "");
  cut->result = gateway::ExchangeResult::kBroken;
  fixture.records.stops.push_back({0, 1, At(1.05)});
  fixture.records.disturbances.push_back({Disturbance::Component::kGateway, 0, At(1.05), At(9)});
  fixture.records.disturbances.back().planned = true;
  CHECK(fixture.Broken() == Names{"a planned stop cuts off nothing"});
  fixture.records.disturbances.push_back({Disturbance::Component::kGateway, 1, At(1.08), At(5)});
  fixture.records.disturbances.push_back({Disturbance::Component::kGateway, 0, At(1.2), At(5)});
  CHECK(fixture.Broken() == Names{"a planned stop cuts off nothing"});
}

TEST_CASE("a request that a kill during a planned stop cuts off is no fault of the stop") {
  Fixture fixture;
  RequestRecord* const cut = fixture.Add(RequestKind::kAct, 0, "");
  cut->result = gateway::ExchangeResult::kBroken;
  fixture.records.stops.push_back({0, 1, At(1.05)});
  fixture.records.disturbances.push_back(
      {Disturbance::Component::kGateway, 0, At(1.05), At(9), true});
  fixture.records.disturbances.push_back({Disturbance::Component::kGateway, 0, At(1.08), At(5)});
  CHECK(fixture.Broken().empty());
}

TEST_CASE("a change that reverts, and one that does not take effect, are seen") {
  Fixture fixture;
  fixture.records.changes = {{1, At(-20)}, {2, At(-10)}};
  fixture.Add(RequestKind::kProbe, 200, "")->probed_version = 2;
  RequestRecord* const old = fixture.Add(RequestKind::kProbe, 200, "");
  old->probed_version = 1;
  old->sent = At(3);
  old->ended_at = At(3.1);
  CHECK(fixture.Broken() == Names{"a change never reverts"});
  old->probed_version = 2;
  old->head.status = 404;
  CHECK(fixture.Broken() == Names{"a change takes effect within seconds"});
  fixture.records.disturbances.push_back({Disturbance::Component::kStore, 0, At(0), At(1)});
  CHECK(fixture.Broken().empty());
}

TEST_CASE("work for a worker that left long ago is seen") {
  Fixture fixture;
  fixture.Add(RequestKind::kRead, 502, "");
  fixture.Run("r0", "/read/x", "");
  fixture.records.leaves.push_back({"w1", fixture.loop.Now() - absl::Seconds(30)});
  CHECK(fixture.Broken() == Names{"a leaving worker gets no new work"});
}

TEST_CASE("a shared token and an overfilled worker are seen") {
  Fixture fixture;
  const auto order = [&](const char* holder, const char* model) {
    fixture.Run("order", "/api/order",
                absl::StrCat("{\"operation\":\"model_load\",\"model\":\"", model,
                             "\",\"holder\":\"", holder, "\",\"fencing_token\":4}"));
  };
  order("n1", "m1");
  CHECK(fixture.Broken().empty());
  // The worker accepts the next load only after this one has ended.
  REQUIRE(fixture.loop.RunUntil([&] { return fixture.worker->Holds("m1"); }, absl::Seconds(10)));
  order("n1", "m2");
  CHECK(fixture.Broken() == Names{"memory is never overcommitted"});
  order("n2", "m2");
  CHECK(fixture.Broken() == Names{"memory is never overcommitted", "one holder a token"});
}

TEST_CASE("a fleet that does not serve again after the faults is seen") {
  Fixture fixture;
  fixture.records.recovery_began = At(0);
  CHECK(fixture.Broken() == Names{"all is served again after the faults"});
  fixture.Add(RequestKind::kRead, 503, "");
  CHECK(fixture.Broken() == Names{"all is served again after the faults"});
  fixture.records.requests[0]->head.status = 200;
  fixture.records.requests[0]->body = "answer of w1 to r0";
  CHECK(fixture.Broken().empty());
  fixture.records.requests[0]->ended_at = At(1.9);
  fixture.records.requests[0]->sent = At(-4);
  fixture.records.recovery_began = At(-5);
  fixture.records.requests[0]->deadline = absl::Seconds(9);
  CHECK(fixture.Broken() == Names{"nothing is slow in good times"});
}

TEST_CASE("an end that nobody asked for is seen") {
  Fixture fixture;
  fixture.records.process_failures.push_back("gateway-0 incarnation 1");
  CHECK(fixture.Broken() == Names{"processes end only when they are told to"});
}

TEST_CASE("a plan follows from its seed alone and stays within its time") {
  FaultPlanOptions options;
  options.seed = 7;
  const std::vector<PlannedFault> plan = MakeFaultPlan(options);
  const std::vector<PlannedFault> again = MakeFaultPlan(options);
  REQUIRE(plan.size() == again.size());
  REQUIRE(plan.size() > 5);
  for (std::size_t index = 0; index < plan.size(); ++index) {
    CHECK(plan[index].kind == again[index].kind);
    CHECK(plan[index].at == again[index].at);
    CHECK(plan[index].at + plan[index].duration <= options.length);
  }
  options.seed = 8;
  CHECK(MakeFaultPlan(options).front().at != plan.front().at);
}

}  // namespace
}  // namespace hingespan::soak
