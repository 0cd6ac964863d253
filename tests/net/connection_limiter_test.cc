#include "hingespan/net/connection_limiter.h"

#include <doctest/doctest.h>

#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"

namespace hingespan {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);

TEST_CASE("connections are served, then refused, then closed immediately") {
  ConnectionLimiter limiter(2, 1);
  absl::Mutex mutex;
  std::vector<ConnectionAdmission> admissions;
  absl::Notification release;
  const auto hold = [&] {
    const ConnectionAdmission admission = ConnectionLimiter::CurrentAdmission();
    {
      absl::MutexLock lock(&mutex);
      admissions.push_back(admission);
    }
    if (admission != ConnectionAdmission::kClose) {
      release.WaitForNotificationWithTimeout(kLimit);
    }
  };
  for (int count = 0; count < 5; ++count) {
    limiter.enqueue(hold);
  }
  release.Notify();
  limiter.shutdown();
  int served = 0;
  int refused = 0;
  int closed = 0;
  for (const ConnectionAdmission admission : admissions) {
    served += admission == ConnectionAdmission::kServe ? 1 : 0;
    refused += admission == ConnectionAdmission::kRefuse ? 1 : 0;
    closed += admission == ConnectionAdmission::kClose ? 1 : 0;
  }
  CHECK(served == 2);
  CHECK(refused == 1);
  CHECK(closed == 2);
}

TEST_CASE("a connection is served again after another one has ended") {
  ConnectionLimiter limiter(1, 1);
  absl::Notification ended;
  limiter.enqueue([&] { ended.Notify(); });
  REQUIRE(ended.WaitForNotificationWithTimeout(kLimit));
  ConnectionAdmission admission = ConnectionAdmission::kClose;
  // The slot is released slightly after the task has ended; until then connections are refused.
  while (admission != ConnectionAdmission::kServe) {
    absl::Notification seen;
    limiter.enqueue([&] {
      admission = ConnectionLimiter::CurrentAdmission();
      seen.Notify();
    });
    REQUIRE(seen.WaitForNotificationWithTimeout(kLimit));
  }
  limiter.shutdown();
}

}  // namespace
}  // namespace hingespan
