// Tests of what counts as a sign that a recipient has read an attempt.
#include "hingespan/serving/unread_attempts.h"

#include <doctest/doctest.h>

namespace hingespan::gateway {
namespace {

constexpr const char* kService = "s";

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

TEST_CASE("an attempt is overdue until its answer begins") {
  UnreadAttempts unread;
  const UnreadAttempts::Key key = unread.Add(kService, "w1", At(0));
  CHECK(unread.CountOverdue(kService, At(0.9)) == 0);
  CHECK(unread.CountOverdue(kService, At(1.1)) == 1);
  CHECK(unread.CountOverdue("another", At(1.1)) == 0);
  unread.OnRead(key, At(2));
  CHECK(unread.CountOverdue(kService, At(2)) == 0);
}

// Guards against taking what a worker wrote before it was paused for a sign that it goes on.
TEST_CASE("bytes that the recipient may have written before an attempt arrived are no sign") {
  UnreadAttempts unread;
  unread.Add(kService, "w1", At(0));
  CHECK(unread.OnHeard("w1", At(0.1)).attempts == 0);
  CHECK(unread.CountOverdue(kService, At(2)) == 1);
}

TEST_CASE("any later byte of the recipient shows that it has read what was sent before") {
  UnreadAttempts unread;
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
  UnreadAttempts unread;
  unread.OnNotSent(unread.Add(kService, "w1", At(0)));
  CHECK(unread.CountOverdue(kService, At(2)) == 0);
  CHECK(unread.OnHeard("w1", At(3)).attempts == 0);
}

TEST_CASE("a recipient that stays silent for long has ended") {
  UnreadAttempts unread;
  unread.Add(kService, "w1", At(0));
  unread.Add(kService, "w2", At(31));
  CHECK(unread.CountOverdue(kService, At(31)) == 0);
}

}  // namespace
}  // namespace hingespan::gateway
