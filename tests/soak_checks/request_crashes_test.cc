// Tests that the check of requests that end workers reports an arrival after the third end, and
// nothing else.
#include "tests/soak/request_crashes.h"

#include <doctest/doctest.h>

#include "tests/soak_checks/fixture.h"

namespace hingespan::soak {
namespace {

constexpr const char* kPromise = "a request that has ended workers is sent to no more of them";

// Adds a try of the request that reaches the worker now.
RequestRecord* AddTry(Fixture* fixture, const std::string& name) {
  RequestRecord* const request = fixture->Add(RequestKind::kRead, 502, "");
  request->crashing_name = name;
  fixture->Run(request->id, "/read/x", "");
  request->sent = fixture->loop.Now();
  request->ended_at = request->sent;
  return request;
}

void AddEnds(Fixture* fixture, const std::string& name, int count) {
  for (int number = 0; number < count; ++number) {
    fixture->records.request_crashes.push_back({name, fixture->loop.Now() - absl::Seconds(1)});
  }
}

TEST_CASE("a try that reaches a worker after three have ended under its request is reported") {
  Fixture fixture;
  AddEnds(&fixture, "a", 3);
  AddTry(&fixture, "a");
  CHECK(CountCrashingRequests(fixture.records, fixture.views).late_arrivals == 1);
  CHECK(fixture.Broken() == Names{kPromise});
}

TEST_CASE("a try after two ends is allowed, and so is another request") {
  Fixture fixture;
  AddEnds(&fixture, "a", 2);
  AddEnds(&fixture, "b", 3);
  AddTry(&fixture, "a");
  CHECK(CountCrashingRequests(fixture.records, fixture.views).late_arrivals == 0);
  CHECK(fixture.Broken().empty());
}

TEST_CASE("a try that arrived before the third end is allowed") {
  Fixture fixture;
  AddTry(&fixture, "a");
  for (int number = 0; number < 3; ++number) {
    fixture.records.request_crashes.push_back({"a", fixture.loop.Now() + absl::Seconds(1)});
  }
  CHECK(fixture.Broken().empty());
}

TEST_CASE("a gateway that is not in touch may send it") {
  Fixture fixture;
  AddEnds(&fixture, "a", 3);
  const absl::Time now = fixture.loop.Now();
  fixture.records.disturbances.push_back(
      {Disturbance::Component::kGateway, 0, now - absl::Seconds(1), now});
  AddTry(&fixture, "a");
  CHECK(CountCrashingRequests(fixture.records, fixture.views).late_arrivals == 0);
}

}  // namespace
}  // namespace hingespan::soak
