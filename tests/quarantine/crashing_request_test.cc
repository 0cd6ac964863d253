// Tests of single requests that end each worker which runs them, over all tries of their callers.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "tests/quarantine/restarting_workers.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

constexpr const char* kCrashingBody = "ends workers";
constexpr int kNodes = 4;
constexpr int kWorkers = 10;
// Workers that may end under one request, which is then sent to no other.
constexpr int kMaxEnded = 3;
constexpr int kTries = 4;
constexpr absl::Duration kRestartTime = absl::Milliseconds(900);

// A caller's request over its tries at several nodes.
struct Tries {
  // Id of the request; the tries' ids begin with it.
  std::string name;
  TestRequest request;
  std::vector<std::unique_ptr<TestCall>> calls;
  std::size_t node = 0;
  int last_event = 0;
  std::string first_id;
  bool done = false;

  bool served() const {
    return calls.back()->head.status == 200 && calls.back()->result == ExchangeResult::kComplete;
  }
};

struct CrashingRequestWorld : GatewayFixture {
  CrashingRequestWorld(std::string worker_service, int events_before_crash)
      : service(std::move(worker_service)),
        events_before(events_before_crash),
        restarting(this, kRestartTime, [this] { return WorkerOptions(); }) {
    for (int number = 0; number < kWorkers; ++number) {
      restarting.Start();
    }
    for (int number = 0; number < kNodes; ++number) {
      AddNode(absl::StrCat("n", number));
    }
    for (const auto& node : nodes) {
      REQUIRE(Wait([&] { return node->gateway.fleet_size() == kNodes; }));
    }
    // The budget of repeats must not be what ends the tries.
    for (const auto& node : nodes) {
      for (int number = 0; number < 40; ++number) {
        Begin(absl::StrCat("earns", number), false, node.get());
      }
    }
    Finish();
  }

  emulator::PlatformWorkerOptions WorkerOptions() const {
    emulator::PlatformWorkerOptions options;
    options.service = service;
    options.slots = 30;
    options.event_interval = absl::Milliseconds(10);
    options.run_time = absl::Milliseconds(20);
    options.crashing_body = kCrashingBody;
    options.events_before_crash = events_before;
    if (service == "models") {
      options.models["m1"];
    }
    return options;
  }

  // Begins a request at the node, or at the next one.
  Tries* Begin(const std::string& name, bool crashing, TestNode* node = nullptr) {
    auto tries = std::make_unique<Tries>();
    tries->name = name;
    tries->request.target = "/safe/x";
    if (service == "models") {
      tries->request = StreamRequest("/stream/x", "m1");
      tries->request.fields.back().value = absl::StrCat("shared:5,own", name, ":5");
    }
    tries->request.deadline_ms = 3000;
    // The name makes the body unique, as it identifies a request without a prompt.
    tries->request.body = absl::StrCat(name, " ", crashing ? kCrashingBody : "is sound");
    tries->node = next_node++ % nodes.size();
    for (std::size_t index = 0; node != nullptr && index < nodes.size(); ++index) {
      tries->node = nodes[index].get() == node ? index : tries->node;
    }
    requests.push_back(std::move(tries));
    SendNext(requests.back().get());
    return requests.back().get();
  }

  void SendNext(Tries* tries) {
    TestRequest request = tries->request;
    request.id = absl::StrCat(tries->name, "#", tries->calls.size());
    if (tries->last_event > 0) {
      request.fields.push_back({"Last-Event-Id", absl::StrCat(tries->last_event)});
      request.fields.push_back({"Resumes", tries->first_id});
    }
    tries->calls.push_back(Send(nodes[tries->node].get(), request));
  }

  // Sends the next try of each request whose last one has failed. Returns whether all are done.
  bool Advance() {
    bool all_done = true;
    for (const auto& tries : requests) {
      if (tries->done) {
        continue;
      }
      const TestCall& last = *tries->calls.back();
      if (!last.ended) {
        all_done = false;
        continue;
      }
      for (std::size_t at = last.body.find("\n\n"); at != std::string::npos;
           at = last.body.find("\n\n", at + 1)) {
        tries->last_event += last.head.status == 200 ? 1 : 0;
      }
      if (tries->first_id.empty() && tries->last_event > 0) {
        tries->first_id = absl::StrCat(tries->name, "#", tries->calls.size() - 1);
      }
      if (tries->served() || static_cast<int>(tries->calls.size()) == kTries) {
        tries->done = true;
        continue;
      }
      all_done = false;
      tries->node = (tries->node + 1) % nodes.size();
      SendNext(tries.get());
    }
    return all_done;
  }

  void Finish() {
    REQUIRE(Wait([&] { return Advance(); }));
  }

  // Attempts of the request that arrived at workers.
  int Arrivals(const Tries& tries) const {
    int count = 0;
    for (const auto& worker : workers) {
      for (const auto& arrival : worker->arrivals()) {
        count += absl::StartsWith(arrival.id, absl::StrCat(tries.name, "#")) ? 1 : 0;
      }
    }
    return count;
  }

  std::string service;
  int events_before;
  RestartingWorkers restarting;
  std::size_t next_node = 0;
  std::vector<std::unique_ptr<Tries>> requests;
};

// Sends one request that ends workers, beside sound ones, and checks how far it gets.
void CheckOne(CrashingRequestWorld* world) {
  const Tries* const crashing = world->Begin("bad", true);
  world->Finish();
  const std::size_t ended = world->restarting.crashes().size();
  MESSAGE("arrivals " << world->Arrivals(*crashing) << ", workers that ended " << ended);
  CHECK(world->Arrivals(*crashing) <= kMaxEnded);
  CHECK(ended <= kMaxEnded);
  CHECK_FALSE(crashing->served());
  std::vector<Tries*> sound;
  for (int number = 0; number < 40; ++number) {
    sound.push_back(world->Begin(absl::StrCat("sound", number), false));
  }
  world->Finish();
  int served = 0;
  for (const Tries* const tries : sound) {
    served += tries->served() ? 1 : 0;
  }
  CHECK(served == 40);
}

// Guards against a request without a prompt that ends worker after worker over its caller's tries
// (BUDGET).
TEST_CASE("a plain request is sent to no worker after three have ended under it") {
  CrashingRequestWorld world("plain", 0);
  CheckOne(&world);
}

// Guards against the same by a prompt's own last part, which no other request has (BUDGET).
TEST_CASE("a prompt is sent to no worker after three have ended before they answered it") {
  CrashingRequestWorld world("models", 0);
  CheckOne(&world);
}

// Guards against workers that end after the stream has begun, which goes on elsewhere (BUDGET).
TEST_CASE("a stream goes on at no worker after three have ended under it") {
  CrashingRequestWorld world("models", 1);
  CheckOne(&world);
}

}  // namespace
}  // namespace hingespan::gateway
