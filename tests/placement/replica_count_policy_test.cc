// Tests when waiting requests need one more replica.
#include "hingespan/placement/replica_count_policy.h"

#include <doctest/doctest.h>

namespace hingespan {
namespace {

constexpr absl::Duration kNow = absl::ZeroDuration();

ReplicaDemand Demand(std::uint32_t waiting, absl::Duration left, absl::Duration service) {
  ReplicaDemand demand;
  demand.waiting = {{waiting, left, left}};
  demand.slots = 4;
  demand.service = service;
  demand.load = absl::Seconds(2);
  return demand;
}

bool NeedsAnother(const ReplicaDemand& demand) {
  return ReplicaCountPolicy(ReplicaCountOptions()).NeedsAnother(demand);
}

}  // namespace

TEST_CASE("a full replica serves no more requests in time than its places allow") {
  // Four places of 4 s each serve one request per second. 8 of the remaining 10 s may be spent
  // waiting.
  ReplicaDemand demand = Demand(8, absl::Seconds(10), absl::Seconds(4));
  demand.replicas = {{kNow, true}};
  CHECK_FALSE(NeedsAnother(demand));
  demand.waiting[0].count = 9;
  CHECK(NeedsAnother(demand));
  demand.replicas.push_back({kNow, true});
  CHECK_FALSE(NeedsAnother(demand));
  // The same requests spread over two routers.
  demand = Demand(5, absl::Seconds(10), absl::Seconds(4));
  demand.replicas = {{kNow, true}};
  demand.waiting.push_back({4, absl::Seconds(10), absl::Seconds(10)});
  CHECK(NeedsAnother(demand));
}

TEST_CASE("an expected replica has all its places free, but not before it is ready") {
  ReplicaDemand demand = Demand(4, absl::Seconds(10), absl::Minutes(10));
  demand.replicas = {{absl::Seconds(7), false}};
  CHECK_FALSE(NeedsAnother(demand));
  demand.waiting[0].count = 5;
  CHECK(NeedsAnother(demand));
  demand.waiting[0].count = 1;
  demand.replicas = {{absl::Seconds(9), false}};
  CHECK(NeedsAnother(demand));
}

TEST_CASE("no replica is needed that would be ready too late") {
  ReplicaDemand demand = Demand(3, absl::Seconds(2), absl::Minutes(10));
  demand.replicas = {{kNow, true}};
  CHECK(NeedsAnother(demand));
  demand.load = absl::Milliseconds(2001);
  CHECK_FALSE(NeedsAnother(demand));
  // The request that is due first can't be served in time; the others can.
  demand.waiting[0].latest_left = absl::Seconds(20);
  CHECK(NeedsAnother(demand));
}

TEST_CASE("requests that can't be served in time take no place from the others") {
  ReplicaDemand demand = Demand(4, absl::ZeroDuration(), absl::Minutes(10));
  demand.waiting.push_back({4, absl::Seconds(20), absl::Seconds(20)});
  demand.replicas = {{absl::Seconds(1), false}};
  CHECK_FALSE(NeedsAnother(demand));
  demand.waiting[1].count = 5;
  CHECK(NeedsAnother(demand));
}

TEST_CASE("the configured service time is used until a request has been observed") {
  ReplicaDemand demand = Demand(4, absl::Seconds(5), kNow);
  demand.replicas = {{kNow, true}};
  ReplicaCountOptions options;
  options.first_service = absl::Seconds(4);
  CHECK_FALSE(ReplicaCountPolicy(options).NeedsAnother(demand));
  options.first_service = absl::Minutes(1);
  CHECK(ReplicaCountPolicy(options).NeedsAnother(demand));
  // No request waits.
  demand.waiting.clear();
  CHECK_FALSE(ReplicaCountPolicy(options).NeedsAnother(demand));
}

}  // namespace hingespan
