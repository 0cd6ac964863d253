// Tests of a node that has lost its path to all workers, while its callers, the store and the other
// nodes still reach it.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tests/partition/cut_off_node.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

using emulator::WorkerFault;
using soak::LinkFault;

// More requests than the budget allows retries: ten, plus a fifth of the requests.
constexpr int kRequests = 30;

// Returns whether the node has logged the event, for the service if one is named.
bool HasLine(const TestNode& node, const std::string& event, const std::string& service = "") {
  const std::vector<std::string> lines = node.LogLines();
  return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
    return absl::StrContains(line, absl::StrCat("\"event\":\"", event, "\"")) &&
           (service.empty() || absl::StrContains(line, absl::StrCat("\"", service, "\"")));
  });
}

// Two plain and two model workers, a node whose links to them can fail, and a sound one.
struct PartitionFixture : GatewayFixture {
  explicit PartitionFixture(absl::Duration event_interval = absl::Milliseconds(2)) {
    AddPlainWorker("p1");
    AddPlainWorker("p2");
    for (const char* const id : {"m1", "m2"}) {
      emulator::PlatformWorkerOptions options;
      options.id = id;
      options.service = "models";
      options.slots = 2 * kRequests;
      options.models["m1"];
      options.event_interval = event_interval;
      AddWorker(options);
    }
    cut = AddNode("n1", "", &links);
    sound = AddNode("n2", "", &sound_links);
    REQUIRE(Wait([&] { return cut->gateway.fleet_size() == 2; }));
  }

  int Runs() const {
    std::size_t count = 0;
    for (const auto& worker : workers) {
      count += worker->runs().size();
    }
    return static_cast<int>(count);
  }

  // Sends repeatable requests to the cut node until one is served again after the loss.
  void AwaitServed() {
    TestRequest request;
    request.target = "/safe/x";
    request.deadline_ms = 1000;
    int number = 0;
    REQUIRE(Wait([&] {
      if (probe == nullptr || probe->ended) {
        if (probe != nullptr && probe->head.status == 200) {
          return true;
        }
        request.id = absl::StrCat("probe", ++number);
        probe = Send(cut, request);
      }
      return false;
    }));
  }

  // Waits until the cut node knows that it has no path to the workers of either service.
  void AwaitLost() {
    AwaitServed();
    REQUIRE(Wait([&] {
      return HasLine(*cut, "path_lost", "plain") && HasLine(*cut, "path_lost", "models");
    }));
  }

  // Sends requests of all kinds and returns how many were served whole.
  int CountServed() {
    std::vector<std::unique_ptr<TestCall>> calls;
    for (int number = 0; number < kRequests; ++number) {
      TestRequest plain;
      plain.id = absl::StrCat("plain", number);
      calls.push_back(Send(cut, plain));
      TestRequest stream = StreamRequest(number % 2 == 0 ? "/once/x" : "/stream/x", "m1");
      stream.id = absl::StrCat("stream", number);
      calls.push_back(Send(cut, stream));
    }
    REQUIRE(Wait([&] {
      return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->ended; });
    }));
    return static_cast<int>(std::count_if(calls.begin(), calls.end(), [](const auto& call) {
      return call->head.status == 200 && call->result == ExchangeResult::kComplete;
    }));
  }

  LinkedReader links{&loop};
  LinkedReader sound_links{&loop};
  TestNode* cut = nullptr;
  TestNode* sound = nullptr;
  std::unique_ptr<TestCall> probe;
};

// Guards against refusing callers of a node that can't reach the workers, though another node can.
TEST_CASE("a node cut off from all workers serves first tries through another node") {
  PartitionFixture fixture;
  SUBCASE("new connections are refused") { fixture.links.SetFault(LinkFault::kRefuse); }
  SUBCASE("connections are reset") { fixture.links.SetFault(LinkFault::kReset); }
  SUBCASE("connections hang") { fixture.links.SetFault(LinkFault::kSilent); }
  fixture.AwaitLost();
  CHECK(fixture.CountServed() == 2 * kRequests);
  // No request ran twice.
  std::vector<std::string> ids;
  for (const auto& worker : fixture.workers) {
    for (const auto& run : worker->runs()) {
      if (!absl::StartsWith(run.id, "probe")) {
        ids.push_back(run.id);
      }
    }
  }
  std::sort(ids.begin(), ids.end());
  CHECK(std::adjacent_find(ids.begin(), ids.end()) == ids.end());
}

