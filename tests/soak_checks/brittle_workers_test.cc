// Tests that the checks of brittle workers report one fall too many, and workers that are not used,
// and nothing else.
#include "tests/soak/brittle_workers.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "tests/soak_checks/fixture.h"

namespace hingespan::soak {
namespace {

constexpr const char* kFalls = "brittle workers seldom fall over";
constexpr const char* kUsed = "brittle workers are used";

// Workers of one slot that fall at the first rejection.
struct BrittleFixture : Fixture {
  BrittleFixture() {
    records.brittle.from = loop.Now();
    records.brittle.short_queues_from = loop.Now();
  }

  // Adds a worker that falls under a request of the gateway.
  void AddFall() {
    emulator::PlatformWorkerOptions brittle;
    brittle.id = absl::StrCat("b", fallen.size());
    brittle.service = "plain";
    brittle.slots = 0;
    brittle.queue = 0;
    brittle.on_crash = [] {};
    fallen.push_back(std::make_unique<emulator::PlatformWorker>(&loop, &store, brittle));
    fallen.back()->SetBrittle(0);
    views.push_back({brittle.id, fallen.back().get(), "plain"});
    records.brittle.workers["plain"] = static_cast<int>(fallen.size());
    RequestRecord* const request = Add(RequestKind::kRead, 503, "");
    RequestRecord call;
    call.loop = &loop;
    call.exchange = client.Send(
        fallen.back()->address(),
        gateway::RequestText("POST", "/read/x", "h", {{"Attempt-Id", request->id}}, ""), &call);
    REQUIRE(loop.RunUntil([&] { return call.ended(); }, absl::Seconds(10)));
    request->sent = loop.Now();
    request->ended_at = request->sent;
  }

  // Adds requests of the brittle time, of which so many are served.
  void AddRequests(int count, int served) {
    for (int number = 0; number < count; ++number) {
      RequestRecord* const request = Add(RequestKind::kAct, number < served ? 200 : 503, "");
      request->body = absl::StrCat("answer to ", request->id);
      MoveTo(records.brittle.short_queues_from + absl::Seconds(1), request);
    }
  }

  bool Reports(const char* promise) {
    const Names broken = Broken();
    return std::find(broken.begin(), broken.end(), promise) != broken.end();
  }

  std::vector<std::unique_ptr<emulator::PlatformWorker>> fallen;
};

TEST_CASE("two falls are allowed, a third is reported") {
  BrittleFixture fixture;
  fixture.AddFall();
  fixture.AddFall();
  CHECK_FALSE(fixture.Reports(kFalls));
  fixture.AddFall();
  CHECK(CountBrittle(fixture.records, fixture.views).at("plain").falls == 3);
  CHECK(fixture.Reports(kFalls));
}

TEST_CASE("falls under requests of gateways that are not in touch don't count") {
  BrittleFixture fixture;
  for (int number = 0; number < 3; ++number) {
    fixture.AddFall();
  }
  const absl::Time now = fixture.loop.Now();
  fixture.records.disturbances.push_back(
      {Disturbance::Component::kGateway, 0, now - absl::Seconds(5), now});
  CHECK(CountBrittle(fixture.records, fixture.views).at("plain").falls == 0);
}

TEST_CASE("a quarter of the requests has to be served while workers are brittle") {
  BrittleFixture served;
  served.AddRequests(100, 25);
  CHECK_FALSE(served.Reports(kUsed));
  BrittleFixture refused;
  refused.AddRequests(100, 24);
  CHECK(refused.Reports(kUsed));
}

TEST_CASE("few requests are not judged, and none while no worker is brittle") {
  BrittleFixture few;
  few.AddRequests(49, 0);
  CHECK_FALSE(few.Reports(kUsed));
  Fixture sturdy;
  CHECK(CountBrittle(sturdy.records, sturdy.views).empty());
}

}  // namespace
}  // namespace hingespan::soak
