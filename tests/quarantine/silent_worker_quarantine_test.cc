// Tests of streams whose worker falls silent while parts of their prompts are suspected.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"
#include "tests/soak/fault_proxy.h"

namespace hingespan::gateway {
namespace {

using emulator::PlatformWorker;
using emulator::PlatformWorkerOptions;
using soak::FaultProxy;
using soak::LinkFault;

constexpr int kEvents = 4;
constexpr const char* kPart = "aa";
// Numbers of crashes after which a request with the part is not sent to another worker, and after
// which the part is quarantined.
constexpr std::size_t kCrashesBeforeNoRepeat = 2;
constexpr std::size_t kCrashesBeforeQuarantine = 3;
// Keeps two crashes apart, so that they don't count as one event.
constexpr absl::Duration kPromptTime = absl::Milliseconds(60);
// Longer than a stream stays with a silent worker if another one may go on with it, shorter than
// the time for which its caller waits.
constexpr absl::Duration kSilence = absl::Milliseconds(3000);

PlatformWorkerOptions WorkerOf(const std::string& id) {
  PlatformWorkerOptions options;
  options.id = id;
  options.service = "models";
  options.models["m1"];
  options.events = kEvents;
  options.event_interval = absl::Milliseconds(20);
  return options;
}

// The stream of the test occupies it, so that it gets none of the other requests.
PlatformWorkerOptions OneSlotWorker(const std::string& id) {
  PlatformWorkerOptions options = WorkerOf(id);
  options.slots = 1;
  return options;
}

// Guards against cutting a stream whose worker fell silent although its request is not sent to
// another worker, because workers crashed on requests with a part of its prompt.
TEST_CASE("a stream with a suspected part arrives whole when its worker falls silent") {
  std::size_t crashes = 0;
  SUBCASE("suspected") { crashes = kCrashesBeforeNoRepeat; }
  SUBCASE("quarantined") { crashes = kCrashesBeforeQuarantine; }
  GatewayFixture fixture;
  std::vector<std::unique_ptr<FaultProxy>> links;
  TestNode* const node = fixture.AddNode("n1");
  fixture.EarnRetries(node, StreamRequest("/stream/x", "m1"));
  PlatformWorker* const first = fixture.AddWorker(OneSlotWorker("w1"));
  TestRequest request = StreamRequest("/stream/x", "m1");
  request.deadline_ms = 10000;
  request.fields[2].value = absl::StrCat(kPart, ":5,own:5");
  const auto call = fixture.Send(node, request);
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  first->FallSilent(kSilence);
  for (std::size_t index = 0; index < crashes; ++index) {
    PlatformWorkerOptions options = WorkerOf(absl::StrCat("crashing", index));
    options.crashing_part = kPart;
    options.prompt_time = kPromptTime;
    options.on_crash = [&links, index] { links[index]->SetFault(LinkFault::kReset); };
    options.writes_row_at_start = false;
    PlatformWorker* const worker = fixture.AddWorker(options);
    links.push_back(std::make_unique<FaultProxy>(&fixture.loop, worker->address()));
    worker->Announce(links.back()->address());
  }
  while (node->metrics.worker_crashes < crashes) {
    const std::uint64_t before = node->metrics.worker_crashes;
    request.id = absl::StrCat("crashes", before);
    request.fields[2].value = absl::StrCat(kPart, ":5,own", before, ":5");
    const auto crashing = fixture.Ask(node, request);
    REQUIRE(fixture.Wait([&] { return node->metrics.worker_crashes > before; }));
  }
  if (crashes == kCrashesBeforeQuarantine) {
    REQUIRE(fixture.Wait([&] { return node->metrics.quarantines == 1; }));
  }
  fixture.AddWorker(WorkerOf("w2"));
  REQUIRE(!call->ended);
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, kEvents));
}

}  // namespace
}  // namespace hingespan::gateway