// Guards against requests that are forwarded to nodes lost long before, whose rows are still in the
// fleet table, until they fail.
TEST_CASE("a node cut off from all workers finds the node that is left among lost ones") {
  PartitionFixture fixture;
  constexpr int kLostNodes = 7;
  // The discard port: nobody answers there.
  constexpr const char* kLostAddress = "127.0.0.1:9";
  for (int number = 0; number < kLostNodes; ++number) {
    const nlohmann::json row{{"address", kLostAddress},
                             {"zone", "zone-a"},
                             {"forward", kLostAddress},
                             {"incarnation", 1}};
    fixture.store.Put("hingespan", absl::StrCat("node/lost-", number), row.dump());
  }
  REQUIRE(fixture.Wait([&] { return fixture.cut->gateway.fleet_size() == 2 + kLostNodes; }));
  fixture.links.SetFault(LinkFault::kRefuse);
  fixture.AwaitLost();
  CHECK(fixture.CountServed() == 2 * kRequests);
}

// Guards against a lost path that shows only once the workers of all services are gone.
TEST_CASE("a node cut off from the workers of one service forwards requests for that service") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kSilent, "plain");
  fixture.AwaitServed();
  const std::uint64_t forwards = fixture.cut->metrics.forwards;
  CHECK(fixture.CountServed() == 2 * kRequests);
  CHECK(fixture.cut->metrics.forwards == forwards + kRequests);
  CHECK_FALSE(HasLine(*fixture.cut, "path_lost", "models"));
}

// Guards against using up the retry budget with attempts that no worker received.
TEST_CASE("attempts that were not sent take nothing from the retry budget") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kRefuse);
  CHECK(fixture.CountServed() == 2 * kRequests);
  CHECK(fixture.cut->metrics.repeats_denied == 0);
}

// Guards against a fleet that places nothing any more, since a node without a path calls every
// worker unreachable, or since it keeps the lease while its orders arrive nowhere.
TEST_CASE("models are still loaded while a node is cut off from all workers") {
  PartitionFixture fixture;
  // The first node took the lease, so this also moves it.
  REQUIRE(fixture.Wait([&] { return HasLine(*fixture.cut, "lease_acquired"); }));
  fixture.links.SetFault(LinkFault::kSilent);
  fixture.AwaitLost();
  TestRequest request = StreamRequest("/stream/x", "m2");
  request.deadline_ms = 900;
  int served = 0;
  std::unique_ptr<TestCall> call;
  int number = 0;
  REQUIRE(fixture.Wait([&] {
    if (call == nullptr || call->ended) {
      served += call != nullptr && call->head.status == 200 ? 1 : 0;
      request.id = absl::StrCat("cold", ++number);
      call = fixture.Send(number % 2 == 0 ? fixture.cut : fixture.sound, request);
    }
    return served > 2;
  }));
  CHECK(HasLine(*fixture.sound, "lease_acquired"));
}

// Guards against staying on the detour, or holding the lease back, once the path is back.
TEST_CASE("requests go straight to workers again once the path is back") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kSilent);
  fixture.AwaitLost();
  fixture.links.SetFault(LinkFault::kNone);
  REQUIRE(fixture.Wait([&] {
    return HasLine(*fixture.cut, "path_regained", "plain") &&
           HasLine(*fixture.cut, "path_regained", "models");
  }));
  const std::uint64_t forwards = fixture.cut->metrics.forwards;
  CHECK(fixture.CountServed() == 2 * kRequests);
  CHECK(fixture.cut->metrics.forwards == forwards);
}

