#include "hingespan/serving/table_follower.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

namespace hingespan::gateway {
namespace {

// Store that holds each call until the test answers it.
class ManualStore : public SharedStore {
 public:
  struct PendingCall {
    bool watch = false;
    std::uint64_t after = 0;
    absl::Duration wait;
    RowsCallback callback;
  };
  void Read(const std::string&, RowsCallback callback) override {
    pending.push_back({false, 0, absl::ZeroDuration(), std::move(callback)});
  }
  void Watch(const std::string&, std::uint64_t after, absl::Duration wait,
             RowsCallback callback) override {
    pending.push_back({true, after, wait, std::move(callback)});
  }
  void Commit(std::vector<RowCondition>, std::vector<RowWrite>, CommitCallback) override {}

  void Answer(Result<StoreRows> result) {
    const RowsCallback callback = std::move(pending.back().callback);
    pending.pop_back();
    callback(std::move(result));
  }
  std::vector<PendingCall> pending;
};

struct Fixture {
  EventLoop loop;
  ManualStore store;
  int snapshots = 0;
  int changes = 0;
  TableFollowerSettings settings{"t"};
  TableFollower follower{&loop,
                         &store,
                         settings,
                         1,
                         {[this](const StoreRows&) { ++snapshots; },
                          [this](const StoreRows&) { ++changes; }, nullptr}};

  bool WaitForCall() {
    return loop.RunUntil([this] { return !store.pending.empty(); }, absl::Seconds(10));
  }
};

StoreRows RowsAt(std::uint64_t version) { return {{{"t", "k", "v", version, false}}, version}; }

TEST_CASE("a snapshot, then changes after its version") {
  Fixture fixture;
  fixture.follower.Start();
  REQUIRE(fixture.WaitForCall());
  CHECK(!fixture.store.pending.back().watch);
  fixture.store.Answer(RowsAt(5));
  REQUIRE(fixture.WaitForCall());
  CHECK(fixture.store.pending.back().watch);
  CHECK(fixture.store.pending.back().after == 5);
  fixture.store.Answer(RowsAt(6));
  REQUIRE(fixture.WaitForCall());
  CHECK(fixture.store.pending.back().after == 6);
  CHECK(fixture.snapshots == 1);
  CHECK(fixture.changes == 1);
}

TEST_CASE(
    "while the store does not answer, watch calls return at once, so that its recovery is "
    "noticed") {
  Fixture fixture;
  fixture.follower.Start();
  REQUIRE(fixture.WaitForCall());
  fixture.store.Answer(RowsAt(5));
  REQUIRE(fixture.WaitForCall());
  CHECK(fixture.store.pending.back().wait == fixture.settings.wait);
  fixture.store.Answer(Error::kTimeout);
  REQUIRE(fixture.WaitForCall());
  CHECK(fixture.store.pending.back().after == 5);
  CHECK(fixture.store.pending.back().wait == absl::ZeroDuration());
  fixture.store.Answer(StoreRows{{}, 5});
  REQUIRE(fixture.WaitForCall());
  CHECK(fixture.store.pending.back().wait == fixture.settings.wait);
}

TEST_CASE("a lost history leads to a new snapshot, and an older snapshot is rejected") {
  Fixture fixture;
  fixture.follower.Start();
  REQUIRE(fixture.WaitForCall());
  fixture.store.Answer(RowsAt(5));
  REQUIRE(fixture.WaitForCall());
  fixture.store.Answer(Error::kNotFound);
  REQUIRE(fixture.WaitForCall());
  CHECK(!fixture.store.pending.back().watch);
  fixture.store.Answer(RowsAt(4));
  CHECK(fixture.snapshots == 1);
  REQUIRE(fixture.WaitForCall());
  fixture.store.Answer(RowsAt(9));
  CHECK(fixture.snapshots == 2);
}

}  // namespace
}  // namespace hingespan::gateway
