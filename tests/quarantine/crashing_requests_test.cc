// Tests of the count of workers that have ended under each request, in virtual time.
#include "hingespan/serving/crashing_requests.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

constexpr RequestContent kRequest = 7;
constexpr RequestContent kOther = 8;

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

void RecordEnds(CrashingRequests* requests, int count) {
  for (int number = 0; number < count; ++number) {
    requests->RecordEnd(kRequest, absl::StrCat("w", number), At(0));
  }
}

TEST_CASE("a request is refused once three workers have ended under it") {
  CrashingRequests requests;
  RecordEnds(&requests, 2);
  requests.RecordEnd(kRequest, "w1", At(0.1));
  CHECK(requests.RefusedFor(kRequest, At(0.1)) == absl::ZeroDuration());
  requests.RecordEnd(kRequest, "w2", At(0.2));
  CHECK(requests.RefusedFor(kRequest, At(0.2)) == absl::Seconds(60));
  CHECK(requests.RefusedFor(kOther, At(0.2)) == absl::ZeroDuration());
  CHECK(requests.RefusedFor(kRequest, At(60.3)) == absl::ZeroDuration());
}

TEST_CASE("a worker that has not ended after all doesn't count") {
  CrashingRequests requests;
  RecordEnds(&requests, 3);
  requests.RetractEnds("w1");
  CHECK(requests.RefusedFor(kRequest, At(0)) == absl::ZeroDuration());
  CHECK(requests.EndsUnder(kRequest) == 2);
}

// Guards against refusing callers whose requests look the same, as workers end for another reason.
TEST_CASE("ends under requests of which one was served don't count, before and after") {
  CrashingRequests requests;
  RecordEnds(&requests, 3);
  requests.RecordServed(kRequest, At(1));
  CHECK(requests.RefusedFor(kRequest, At(1)) == absl::ZeroDuration());
  CHECK(requests.WasServed(kRequest, At(1)));
  RecordEnds(&requests, 3);
  CHECK(requests.RefusedFor(kRequest, At(2)) == absl::ZeroDuration());
  CHECK_FALSE(requests.WasServed(kRequest, At(62)));
}

TEST_CASE("requests are found by the worker that ended, and workers by the request") {
  CrashingRequests requests;
  requests.RecordEnd(kRequest, "w1", At(0));
  requests.RecordEnd(kOther, "w1", At(0));
  requests.RecordEnd(kOther, "w2", At(0));
  CHECK(requests.EndedBy("w1") == std::set<RequestContent>{kRequest, kOther});
  CHECK(requests.WorkersEndedUnder(kOther) == std::set<std::string>{"w1", "w2"});
}

TEST_CASE("the requests with the earliest ends are forgotten first") {
  CrashingRequestSettings settings;
  settings.max_requests = 2;
  CrashingRequests requests(settings);
  requests.RecordEnd(1, "w1", At(0));
  requests.RecordEnd(2, "w1", At(1));
  requests.RecordEnd(3, "w1", At(2));
  CHECK(requests.EndsUnder(1) == 0);
  CHECK(requests.EndsUnder(2) == 1);
  CHECK(requests.EndsUnder(3) == 1);
}

}  // namespace
}  // namespace hingespan::gateway