// Guards against losing a stream under way that another node could continue.
TEST_CASE("a resumable stream under way continues through another node when the path is lost") {
  PartitionFixture fixture(absl::Milliseconds(200));
  REQUIRE(fixture.CountServed() == 2 * kRequests);  // Earns a retry.
  TestRequest request = StreamRequest("/stream/x", "m1");
  request.deadline_ms = 10000;
  const auto call = fixture.Send(fixture.cut, request);
  REQUIRE(fixture.Wait([&] { return !call->body.empty(); }));
  fixture.links.SetFault(LinkFault::kSilent);
  REQUIRE(fixture.Wait([&] { return call->ended; }));
  CHECK(call->result == ExchangeResult::kComplete);
  CHECK(fixture.cut->metrics.forwards > 0);
  CHECK(call->body == Events(1, 6));
}

// Guards against a broken stream that the node between frames as a complete one.
TEST_CASE("a forwarded stream that breaks off does not look complete") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kRefuse);
  for (const auto& worker : fixture.workers) {
    worker->SetFault(WorkerFault::kBreaksStream);
  }
  const auto call = fixture.Ask(fixture.cut, StreamRequest("/once/x", "m1"));
  CHECK(call->result == ExchangeResult::kBroken);
  CHECK(call->body == Events(1, 3));
}

// Guards against leaving a peer alone because a worker behind it failed.
TEST_CASE("a worker's failure reaches the caller through a peer, which is used again") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kRefuse);
  for (const auto& worker : fixture.workers) {
    worker->SetFault(WorkerFault::kFails);
  }
  for (const char* const id : {"first", "second"}) {
    TestRequest request;
    request.id = id;
    const auto call = fixture.Ask(fixture.cut, request);
    CHECK(call->head.status == 500);
    CHECK(FindField(call->head.fields, "Server-Seal") != nullptr);
  }
  CHECK(fixture.Runs() == 2);
}

// Guards against answers that lose their end or their meaning on the way through a peer.
TEST_CASE("answers without a length or chunks reach the caller through a peer") {
  PartitionFixture fixture;
  for (const auto& worker : fixture.workers) {
    worker->AnswerUnframed();
  }
  fixture.links.SetFault(LinkFault::kRefuse);
  fixture.AwaitLost();
  SUBCASE("served") { CHECK(fixture.CountServed() == 2 * kRequests); }
  SUBCASE("the worker's own 500") {
    for (const auto& worker : fixture.workers) {
      worker->SetFault(WorkerFault::kFails);
    }
    const auto call = fixture.Ask(fixture.cut, TestRequest{});
    CHECK(call->head.status == 500);
    CHECK(FindField(call->head.fields, "Server-Seal") != nullptr);
  }
  SUBCASE("not run") {
    for (const auto& worker : fixture.workers) {
      worker->SetFault(WorkerFault::kRejects);
    }
    CHECK(fixture.Ask(fixture.cut, TestRequest{})->head.status == 503);
  }
  SUBCASE("reset in transit") {
    for (const auto& worker : fixture.workers) {
      worker->SetFault(WorkerFault::kResetsAnswer);
    }
    const auto call = fixture.Ask(fixture.cut, TestRequest{});
    CHECK(call->head.status == 502);
    CHECK(call->body.empty());
  }
}

// Guards against holding callers until their deadline when no node reaches a worker.
TEST_CASE("a request that no node can send to a worker is refused as not executed") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kRefuse);
  TestRequest request;
  request.deadline_ms = 15000;
  SUBCASE("the other node is cut off too") { fixture.sound_links.SetFault(LinkFault::kRefuse); }
  SUBCASE("the other node is gone") {
    fixture.nodes.pop_back();
    fixture.sound = nullptr;
  }
  const auto call = fixture.Ask(fixture.cut, request);
  CHECK(call->head.status == 503);
  CHECK(FindField(call->head.fields, "Retry-After") != nullptr);
  CHECK(FindField(call->head.fields, "Hingespan-Verdict") == nullptr);
  CHECK(fixture.Runs() == 0);
}

