// Tests that the check of the retry budget reports one repeat too many, and no fewer.
#include "tests/soak/repeat_budget.h"

#include <doctest/doctest.h>

#include "tests/soak_checks/fixture.h"

namespace hingespan::soak {
namespace {

constexpr const char* kBudget = "the budget of repeats";

// Adds a request that is repeated twice.
void AddRepeated(Fixture* fixture) {
  RequestRecord* const request = fixture->Add(RequestKind::kRead, 502, "");
  request->sent = fixture->loop.Now();
  request->ended_at = request->sent;
  for (int count = 0; count < 3; ++count) {
    fixture->Run(request->id, "/read/x", "");
  }
}

TEST_CASE("arrivals beyond the first of each request are counted") {
  Fixture fixture;
  fixture.records.repeats = {0, 2, absl::Seconds(100)};
  AddRepeated(&fixture);
  CHECK(fixture.Broken().empty());
  AddRepeated(&fixture);
  CHECK(fixture.Broken() == Names{kBudget});
}

TEST_CASE("arrivals that a worker refuses are counted") {
  Fixture fixture;
  fixture.records.repeats = {0, 1, absl::Seconds(100)};
  fixture.worker->SetFault(emulator::WorkerFault::kRejects);
  AddRepeated(&fixture);
  CHECK(fixture.Broken() == Names{kBudget});
}

TEST_CASE("each request for the service allows its part of repeats") {
  Fixture fixture;
  fixture.records.repeats = {0.5, 0, absl::Seconds(100)};
  AddRepeated(&fixture);
  CHECK(fixture.Broken() == Names{kBudget});
  const absl::Time now = fixture.loop.Now();
  for (int count = 0; count < 2; ++count) {
    // Requests of the previous window count if there are more of them.
    Fixture::MoveTo(now - absl::Seconds(80), fixture.Add(RequestKind::kRead, 503, ""));
  }
  CHECK(fixture.Broken() == Names{kBudget});
  Fixture::MoveTo(now - absl::Seconds(80), fixture.Add(RequestKind::kRead, 503, ""));
  CHECK(fixture.Broken().empty());
  for (const auto& request : fixture.records.requests) {
    if (request->head.status == 503) {
      Fixture::MoveTo(now - absl::Seconds(300), request.get());
    }
  }
  CHECK(fixture.Broken() == Names{kBudget});
}

TEST_CASE("requests for another service allow nothing") {
  Fixture fixture;
  fixture.records.repeats = {0.5, 0, absl::Seconds(100)};
  AddRepeated(&fixture);
  for (int count = 0; count < 9; ++count) {
    Fixture::MoveTo(fixture.loop.Now(), fixture.Add(RequestKind::kStream, 503, ""));
  }
  CHECK(fixture.Broken() == Names{kBudget});
}

TEST_CASE("what workers that are processes of their own have read is counted for their service") {
  Fixture fixture;
  fixture.records.repeats = {1, 0, absl::Seconds(100)};
  RequestRecord* const request = fixture.Add(RequestKind::kRead, 200, "answer to r0");
  request->target = kProcessTarget;
  fixture.records.process_arrivals = {{request->id, At(1)}, {request->id, At(2)}};
  CHECK(fixture.Broken().empty());
  fixture.records.process_arrivals.push_back({request->id, At(3)});
  CHECK(fixture.Broken() == Names{kBudget});
}

TEST_CASE("repeats further apart than a window are not added up") {
  Fixture fixture;
  fixture.records.repeats = {0, 1, absl::ZeroDuration()};
  AddRepeated(&fixture);
  CHECK(fixture.Broken().empty());
}

}  // namespace
}  // namespace hingespan::soak
