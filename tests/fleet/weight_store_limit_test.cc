#include "hingespan/fleet/weight_store_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

namespace hingespan::gateway {
namespace {

constexpr double kStep = 0.05;

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

// Simulated weight store that serves `capacity` loads at full speed and divides its throughput
// among more.
class StoreFixture {
 public:
  StoreFixture(double capacity, double load_seconds, const WeightStoreLimitSettings& settings = {})
      : limit(settings), capacity_(capacity), load_seconds_(load_seconds) {}

  // Advances the simulation to `until` and starts the loads that the limit allows, one per worker
  // on up to `workers` workers.
  void Run(double until, int workers) {
    for (; now < until; now += kStep) {
      while (static_cast<int>(remaining_seconds_.size()) < workers &&
             limit.MayBegin(0, 1, At(now))) {
        const std::string worker = "w" + std::to_string(++number_);
        limit.LoadBegan(worker, absl::Seconds(load_seconds_), true, At(now));
        remaining_seconds_[worker] = load_seconds_;
      }
      most = std::max(most, static_cast<int>(remaining_seconds_.size()));
      const double speed =
          std::min(1.0, capacity_ / std::max<double>(1, remaining_seconds_.size()));
      for (auto entry = remaining_seconds_.begin(); entry != remaining_seconds_.end();) {
        entry->second -= kStep * speed;
        if (entry->second > 0) {
          limit.LoadSeenRunning(entry->first, At(now));
          ++entry;
          continue;
        }
        limit.LoadEnded(entry->first, At(now + kStep));
        entry = remaining_seconds_.erase(entry);
        ++ended;
      }
    }
  }

  void SetCapacity(double capacity) { capacity_ = capacity; }

  WeightStoreLimit limit;
  double now = 0;
  int most = 0;
  int ended = 0;

 private:
  double capacity_;
  double load_seconds_;
  int number_ = 0;
  std::map<std::string, double> remaining_seconds_;
};

TEST_CASE("the limit converges to the capacity of the store") {
  for (const int capacity : {2, 4, 9, 25}) {
    CAPTURE(capacity);
    StoreFixture fixture(capacity, 6);
    fixture.Run(60, 40);
    CHECK(fixture.limit.estimate().limit > capacity - 0.8);
    CHECK(fixture.limit.estimate().limit < capacity + 1.8);
    CHECK(fixture.limit.estimate().settled);
  }
}

TEST_CASE("the limit does not oscillate once it is found") {
  StoreFixture fixture(4, 6);
  fixture.Run(60, 40);
  double least = 100;
  double most = 0;
  for (int second = 61; second < 200; ++second) {
    fixture.Run(second, 40);
    least = std::min(least, fixture.limit.estimate().limit);
    most = std::max(most, fixture.limit.estimate().limit);
  }
  CHECK(least > 3.2);
  CHECK(most < 5.8);
}

TEST_CASE("a slower store is detected before its loads have ended") {
  StoreFixture fixture(12, 4);
  fixture.Run(40, 40);
  REQUIRE(fixture.limit.estimate().limit > 10);
  fixture.SetCapacity(2);
  fixture.Run(50, 40);
  CHECK(fixture.limit.estimate().limit < 8);
  fixture.Run(100, 40);
  CHECK(fixture.limit.estimate().limit < 4);
}

TEST_CASE("a faster store is detected by trying one more load now and then") {
  StoreFixture fixture(2, 4);
  fixture.Run(40, 40);
  REQUIRE(fixture.limit.estimate().limit < 4);
  fixture.SetCapacity(8);
  fixture.Run(200, 40);
  CHECK(fixture.limit.estimate().limit > 6);
}

TEST_CASE("the limit does not grow without demand beyond it") {
  StoreFixture fixture(9, 4);
  fixture.Run(60, 2);
  CHECK(fixture.limit.estimate().limit == doctest::Approx(3));
}

TEST_CASE("one load that is slow because of its worker does not lower the limit") {
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

TEST_CASE("a load with unknown start time gives no sample, but counts as running") {
  WeightStoreLimit limit{WeightStoreLimitSettings{}};
  limit.LoadBegan("w1", absl::Seconds(4), false, At(0));
  CHECK(limit.running() == 1);
  limit.LoadSeenRunning("w1", At(20));
  limit.LoadEnded("w1", At(20));
  CHECK(!limit.estimate().settled);
}

TEST_CASE("loads of a former holder count, and its estimate is inherited") {
  WeightStoreLimit limit{WeightStoreLimitSettings{}};
  limit.Begin({5.4, true});
  limit.SetOtherLoads(4, At(0));
  CHECK(limit.MayBegin(0, 1, At(0)));
  CHECK(!limit.MayBegin(1, 1, At(0)));
  // An empty estimate leaves the limit as it is.
  limit.Begin({});
  CHECK(limit.estimate().limit == doctest::Approx(5.4));
}

TEST_CASE("a disabled limit allows any number of loads") {
  WeightStoreLimitSettings settings;
  settings.enabled = false;
  StoreFixture fixture(4, 6, settings);
  fixture.Run(1, 40);
  CHECK(fixture.most == 40);
}

}  // namespace
}  // namespace hingespan::gateway
