#include "emulator/weight_store.h"

#include <doctest/doctest.h>

#include "emulator/checkpoint_cache.h"

namespace hingespan::emulator {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

absl::Time At(double seconds) { return kStart + absl::Seconds(seconds); }

bool IsBetween(absl::Time time, double from, double to) {
  return time >= At(from) && time <= At(to);
}

TEST_CASE("transfers begin at the permitted rate") {
  WeightStore store({2.0, 8});
  for (int i = 0; i < 3; ++i) {
    store.Request(absl::Seconds(100), kStart);
  }
  CHECK(store.active() == 1);
  store.Advance(At(0.49));
  CHECK(store.active() == 1);
  store.Advance(At(1.01));
  CHECK(store.active() == 3);
}

TEST_CASE("above the full-speed number all transfers share the bandwidth") {
  WeightStore store({1e6, 2});
  for (int i = 0; i < 4; ++i) {
    store.Request(absl::Seconds(10), kStart);
  }
  store.Advance(At(0.001));
  CHECK(store.peak_concurrency() == 4);
  store.Advance(At(19));
  CHECK(store.TakeFinished().empty());
  CHECK(IsBetween(store.NextEvent(), 19.99, 20.01));
  store.Advance(At(20.01));
  CHECK(store.TakeFinished().size() == 4);
  CHECK(store.NextEvent() == absl::InfiniteFuture());
}

TEST_CASE("an aborted transfer releases its bandwidth to the others") {
  WeightStore store({1e6, 1});
  const TransferId kept = store.Request(absl::Seconds(10), kStart);
  const TransferId aborted = store.Request(absl::Seconds(10), kStart);
  store.Advance(At(10));
  store.Abort(aborted, At(10));
  store.Advance(At(14.9));
  CHECK(store.TakeFinished().empty());
  store.Advance(At(15.1));
  CHECK(store.TakeFinished() == std::vector<TransferId>{kept});
}

TEST_CASE("a slowdown extends the remaining transfer time") {
  WeightStore store({1.0, 8});
  store.Request(absl::Seconds(10), kStart);
  store.SetSlowdown(10, At(5));
  CHECK(IsBetween(store.NextEvent(), 54.9, 55.1));
  store.SetSlowdown(1, At(30));
  CHECK(IsBetween(store.NextEvent(), 32.4, 32.6));
}

TEST_CASE("a load caches its checkpoint in both tiers, and the least recently used goes first") {
  CheckpointCache cache(100, 200);
  cache.Put("a", 60);
  cache.Put("b", 60);
  CHECK(cache.TierOf("b") == CacheTier::kMemory);
  CHECK(cache.TierOf("a") == CacheTier::kDisk);
  cache.Put("c", 60);
  cache.Put("d", 60);
  CHECK(cache.TierOf("a") == CacheTier::kRemote);
  CHECK(cache.TierOf("d") == CacheTier::kMemory);
  cache.ClearMemory();
  CHECK(cache.TierOf("d") == CacheTier::kDisk);
}

}  // namespace
}  // namespace hingespan::emulator
