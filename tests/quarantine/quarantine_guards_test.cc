// Tests of requests that are already at a node when a quarantine is imposed at another one.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/peer_link.h"
#include "hingespan/serving/request_content.h"
#include "tests/serving/gateway_world.h"
#include "tests/soak/fault_proxy.h"

namespace hingespan::gateway {
namespace {

using emulator::PlatformWorker;
using emulator::PlatformWorkerOptions;
using emulator::WorkerFault;

constexpr const char* kPart = "aa";
constexpr int kDeadlineMs = 15000;

// A node with a peer that tells it of a quarantine.
struct GuardFixture : GatewayFixture {
  GuardFixture() : peer(&loop, [](absl::string_view) {}) {
    REQUIRE(!peer.Listen("127.0.0.1:0"));
    node = AddNode("n1");
    EarnRetries(node, StreamRequest("/stream/x", "m1"));
  }

  PlatformWorker* AddModelWorkerWith(const std::string& id, int slots,
                                     absl::Duration event_interval) {
    PlatformWorkerOptions options;
    options.id = id;
    options.service = "models";
    options.slots = slots;
    options.models["m1"];
    options.event_interval = event_interval;
    return AddWorker(options);
  }

  TestRequest RequestWithPart() const {
    TestRequest request = StreamRequest("/stream/x", "m1");
    request.deadline_ms = kDeadlineMs;
    request.fields.back().value = absl::StrCat(kPart, ":5,own:5");
    return request;
  }

  // Tells the node of a quarantine whose first crash is just now.
  void ImposeQuarantine(const std::string& part = kPart) {
    const auto row = nlohmann::json::parse(store.Value("hingespan", "node/n1"), nullptr, false);
    const std::string address = row.value("address", "");
    REQUIRE(!address.empty());
    peer.Send(address, EncodeFleetMessage(
                           QuarantineNotice{"models", {part}, {"w"}, 0, 60'000, peer.address()}));
    REQUIRE(Wait([&] { return HasLine("quarantine_taken_over"); }));
  }

  // Tells the node that so many workers have ended under the request.
  void TellEnds(const TestRequest& request, int count) {
    RequestHead head;
    head.method = request.method;
    head.target = request.target;
    head.fields = request.fields;
    head.fields.push_back({"Host", "h"});
    const RequestContent content =
        ContentOf(head, platform::RequestFields().ReadRequest(head), request.body);
    const auto row = nlohmann::json::parse(store.Value("hingespan", "node/n1"), nullptr, false);
    for (int number = 0; number < count; ++number) {
      peer.Send(row.value("address", ""),
                EncodeFleetMessage(
                    CrashNotice{absl::StrCat("ended", number), "", {}, peer.address(), {content}}));
    }
    // Datagrams arrive in order here, and this one is logged.
    ImposeQuarantine("unrelated");
  }

  bool HasLine(const std::string& text) const {
    const std::vector<std::string> lines = node->LogLines();
    return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
      return absl::StrContains(line, absl::StrCat("\"", text, "\""));
    });
  }

  PeerLink peer;
  TestNode* node = nullptr;
};

// Guards against a request that stays with a worker which it is about to crash (BUDGET).
TEST_CASE("a request that no worker has begun to answer ends when a quarantine comes") {
  GuardFixture fixture;
  PlatformWorker* const worker = fixture.AddModelWorkerWith("w1", 8, absl::Milliseconds(10));
  worker->SetFault(WorkerFault::kSilent);
  const auto call = fixture.Send(fixture.node, fixture.RequestWithPart());
  REQUIRE(fixture.Wait([&] { return !worker->runs().empty(); }));
  fixture.ImposeQuarantine();
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->head.status == 502);
  CHECK(fixture.HasLine("quarantined"));
  REQUIRE(fixture.Wait([&] { return worker->runs().front().caller_disconnected; }));
  CHECK(worker->arrivals().size() == 1);
}

// Guards against a stream under quarantine that goes on at another worker as soon as that one has
// room (BUDGET).
TEST_CASE("a stream that waits for another worker when a quarantine comes is sent to none") {
  GuardFixture fixture;
  PlatformWorker* const second = fixture.AddModelWorkerWith("w2", 1, absl::Milliseconds(300));
  TestRequest other = StreamRequest("/once/x", "m1");
  other.id = "other";
  other.deadline_ms = kDeadlineMs;
  other.fields.back().value = "bb:5,cc:5";
  const auto occupying = fixture.Send(fixture.node, other);
  REQUIRE(fixture.Wait([&] { return !occupying->body.empty(); }));
  fixture.AddModelWorkerWith("w1", 1, absl::Milliseconds(10))->SetFault(WorkerFault::kBreaksStream);
  const auto call = fixture.Send(fixture.node, fixture.RequestWithPart());
  REQUIRE(fixture.Wait([&] { return fixture.HasLine("attempt_failed") && !call->body.empty(); }));
  const std::size_t arrivals = second->arrivals().size();
  fixture.ImposeQuarantine();
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result != ExchangeResult::kComplete);
  REQUIRE(fixture.Wait([&] { return occupying->ended; }));
  CHECK(second->arrivals().size() == arrivals);
}

// Guards against a request that waits in line although it is known not to be sent (BUDGET).
TEST_CASE("a request under which three workers have ended is refused at once, whoever waits") {
  GuardFixture fixture;
  fixture.AddModelWorkerWith("w1", 1, absl::Milliseconds(400));
  TestRequest other = StreamRequest("/once/x", "m1");
  other.deadline_ms = kDeadlineMs;
  other.id = "runs";
  const auto running = fixture.Send(fixture.node, other);
  REQUIRE(fixture.Wait([&] { return !running->body.empty(); }));
  other.id = "waits";
  const auto waiting = fixture.Send(fixture.node, other);
  fixture.TellEnds(fixture.RequestWithPart(), 3);
  const auto call = fixture.Send(fixture.node, fixture.RequestWithPart());
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->head.status == 503);
  CHECK(fixture.HasLine("ends_workers"));
  CHECK_FALSE(running->ended);
  CHECK_FALSE(waiting->ended);
}

