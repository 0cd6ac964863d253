#include "hingespan/serving/worker_path.h"

#include <doctest/doctest.h>

namespace hingespan::gateway {
namespace {

using State = WorkerPath::State;

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(seconds); }

TEST_CASE("silence of all workers while attempts are in flight puts the path in doubt") {
  WorkerPath path;
  path.OnAttemptStarted(At(1));
  CHECK(path.NextDue() == At(1.5));
  CHECK_FALSE(path.BeginRound(At(1.4)));
  path.OnBytes(At(1.4));
  CHECK_FALSE(path.BeginRound(At(1.8)));
  CHECK(path.BeginRound(At(1.9)));
  CHECK(path.state() == State::kChecking);
  CHECK_FALSE(path.BeginRound(At(9)));
  path.OnRoundEnded(false, At(2.3));
  CHECK(path.lost());
}

TEST_CASE("an idle node is not in doubt") {
  WorkerPath path;
  path.OnAttemptStarted(At(1));
  path.OnAttemptEnded();
  CHECK_FALSE(path.BeginRound(At(60)));
  CHECK(path.NextDue() == absl::InfiniteFuture());
  path.OnAttemptStarted(At(61));
  CHECK_FALSE(path.BeginRound(At(61.1)));
}

TEST_CASE("one worker that can't be reached is its own fault, two put the path in doubt") {
  WorkerPath path;
  path.OnUnreachable("w1");
  path.OnUnreachable("w1");
  CHECK_FALSE(path.BeginRound(At(1)));
  path.OnUnreachable("w2");
  CHECK(path.BeginRound(At(1)));
  path.OnRoundEnded(true, At(1.1));
  CHECK(path.state() == State::kOpen);
  // An answered round is not repeated at once.
  path.OnUnreachable("w1");
  path.OnUnreachable("w2");
  CHECK_FALSE(path.BeginRound(At(2)));
  CHECK(path.BeginRound(At(2.6)));
}

TEST_CASE("a doubted path is probed once") {
  WorkerPath path;
  path.Doubt();
  CHECK(path.BeginRound(At(1)));
  path.OnRoundEnded(true, At(1.1));
  CHECK_FALSE(path.BeginRound(At(9)));
}

TEST_CASE("a lost path is probed until a probe is answered, whatever open connections bring") {
  WorkerPath path;
  path.OnUnreachable("w1");
  path.OnUnreachable("w2");
  REQUIRE(path.BeginRound(At(1)));
  path.OnRoundEnded(false, At(1.4));
  CHECK(path.NextDue() == At(1.5));
  path.OnBytes(At(1.45));
  CHECK(path.lost());
  CHECK_FALSE(path.BeginRound(At(1.49)));
  REQUIRE(path.BeginRound(At(1.5)));
  path.OnRoundEnded(false, At(1.9));
  CHECK(path.lost());
  REQUIRE(path.BeginRound(At(2)));
  path.OnRoundEnded(true, At(2));
  CHECK(path.state() == State::kOpen);
  CHECK_FALSE(path.BeginRound(At(2.1)));
}

}  // namespace
}  // namespace hingespan::gateway
