// Tests of one node that gets most of the callers, each request on a new connection.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

constexpr int kNodes = 4;
constexpr int kRequests = 120;
// Requests that callers have open at once.
constexpr std::size_t kOpenAtOnce = 40;

struct SkewFixture : GatewayFixture {
  SkewFixture() {
    for (int number = 0; number < kNodes; ++number) {
      AddNode(absl::StrCat("n", number));
    }
  }

  // Sends each request on a new connection, to the first `targets` nodes in turn. Returns how many
  // were served at the first attempt.
  int Served(const TestRequest& pattern, int targets) {
    std::vector<std::unique_ptr<TestCall>> open;
    int served = 0;
    for (int number = 0; number < kRequests; ++number) {
      TestRequest request = pattern;
      request.id = absl::StrCat("r", number);
      request.fields.push_back({"Connection", "close"});
      open.push_back(Send(nodes[static_cast<std::size_t>(number % targets)].get(), request));
      REQUIRE(Wait([&] {
        served += Collect(&open);
        return open.size() < kOpenAtOnce;
      }));
    }
    REQUIRE(Wait([&] {
      served += Collect(&open);
      return open.empty();
    }));
    return served;
  }

 private:
  // Removes the calls that have ended and returns how many of them were served.
  static int Collect(std::vector<std::unique_ptr<TestCall>>* open) {
    int served = 0;
    std::erase_if(*open, [&](const std::unique_ptr<TestCall>& call) {
      const bool whole = call->result == ExchangeResult::kComplete && call->head.status == 200;
      served += call->ended && whole ? 1 : 0;
      return call->ended;
    });
    return served;
  }
};

constexpr const char* kWorkers[] = {"w1", "w2", "w3", "w4"};

// Guards against a node that serves its callers worse when it gets all of them.
TEST_CASE("callers that all meet one node are served at the first attempt like spread ones") {
  TestRequest request;
  std::function<void(GatewayFixture*)> add_workers;
  const auto add_plain = [](GatewayFixture* fixture) {
    for (const char* const id : kWorkers) {
      fixture->AddPlainWorker(id);
    }
  };
  SUBCASE("plain requests") { add_workers = add_plain; }
  SUBCASE("repeatable requests with a failing worker") {
    request.target = "/safe/x";
    add_workers = [&](GatewayFixture* fixture) {
      add_plain(fixture);
      fixture->workers.front()->SetFault(emulator::WorkerFault::kFails);
    };
  }
  SUBCASE("streams") {
    request = StreamRequest("/once/x", "m1");
    add_workers = [](GatewayFixture* fixture) {
      for (const char* const id : kWorkers) {
        fixture->AddModelWorker(id, "m1");
      }
    };
  }
  SUBCASE("streams of a model that is not loaded yet") {
    request = StreamRequest("/once/x", "m1");
    add_workers = [](GatewayFixture* fixture) {
      for (const char* const id : kWorkers) {
        fixture->AddModelWorker(id, "m2");
      }
    };
  }
  SkewFixture spread;
  add_workers(&spread);
  const int served_by_all = spread.Served(request, kNodes);
  SkewFixture skewed;
  add_workers(&skewed);
  const int served_by_one = skewed.Served(request, 1);
  MESSAGE("served of ", kRequests, ": by all nodes ", served_by_all, ", by one ", served_by_one);
  CHECK(served_by_all * 2 > kRequests);
  CHECK(served_by_one * 4 >= served_by_all * 3);
}

}  // namespace
}  // namespace hingespan::gateway
