#include "hingespan/node/call_lanes.h"

#include <doctest/doctest.h>

#include <vector>

#include "absl/synchronization/notification.h"
#include "hingespan/node/machine_announcer.h"

namespace hingespan {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);

TEST_CASE("a blocked lane delays only itself") {
  CallLanesOptions options;
  options.maximum_threads = 2;
  options.maximum_per_lane = 3;
  CallLanes lanes(options);
  absl::Notification release;
  absl::Notification other_ran;
  std::vector<int> order;
  REQUIRE(lanes.TrySubmit("frozen", [&] { release.WaitForNotificationWithTimeout(kLimit); }));
  REQUIRE(lanes.TrySubmit("frozen", [&] { order.push_back(1); }));
  REQUIRE(lanes.TrySubmit("frozen", [&] { order.push_back(2); }));
  CHECK(!lanes.TrySubmit("frozen", [] {}));
  REQUIRE(lanes.TrySubmit("healthy", [&] { other_ran.Notify(); }));
  CHECK(other_ran.WaitForNotificationWithTimeout(kLimit));
  CHECK(order.empty());
  release.Notify();
  lanes.Shutdown();
  CHECK(order == std::vector<int>{1, 2});
  CHECK(lanes.pending() == 0);
  CHECK(!lanes.TrySubmit("healthy", [] {}));
}

TEST_CASE("all lanes together are bounded") {
  CallLanesOptions options;
  options.maximum_threads = 1;
  options.maximum_calls = 2;
  CallLanes lanes(options);
  absl::Notification release;
  REQUIRE(lanes.TrySubmit("a", [&] { release.WaitForNotificationWithTimeout(kLimit); }));
  REQUIRE(lanes.TrySubmit("b", [] {}));
  CHECK(!lanes.TrySubmit("c", [] {}));
  release.Notify();
}

// Machine list whose first calls fail.
class FailingMachineList : public MachineList {
 public:
  Result<MachineListing> Read(const ZoneId&, absl::Duration) override { return MachineListing(); }
  Result<bool> Announce(const NodeMachine& machine, absl::Duration) override {
    absl::MutexLock lock(&mutex);
    if (failures_left-- > 0) {
      return Error::kUnavailable;
    }
    states.push_back(machine.state);
    return true;
  }
  Result<bool> AnnounceWorker(const WorkerId&, MachineState, absl::Duration) override {
    return true;
  }

  absl::Mutex mutex;
  int failures_left = 3;
  std::vector<MachineState> states;
};

TEST_CASE("an announcement is repeated until it is accepted; the latest one wins") {
  FailingMachineList machines;
  MachineAnnouncerOptions options;
  options.retry_after = absl::Milliseconds(1);
  MachineAnnouncer announcer(options, &machines);
  NodeMachine machine;
  machine.node = NodeId("n1");
  announcer.Set(machine);
  REQUIRE(announcer.WaitAccepted(kLimit));
  machine.state = MachineState::kLeaving;
  announcer.Set(machine);
  REQUIRE(announcer.WaitAccepted(kLimit));
  announcer.Stop();
  CHECK(machines.states == std::vector<MachineState>{MachineState::kLive, MachineState::kLeaving});
}

}  // namespace
}  // namespace hingespan