// Guards against a request that is sent once its worker has room, after workers have ended under
// it at other nodes (BUDGET).
TEST_CASE("a request that waits when the third end is told is sent to no worker") {
  GuardFixture fixture;
  PlatformWorker* const worker = fixture.AddModelWorkerWith("w1", 1, absl::Milliseconds(100));
  TestRequest other = StreamRequest("/once/x", "m1");
  other.deadline_ms = kDeadlineMs;
  other.id = "runs";
  const auto running = fixture.Send(fixture.node, other);
  REQUIRE(fixture.Wait([&] { return !running->body.empty(); }));
  const auto call = fixture.Send(fixture.node, fixture.RequestWithPart());
  fixture.TellEnds(fixture.RequestWithPart(), 3);
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->head.status == 503);
  REQUIRE(fixture.Wait([&] { return running->ended; }));
  CHECK(worker->arrivals().size() == 1);
}

// Guards against cutting a stream whose worker is silent, as it may go on nowhere else (LOST).
TEST_CASE("a stream under which three workers have ended stays with a silent one") {
  GuardFixture fixture;
  PlatformWorker* const worker = fixture.AddModelWorkerWith("w1", 1, absl::Milliseconds(20));
  const auto call = fixture.Send(fixture.node, fixture.RequestWithPart());
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  worker->FallSilent(absl::Milliseconds(3000));
  PlatformWorker* const second = fixture.AddModelWorkerWith("w2", 4, absl::Milliseconds(20));
  fixture.TellEnds(fixture.RequestWithPart(), 3);
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(call->body == Events(1, 6));
  CHECK(second->arrivals().empty());
}

// Guards against ends that no other node learns of, as the node that sees them has lost its path to
// the workers, which may have ended under the same request (BUDGET).
TEST_CASE("an end under a request counts while the path to the workers is lost") {
  GuardFixture fixture;
  std::vector<std::unique_ptr<soak::FaultProxy>> links;
  const auto add = [&](const std::string& id) {
    PlatformWorkerOptions options;
    options.id = id;
    options.service = "models";
    options.models["m1"];
    options.events = 200;
    options.event_interval = absl::Milliseconds(50);
    options.writes_row_at_start = false;
    PlatformWorker* const worker = fixture.AddWorker(options);
    links.push_back(std::make_unique<soak::FaultProxy>(&fixture.loop, worker->address()));
    worker->Announce(links.back()->address());
    return links.back().get();
  };
  soak::FaultProxy* const link = add("w9");
  const auto call = fixture.Send(fixture.node, fixture.RequestWithPart());
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  // All workers that the node asks before the first one refuse connections.
  for (const char* id : {"d1", "d2", "d3"}) {
    add(id)->SetFault(soak::LinkFault::kRefuse);
  }
  std::vector<std::unique_ptr<TestCall>> others;
  REQUIRE(fixture.Wait([&] {
    if (others.empty() || others.back()->ended) {
      TestRequest other = StreamRequest("/stream/x", "m1");
      other.id = absl::StrCat("other", others.size());
      others.push_back(fixture.Send(fixture.node, other));
    }
    return fixture.HasLine("path_lost");
  }));
  REQUIRE_FALSE(call->ended);
  link->SetFault(soak::LinkFault::kReset);
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  REQUIRE(fixture.Wait([&] { return fixture.HasLine("worker_crashed"); }));
}

// Guards against a stream that begins anew in the middle of an answer (ORDER).
TEST_CASE("a stream whose events have no ids does not go on elsewhere") {
  GatewayFixture fixture;
  TestNode* const node = fixture.AddNode("n1");
  fixture.EarnRetries(node, StreamRequest("/stream/x", "m1"));
  for (const char* id : {"w1", "w2"}) {
    PlatformWorkerOptions options;
    options.id = id;
    options.service = "models";
    options.models["m1"];
    options.includes_event_ids = false;
    fixture.AddWorker(options)->SetFault(WorkerFault::kBreaksStream);
  }
  const auto call = fixture.Ask(node, StreamRequest("/stream/x", "m1"));
  CHECK(call->result != ExchangeResult::kComplete);
  CHECK(absl::StrContains(call->body, "event 3"));
  CHECK(call->body.find("event 1\n") == call->body.rfind("event 1\n"));
  CHECK(fixture.workers[0]->arrivals().size() + fixture.workers[1]->arrivals().size() == 1);
}

}  // namespace
}  // namespace hingespan::gateway
