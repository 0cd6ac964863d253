// Tests of workers that send nothing for a while and then go on.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

using emulator::PlatformWorker;
using emulator::WorkerFault;

constexpr int kEvents = 4;
// Shorter than the time for which the fixture's callers wait for the next event.
constexpr absl::Duration kSilence = absl::Milliseconds(1600);
// Longer than a worker may take for its first event, shorter than kSilencePastStall.
constexpr absl::Duration kLongSilence = absl::Milliseconds(2200);
// Longer than a stream stays with a silent worker if another one may go on with it.
constexpr absl::Duration kSilencePastStall = absl::Milliseconds(3000);
constexpr absl::Duration kEndlessSilence = absl::Minutes(1);

emulator::PlatformWorkerOptions ModelWorker(const std::string& id) {
  emulator::PlatformWorkerOptions options;
  options.id = id;
  options.service = "models";
  options.models["m1"];
  options.events = kEvents;
  options.event_interval = absl::Milliseconds(20);
  return options;
}

TestRequest ResumableStream() {
  TestRequest request = StreamRequest("/stream/x", "m1");
  request.deadline_ms = 10000;
  return request;
}

// A node with a retry budget and a caller that has received the first events of a stream.
struct SilenceFixture : GatewayFixture {
  SilenceFixture() {
    node = AddNode("n1");
    EarnRetries(node, StreamRequest("/stream/x", "m1"));
    first = AddWorker(ModelWorker("w1"));
    call = Send(node, ResumableStream());
    REQUIRE(Wait([&] { return !call->body.empty(); }));
  }

  TestNode* node = nullptr;
  PlatformWorker* first = nullptr;
  std::unique_ptr<TestCall> call;
};

// Guards against cutting a stream whose worker fell silent when the worker tried instead can't go
// on with it.
TEST_CASE("a stream arrives whole when its worker falls silent and the other workers fail") {
  for (const WorkerFault fault : {WorkerFault::kRejects, WorkerFault::kFails,
                                  WorkerFault::kLosesAnswer, WorkerFault::kOtherRequest}) {
    CAPTURE(static_cast<int>(fault));
    SilenceFixture fixture;
    fixture.first->FallSilent(kSilence);
    fixture.AddWorker(ModelWorker("w2"))->SetFault(fault);
    REQUIRE(fixture.Wait([&] { return fixture.call->ended; }));
    CHECK(fixture.call->result == ExchangeResult::kComplete);
    CHECK(fixture.call->body == Events(1, kEvents));
  }
}

// Guards against cutting a stream, and against giving up the path to the workers' network, when
// all workers of a service are silent at the same time.
TEST_CASE("a stream arrives whole when all workers of its service fall silent") {
  SilenceFixture fixture;
  PlatformWorker* const second = fixture.AddWorker(ModelWorker("w2"));
  fixture.first->FallSilent(kSilence);
  second->FallSilent(kSilence);
  REQUIRE(fixture.Wait([&] { return fixture.call->ended; }));
  CHECK(fixture.call->result == ExchangeResult::kComplete);
  CHECK(fixture.call->body == Events(1, kEvents));
}

// Guards against cutting a stream that went on at a second worker, when that one falls silent and
// a third one can't go on with it.
TEST_CASE("a stream arrives whole when the worker that it went on at falls silent") {
  GatewayFixture fixture;
  fixture.PutConfiguration(2, 10000, 0.03, 800, 3);
  TestNode* const node = fixture.AddNode("n1");
  fixture.EarnRetries(node, StreamRequest("/stream/x", "m1"));
  fixture.AddWorker(ModelWorker("w1"))->SetFault(WorkerFault::kBreaksStream);
  const auto call = fixture.Send(node, ResumableStream());
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  fixture.AddWorker(ModelWorker("w2"))->FallSilent(kLongSilence);
  REQUIRE(fixture.Wait([&] { return node->metrics.repeats == 1; }));
  fixture.AddWorker(ModelWorker("w3"))->SetFault(WorkerFault::kRejects);
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, kEvents));
}

// Guards against leaving a silent worker for others that the node has lost its path to.
TEST_CASE("a stream arrives whole when all workers are silent for longer and no peer is there") {
  SilenceFixture fixture;
  PlatformWorker* const second = fixture.AddWorker(ModelWorker("w2"));
  fixture.first->FallSilent(kSilencePastStall);
  second->FallSilent(kSilencePastStall);
  REQUIRE(fixture.Wait([&] { return fixture.call->ended; }));
  CHECK(fixture.call->result == ExchangeResult::kComplete);
  CHECK(fixture.call->body == Events(1, kEvents));
}

// Guards against taking a worker for silent that the node itself doesn't read from, as the caller
// is slow.
TEST_CASE("a stream stays with its worker while its caller doesn't read") {
  constexpr int kManyEvents = 400;
  constexpr std::size_t kPadding = 64 * 1024;
  GatewayFixture fixture;
  TestNode* const node = fixture.AddNode("n1");
  fixture.EarnRetries(node, StreamRequest("/stream/x", "m1"));
  emulator::PlatformWorkerOptions options = ModelWorker("w1");
  options.shapes["/stream/"] = {kManyEvents, absl::ZeroDuration(), kPadding};
  fixture.AddWorker(options);
  const auto call = fixture.Send(node, ResumableStream());
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  call->exchange->PauseReading();
  fixture.AddWorker(ModelWorker("w2"))->SetFault(WorkerFault::kRejects);
  const auto timer = fixture.loop.MakeTimer();
  timer->Set(fixture.loop.Now() + kSilencePastStall, [&] { call->exchange->ResumeReading(); });
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body.find(absl::StrCat("data: event ", kManyEvents)) != std::string::npos);
  CHECK(node->metrics.attempts == 1);
}

// Guards against waiting for a silent worker until the caller leaves.
TEST_CASE("a stream goes on at another worker before its caller gives up") {
  SilenceFixture fixture;
  fixture.first->FallSilent(kEndlessSilence);
  PlatformWorker* const second = fixture.AddWorker(ModelWorker("w2"));
  REQUIRE(fixture.Wait([&] { return fixture.call->ended; }));
  CHECK(fixture.call->result == ExchangeResult::kComplete);
  CHECK(fixture.call->body == Events(1, kEvents));
  CHECK(second->runs().size() == 1);
}

// Guards against leaving a silent worker when the retry budget has nothing left for another one.
TEST_CASE("a stream arrives whole when its worker falls silent and no retry is left") {
  GatewayFixture fixture;
  TestNode* const node = fixture.AddNode("n1");
  PlatformWorker* const first = fixture.AddWorker(ModelWorker("w1"));
  const auto call = fixture.Send(node, ResumableStream());
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  first->FallSilent(kSilence);
  fixture.AddWorker(ModelWorker("w2"));
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, kEvents));
}

}  // namespace
}  // namespace hingespan::gateway