// Guards against workers that stay busy for callers who have left.
TEST_CASE("when the caller of a forwarded request leaves, its worker's connection ends") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kRefuse);
  for (const auto& worker : fixture.workers) {
    worker->SetFault(WorkerFault::kSilent);
  }
  auto call = fixture.Send(fixture.cut, TestRequest{});
  const auto ran = [&] { return fixture.Runs() == 1; };
  REQUIRE(fixture.Wait(ran));
  call->exchange->Cancel();
  CHECK(fixture.Wait([&] {
    return std::any_of(fixture.workers.begin(), fixture.workers.end(), [](const auto& worker) {
      return !worker->runs().empty() && worker->runs().front().caller_disconnected;
    });
  }));
}

// Guards against requests that are given up and still reach workers later, as a link delivers what
// it held up (GONE).
TEST_CASE("requests that were given up do not reach workers when a partition ends") {
  PartitionFixture fixture;
  std::vector<std::unique_ptr<TestCall>> calls;
  // Few enough to run at the workers at once.
  constexpr std::size_t kGivenUp = 6;
  const auto send = [&](const std::string& id, int deadline_ms) {
    calls.clear();
    for (std::size_t number = 0; number < kGivenUp; ++number) {
      TestRequest request;
      request.id = absl::StrCat(id, number);
      request.deadline_ms = deadline_ms;
      calls.push_back(fixture.Send(fixture.cut, request));
    }
  };
  const auto all_ended = [&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->ended; });
  };
  constexpr int kLong = 20'000;
  constexpr int kShort = 300;
  TestNode* sending = fixture.cut;
  LinkedReader* links = &fixture.links;
  bool callers_leave = true;
  SUBCASE("as their callers leave") {}
  SUBCASE("at their deadline") { callers_leave = false; }
  SUBCASE("by another node that has taken them over") {
    sending = fixture.sound;
    links = &fixture.sound_links;
    fixture.links.SetFault(LinkFault::kRefuse);
    fixture.AwaitLost();
  }
  // Leaves idle connections to the workers.
  send("first", kLong);
  REQUIRE(fixture.Wait(all_ended));
  links->SetFault(LinkFault::kSilent);
  send("late", callers_leave ? kLong : kShort);
  REQUIRE(fixture.Wait([&] { return links->HoldingConnections() == kGivenUp; }));
  if (callers_leave) {
    const std::uint64_t gone = sending->metrics.callers_gone;
    for (const auto& call : calls) {
      call->exchange->Cancel();
    }
    REQUIRE(fixture.Wait([&] { return sending->metrics.callers_gone - gone == kGivenUp; }));
  } else {
    REQUIRE(fixture.Wait(all_ended));
  }
  CHECK(fixture.Wait([&] { return links->HoldingConnections() == 0; }));
  links->SetFault(LinkFault::kNone);
  send("after", kLong);
  REQUIRE(fixture.Wait(all_ended));
  for (const auto& worker : fixture.workers) {
    for (const auto& arrival : worker->arrivals()) {
      CHECK(!absl::StartsWith(arrival.id, "late"));
    }
  }
}

// Guards against a refusal by the other node that would promise more than is known.
TEST_CASE("a forwarded request that may have run is answered 502, never 503") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kRefuse);
  for (const auto& worker : fixture.workers) {
    worker->SetFault(WorkerFault::kLosesAnswer);
  }
  const auto call = fixture.Ask(fixture.cut, TestRequest{});
  CHECK(call->head.status == 502);
  CHECK(FindField(call->head.fields, "Hingespan-Verdict") == nullptr);
  CHECK(fixture.Runs() == 1);
}

// Guards against callers that pose as another node, by chance or on purpose.
TEST_CASE("a caller's fields named like those between nodes don't reach the other node") {
  PartitionFixture fixture;
  fixture.links.SetFault(LinkFault::kRefuse);
  TestRequest request;
  SUBCASE("attempts that were never made") {
    request.fields = {{"Hingespan-Origin", "counted,p1,p2"}};
  }
  SUBCASE("a stream that never began") {
    request = StreamRequest("/stream/x", "m1");
    request.fields.push_back({"hingespan-stream-service", "models"});
    request.fields.push_back({"hingespan-stream-version", "v9"});
  }
  const auto call = fixture.Ask(fixture.cut, request);
  CHECK(call->head.status == 200);
  CHECK(call->result == ExchangeResult::kComplete);
}

}  // namespace
}  // namespace hingespan::gateway
