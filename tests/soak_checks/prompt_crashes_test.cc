// Tests that the checks of prompts with a crashing part report one arrival too many, and sound
// prompts that are not served, and nothing else.
#include "tests/soak/prompt_crashes.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/soak/fault_plan.h"
#include "tests/soak_checks/fixture.h"

namespace hingespan::soak {
namespace {

constexpr const char* kFew = "few prompts with a crashing part reach workers";
constexpr const char* kServed = "sound prompts are served beside crashing ones";
constexpr int kSound = 20;

std::string Events(const std::string& id) {
  std::string text;
  for (int event = 1; event <= kStreamEvents; ++event) {
    absl::StrAppend(&text, "id: ", event, "\ndata: event ", event, " of ", id, "\n\n");
  }
  return text;
}

// Crashes that have the fifth so long ago, one second apart.
std::vector<absl::Time> CrashesBefore(absl::Time now, absl::Duration fifth_ago) {
  std::vector<absl::Time> crashes;
  for (int number = 4; number >= 0; --number) {
    crashes.push_back(now - fifth_ago - absl::Seconds(number));
  }
  return crashes;
}

// Adds a prompt with the crashing part that reaches the worker now.
RequestRecord* AddArrival(Fixture* fixture) {
  RequestRecord* const request = fixture->Add(RequestKind::kResumableStream, 502, "");
  request->prompt = PromptKind::kCrashing;
  fixture->Run(request->id, "/resumable/x", "");
  request->sent = fixture->loop.Now();
  request->ended_at = request->sent;
  return request;
}

void AddArrivals(Fixture* fixture, int count) {
  for (int number = 0; number < count; ++number) {
    AddArrival(fixture);
  }
}

// Adds a sound prompt at this time that is served or refused.
RequestRecord* AddSound(Fixture* fixture, absl::Time sent, bool served) {
  RequestRecord* const request =
      fixture->Add(RequestKind::kResumableStream, served ? 200 : 503, "");
  if (served) {
    request->body = Events(request->id);
  }
  request->prompt = PromptKind::kSound;
  Fixture::MoveTo(sent, request);
  return request;
}

// Sound prompts before the first crash, all served, and after the time from which they count, of
// which so many are served. The first crash is at At(10), the last relevant one at At(14).
void AddSoundPrompts(Fixture* fixture, int before, int after, int served_after) {
  fixture->records.prompt_crashes = CrashesBefore(At(14), absl::ZeroDuration());
  for (int number = 0; number < before; ++number) {
    AddSound(fixture, At(2), true);
  }
  for (int number = 0; number < after; ++number) {
    AddSound(fixture, At(20.1), number < served_after);
  }
  RequestRecord* const crashing = fixture->Add(RequestKind::kResumableStream, 503, "");
  crashing->prompt = PromptKind::kCrashing;
  Fixture::MoveTo(At(30), crashing);
}

TEST_CASE("the fourth arrival later than 3 s after the fifth crash is seen") {
  Fixture fixture;
  fixture.records.repeats.extra = 100;
  fixture.records.prompt_crashes = CrashesBefore(fixture.loop.Now(), absl::Seconds(3));
  AddArrivals(&fixture, 3);
  CHECK(fixture.Broken().empty());
  AddArrival(&fixture);
  CHECK(fixture.Broken() == Names{kFew});
}

TEST_CASE("attempts at several workers of one prompt are each counted") {
  Fixture fixture;
  fixture.records.repeats.extra = 100;
  fixture.records.prompt_crashes = CrashesBefore(fixture.loop.Now(), absl::Seconds(3));
  RequestRecord* const request = AddArrival(&fixture);
  for (int attempt = 0; attempt < 3; ++attempt) {
    fixture.Run(request->id, "/resumable/x", "");
  }
  CHECK(fixture.Broken() == Names{kFew});
}

TEST_CASE("arrivals are counted from the fifth crash and at gateways in touch only") {
  Fixture fixture;
  fixture.records.repeats.extra = 100;
  const absl::Time now = fixture.loop.Now();
  fixture.records.prompt_crashes = CrashesBefore(now, absl::Seconds(3));
  AddArrivals(&fixture, 4);
  CHECK(fixture.Broken() == Names{kFew});
  using Component = Disturbance::Component;
  auto& disturbances = fixture.records.disturbances;
  const absl::Time end = now - absl::Seconds(2.9);
  SUBCASE("too soon") { fixture.records.prompt_crashes = CrashesBefore(now, absl::Seconds(2)); }
  SUBCASE("four crashes") { fixture.records.prompt_crashes.pop_back(); }
  SUBCASE("sound prompts") {
    for (const auto& request : fixture.records.requests) {
      request->prompt = PromptKind::kSound;
    }
  }
  SUBCASE("a gateway just started") { disturbances = {{Component::kGateway, 0, At(-9), end}}; }
  SUBCASE("its link") { disturbances = {{Component::kStoreLink, 0, At(-9), end}}; }
  SUBCASE("the store") { disturbances = {{Component::kStore, 0, At(-9), end}}; }
  CHECK(fixture.Broken().empty());
}

TEST_CASE("other disturbances, and those of long ago, excuse no arrival") {
  Fixture fixture;
  fixture.records.repeats.extra = 100;
  const absl::Time now = fixture.loop.Now();
  fixture.records.prompt_crashes = CrashesBefore(now, absl::Seconds(3));
  AddArrivals(&fixture, 4);
  using Component = Disturbance::Component;
  fixture.records.disturbances = {
      {Component::kGateway, 1, now, now + absl::Seconds(9)},
      {Component::kWorker, 0, now, now + absl::Seconds(9)},
      {Component::kGateway, 0, now - absl::Seconds(9), now - absl::Seconds(3.1)}};
  CHECK(fixture.Broken() == Names{kFew});
}

TEST_CASE("sound prompts that are served less than half as often are seen") {
  Fixture fixture;
  AddSoundPrompts(&fixture, kSound, kSound, kSound / 2);
  CHECK(fixture.Broken().empty());
  AddSound(&fixture, At(20.1), false);
  CHECK(fixture.Broken() == Names{kServed});
}

TEST_CASE("a sound prompt that is cut, or served when taken up only, is not served") {
  Fixture fixture;
  AddSoundPrompts(&fixture, kSound, kSound, kSound / 2);
  RequestRecord* const cut = AddSound(&fixture, At(20.1), true);
  cut->result = gateway::ExchangeResult::kBroken;
  CHECK(fixture.Broken() == Names{kServed});
  RequestRecord* const taken_up = AddSound(&fixture, At(20.1), true);
  taken_up->resumed_id = cut->id;
  taken_up->body = Events(taken_up->id);
  CHECK(fixture.Broken() == Names{kServed});
}

TEST_CASE("sound prompts are counted by the last crash if there are fewer than five") {
  Fixture fixture;
  AddSoundPrompts(&fixture, kSound, kSound, 0);
  fixture.records.prompt_crashes.resize(2);
  CHECK(fixture.Broken() == Names{kServed});
  fixture.records.prompt_crashes.push_back(At(14.5));
  CHECK(fixture.Broken().empty());
}

TEST_CASE("later crashes move nothing") {
  Fixture fixture;
  AddSoundPrompts(&fixture, kSound, kSound, 0);
  fixture.records.prompt_crashes.push_back(At(19));
  CHECK(fixture.Broken() == Names{kServed});
}

TEST_CASE("the share of sound prompts needs enough of them, at gateways in touch") {
  Fixture fixture;
  using Component = Disturbance::Component;
  SUBCASE("before") { AddSoundPrompts(&fixture, kSound - 1, kSound, 0); }
  SUBCASE("after") { AddSoundPrompts(&fixture, kSound, kSound - 1, 0); }
  SUBCASE("out of touch before") {
    AddSoundPrompts(&fixture, kSound, kSound, 0);
    fixture.records.disturbances = {{Component::kGateway, 0, At(-5), At(-0.9)}};
  }
  SUBCASE("out of touch after") {
    AddSoundPrompts(&fixture, kSound, kSound, 0);
    fixture.records.disturbances = {{Component::kStore, 0, At(17), At(17.2)}};
  }
  SUBCASE("no prompts with the part after") {
    AddSoundPrompts(&fixture, kSound, kSound, 0);
    Fixture::MoveTo(At(20), fixture.records.requests.back().get());
  }
  CHECK(fixture.Broken().empty());
}

TEST_CASE("a plan of silences follows from its seed and lets no worker be silent for long") {
  FaultPlanOptions options;
  std::size_t silences = 0;
  bool several = false;
  for (options.seed = 0; options.seed < 40; ++options.seed) {
    const std::vector<PlannedFault> plan = MakeSilencePlan(options);
    const std::vector<PlannedFault> again = MakeSilencePlan(options);
    REQUIRE(plan.size() == again.size());
    silences += plan.size();
    for (std::size_t index = 0; index < plan.size(); ++index) {
      const PlannedFault& fault = plan[index];
      CHECK(fault.kind == FaultKind::kWorkerFallsSilent);
      CHECK(fault.at == again[index].at);
      CHECK(fault.duration == again[index].duration);
      CHECK(fault.target == again[index].target);
      CHECK(fault.duration >= absl::Seconds(0.5));
      CHECK(fault.duration <= absl::Seconds(1.8));
      CHECK(fault.at + fault.duration <= options.length);
      if (index == 0) {
        continue;
      }
      const PlannedFault& previous = plan[index - 1];
      several = several || fault.at == previous.at;
      if (fault.at == previous.at) {
        CHECK(fault.target == previous.target + 1);
      } else {
        CHECK(fault.at >= previous.at + previous.duration);
      }
    }
  }
  CHECK(silences > 40);
  CHECK(several);
}

TEST_CASE("a plan beside prompts holds kills, stops and outages, none before its begin") {
  FaultPlanOptions options;
  std::set<FaultKind> kinds;
  for (options.seed = 0; options.seed < 40; ++options.seed) {
    for (const PlannedFault& fault : MakePromptPlan(options, absl::Seconds(4))) {
      kinds.insert(fault.kind);
      CHECK(fault.at >= absl::Seconds(4));
    }
  }
  CHECK(kinds == std::set<FaultKind>{FaultKind::kGatewayKill, FaultKind::kGatewayStop,
                                     FaultKind::kStoreUnavailable});
}

}  // namespace
}  // namespace hingespan::soak
