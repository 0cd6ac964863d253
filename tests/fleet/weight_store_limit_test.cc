#include "hingespan/fleet/weight_store_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

namespace hingespan::gateway {
namespace {

constexpr double kStep = 0.05;

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

// A weight store that gives full speed to some number of loads and divides it among more.
class StoreWorld {
 public:
  StoreWorld(double bears, double load_seconds, const WeightStoreLimitSettings& settings = {})
      : limit(settings), bears_(bears), load_seconds_(load_seconds) {}

  // Begins what the limit allows, on so many workers, and moves on.
  void Run(double until, int workers) {
    for (; now < until; now += kStep) {
      while (static_cast<int>(left_.size()) < workers && limit.MayBegin(0, 1, At(now))) {
        const std::string worker = "w" + std::to_string(++number_);
        limit.LoadBegan(worker, absl::Seconds(load_seconds_), true, At(now));
        left_[worker] = load_seconds_;
      }
      most = std::max(most, static_cast<int>(left_.size()));
      const double speed = std::min(1.0, bears_ / std::max<double>(1, left_.size()));
      for (auto entry = left_.begin(); entry != left_.end();) {
        entry->second -= kStep * speed;
        if (entry->second > 0) {
          limit.LoadSeenRunning(entry->first, At(now));
          ++entry;
          continue;
        }
        limit.LoadEnded(entry->first, At(now + kStep));
        entry = left_.erase(entry);
        ++ended;
      }
    }
  }

  void SetBears(double bears) { bears_ = bears; }

  WeightStoreLimit limit;
  double now = 0;
  int most = 0;
  int ended = 0;

 private:
  double bears_;
  double load_seconds_;
  int number_ = 0;
  std::map<std::string, double> left_;
};

TEST_CASE("loads at once come to what the store bears, whatever that is") {
  for (const int bears : {2, 4, 9, 25}) {
    CAPTURE(bears);
    StoreWorld world(bears, 6);
    world.Run(60, 40);
    CHECK(world.limit.estimate().limit > bears - 0.8);
    CHECK(world.limit.estimate().limit < bears + 1.8);
    CHECK(world.limit.estimate().settled);
  }
}

TEST_CASE("the limit does not swing once it is found") {
  StoreWorld world(4, 6);
  world.Run(60, 40);
  double least = 100;
  double most = 0;
  for (int second = 61; second < 200; ++second) {
    world.Run(second, 40);
    least = std::min(least, world.limit.estimate().limit);
    most = std::max(most, world.limit.estimate().limit);
  }
  CHECK(least > 3.2);
  CHECK(most < 5.8);
}

TEST_CASE("a store that becomes slower is found before its loads have ended") {
  StoreWorld world(12, 4);
  world.Run(40, 40);
  REQUIRE(world.limit.estimate().limit > 10);
  world.SetBears(2);
  world.Run(50, 40);
  CHECK(world.limit.estimate().limit < 8);
  world.Run(100, 40);
  CHECK(world.limit.estimate().limit < 4);
}

TEST_CASE("a store that becomes faster is found by trying one more now and then") {
  StoreWorld world(2, 4);
  world.Run(40, 40);
  REQUIRE(world.limit.estimate().limit < 4);
  world.SetBears(8);
  world.Run(200, 40);
  CHECK(world.limit.estimate().limit > 6);
}

TEST_CASE("without demand beyond the limit nothing is learned upwards") {
  StoreWorld world(9, 4);
  world.Run(60, 2);
  CHECK(world.limit.estimate().limit == doctest::Approx(3));
}

TEST_CASE("one load that its worker drags out does not lower the limit") {
  WeightStoreLimit limit{WeightStoreLimitSettings{}};
  for (const char* const worker : {"w1", "w2", "w3"}) {
    limit.LoadBegan(worker, absl::Seconds(4), true, At(0));
  }
  limit.LoadEnded("w1", At(4));
  limit.LoadEnded("w2", At(4));
  limit.LoadSeenRunning("w3", At(9));
  limit.MayBegin(0, 1, At(9));
  CHECK(limit.estimate().limit >= 3);
}

TEST_CASE("a load whose beginning is not known gives no sample, but counts beside others") {
  WeightStoreLimit limit{WeightStoreLimitSettings{}};
  limit.LoadBegan("w1", absl::Seconds(4), false, At(0));
  CHECK(limit.running() == 1);
  limit.LoadSeenRunning("w1", At(20));
  limit.LoadEnded("w1", At(20));
  CHECK(!limit.estimate().settled);
}

TEST_CASE("loads of a former holder count, and its estimate is gone on from") {
  WeightStoreLimit limit{WeightStoreLimitSettings{}};
  limit.Begin({5.4, true});
  limit.SetOtherLoads(4, At(0));
  CHECK(limit.MayBegin(0, 1, At(0)));
  CHECK(!limit.MayBegin(1, 1, At(0)));
  // Nothing is inherited from a row that says nothing.
  limit.Begin({});
  CHECK(limit.estimate().limit == doctest::Approx(5.4));
}

TEST_CASE("switched off, it allows any number") {
  WeightStoreLimitSettings settings;
  settings.enabled = false;
  StoreWorld world(4, 6, settings);
  world.Run(1, 40);
  CHECK(world.most == 40);
}

}  // namespace
}  // namespace hingespan::gateway
