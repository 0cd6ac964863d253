// Tests of the checks that a stream holds one software version's events, and that streams go on.
#include "tests/soak/stream_versions.h"

#include <doctest/doctest.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "tests/soak_checks/fixture.h"

namespace hingespan::soak {
namespace {

constexpr int kStreams = 12;

std::string Events(const std::string& id, const std::string& version, int first, int last) {
  std::string text;
  for (int event = first; event <= last; ++event) {
    absl::StrAppend(&text, "id: ", event, "\ndata: event ", event, " of ", id, " by ", version,
                    "\n\n");
  }
  return text;
}

// Adds a stream that breaks off after its fifth event, and a request that takes it up.
RequestRecord* AddTakenUp(Fixture* fixture, const std::string& began_at) {
  const std::string first = absl::StrCat("r", fixture->records.requests.size());
  fixture->Add(RequestKind::kResumableStream, 200, Events(first, began_at, 1, 5))->result =
      gateway::ExchangeResult::kBroken;
  RequestRecord* const next = fixture->Add(RequestKind::kResumableStream, 200, "");
  next->resumed_id = first;
  next->last_event = 5;
  next->body = Events(next->id, began_at, 6, 12);
  return next;
}

TEST_CASE("a stream that goes on at its version breaks no promise") {
  Fixture fixture;
  AddTakenUp(&fixture, "v1");
  CHECK(fixture.Broken().empty());
}

TEST_CASE("events of two versions are seen, within an answer and over its caller's tries") {
  Fixture fixture;
  SUBCASE("within an answer") {
    fixture.Add(RequestKind::kResumableStream, 200,
                Events("r0", "v1", 1, 6) + Events("r0", "v2", 7, 12));
  }
  SUBCASE("over tries") {
    RequestRecord* const next = AddTakenUp(&fixture, "v1");
    next->body = Events(next->id, "v2", 6, 12);
  }
  CHECK(fixture.Broken() == Names{"a stream holds one version's events"});
}

TEST_CASE("a gap between two tries is seen") {
  Fixture fixture;
  RequestRecord* const next = AddTakenUp(&fixture, "v1");
  next->body = Events(next->id, "v1", 7, 12);
  CHECK(fixture.Broken() == Names{"events in order"});
}

TEST_CASE("streams that don't go on are seen, if two workers of their version serve") {
  Fixture fixture;
  fixture.records.presences = {{"w1", "models", "v1", At(0)}, {"w2", "models", "v1", At(0)}};
  for (int number = 0; number < kStreams; ++number) {
    RequestRecord* const next = AddTakenUp(&fixture, "v1");
    next->head.status = 503;
    next->body.clear();
  }
  CHECK(fixture.Broken() == Names{"streams that are taken up go on"});
  SUBCASE("one worker of the version") { fixture.records.presences[1].until = At(0.5); }
  SUBCASE("a worker of another version") { fixture.records.presences[1].software_version = "v2"; }
  SUBCASE("gateways that were disturbed") {
    fixture.records.disturbances.push_back({Disturbance::Component::kGateway, 0, At(-1), At(0.5)});
  }
  SUBCASE("half of them go on") {
    for (int number = 0; number < kStreams; ++number) {
      AddTakenUp(&fixture, "v1");
    }
  }
  CHECK(fixture.Broken().empty());
}

TEST_CASE("prompts that crash workers excuse no streams that don't go on") {
  Fixture fixture;
  fixture.records.presences = {{"w1", "models", "v1", At(0)}, {"w2", "models", "v1", At(0)}};
  for (int number = 0; number < kStreams; ++number) {
    RequestRecord* const next = AddTakenUp(&fixture, "v1");
    next->head.status = 503;
    next->body.clear();
  }
  for (int number = 0; number < 9 * kStreams; ++number) {
    fixture.Add(RequestKind::kResumableStream, 502, "")->prompt = PromptKind::kCrashing;
  }
  for (int number = 0; number < kStreams / 3; ++number) {
    AddTakenUp(&fixture, "v1");
  }
  CHECK(fixture.Broken() == Names{"streams that are taken up go on"});
}

// Guards against asking that a request which ends workers goes on, and against excusing others by
// it.
TEST_CASE("tries of requests that end workers don't count as streams") {
  Fixture fixture;
  fixture.records.presences = {{"w1", "models", "v1", At(0)}, {"w2", "models", "v1", At(0)}};
  for (int number = 0; number < kStreams; ++number) {
    RequestRecord* const next = AddTakenUp(&fixture, "v1");
    next->crashing_name = "bad";
    next->head.status = 503;
    next->body.clear();
  }
  CHECK(fixture.Broken().empty());
  for (int number = 0; number < kStreams; ++number) {
    RequestRecord* const next = AddTakenUp(&fixture, "v1");
    next->head.status = 503;
    next->body.clear();
  }
  for (int number = 0; number < 9 * kStreams; ++number) {
    fixture.Add(RequestKind::kResumableStream, 502, "")->crashing_name = "bad";
  }
  CHECK(fixture.Broken() == Names{"streams that are taken up go on"});
}

}  // namespace
}  // namespace hingespan::soak
