// Tests of what counts as a sign that a recipient has read an attempt.
#include "hingespan/serving/unread_attempts.h"

#include <doctest/doctest.h>

namespace hingespan::gateway {
namespace {

constexpr const char* kService = "s";
const absl::Duration kWindow = absl::Seconds(10);

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

TEST_CASE("an attempt is overdue until its answer begins") {
  UnreadAttempts unread(kWindow);
  const UnreadAttempts::Key key = unread.Add(kService, "w1", At(0));
  CHECK(unread.CountOverdue(kService, At(0.9)) == 0);
  CHECK(unread.CountOverdue(kService, At(1.1)) == 1);
  CHECK(unread.CountOverdue("another", At(1.1)) == 0);
  unread.OnRead(key, At(2));
  CHECK(unread.CountOverdue(kService, At(2)) == 0);
}

// Guards against taking what a worker wrote before it was paused for a sign that it goes on.
TEST_CASE("bytes that the recipient may have written before an attempt arrived are no sign") {
  UnreadAttempts unread(kWindow);
  unread.Add(kService, "w1", At(0));
  CHECK(unread.OnHeard("w1", At(0.1)).attempts == 0);
  CHECK(unread.CountOverdue(kService, At(2)) == 1);
}

TEST_CASE("any later byte of the recipient shows that it has read what was sent before") {
  UnreadAttempts unread(kWindow);
  unread.Add(kService, "w1", At(0));
  unread.Add(kService, "w1", At(3));
  unread.Add(kService, "w1", At(5.9));
  unread.Add(kService, "w2", At(0));
  const UnreadAttempts::OverdueReading reading = unread.OnHeard("w1", At(6));
  CHECK(reading.attempts == 2);
  CHECK(reading.longest == absl::Seconds(6));
  CHECK(unread.CountOverdue(kService, At(8)) == 2);
}

TEST_CASE("an attempt that was not sent is never read") {
  UnreadAttempts unread(kWindow);
  unread.OnNotSent(unread.Add(kService, "w1", At(0)));
  CHECK(unread.CountOverdue(kService, At(2)) == 0);
  CHECK(unread.OnHeard("w1", At(3)).attempts == 0);
}

TEST_CASE("a recipient that stays silent for long has ended") {
  UnreadAttempts unread(kWindow);
  unread.CountAsRetry(unread.Add(kService, "w1", At(0)));
  // Its last reading may have been at 30 s.
  CHECK(unread.Charge(kService, At(0), At(1000)) == doctest::Approx(3.9));
  unread.Add(kService, "w2", At(51));
  CHECK(unread.CountOverdue(kService, At(51)) == 0);
  CHECK(unread.Charge(kService, At(0), At(1000)) == 0);
}

TEST_CASE("an unread retry is charged once a window, until a window after its reading") {
  UnreadAttempts unread(kWindow);
  unread.CountAsRetry(unread.Add(kService, "w1", At(0)));
  CHECK(unread.Charge(kService, At(0), At(1)) == 0);
  CHECK(unread.Charge(kService, At(1), At(11)) == doctest::Approx(1));
  CHECK(unread.Charge("another", At(1), At(11)) == 0);
  unread.OnHeard("w1", At(12));
  CHECK(unread.Charge(kService, At(11), At(12)) == doctest::Approx(0.1));
  CHECK(unread.Charge(kService, At(12), At(30)) == doctest::Approx(1));
}

TEST_CASE("attempts that are read soon, or that are the only one of their request, cost nothing") {
  UnreadAttempts unread(kWindow);
  unread.CountAsRetry(unread.Add(kService, "w1", At(0)));
  unread.OnHeard("w1", At(0.9));
  unread.Add(kService, "w2", At(0));
  CHECK(unread.Charge(kService, At(0), At(30)) == 0);
}

}  // namespace
}  // namespace hingespan::gateway
