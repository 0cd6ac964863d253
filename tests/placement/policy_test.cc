// Tests of the pure parts of placement: memory ledger, load estimator, keep-warm policy and
// permits.
#include <doctest/doctest.h>

#include <vector>

#include "hingespan/placement/keep_warm_policy.h"
#include "hingespan/placement/load_estimator.h"
#include "hingespan/placement/memory_ledger.h"
#include "hingespan/placement/permit_holder.h"

namespace hingespan {
namespace {

const absl::Time kStart = absl::UnixEpoch();

IdleReplica Idle(std::uint32_t memory_mib, double idle_seconds, double reload_seconds) {
  IdleReplica idle;
  idle.memory_mib = memory_mib;
  idle.idle = absl::Seconds(idle_seconds);
  idle.reload_time = absl::Seconds(reload_seconds);
  return idle;
}

PermitRequest MakeRequest(const std::string& model, std::uint32_t deadline_ms,
                          bool release = false) {
  return {WorkerId("w"), ModelName(model), 1, 1, deadline_ms, release};
}

Envelope From(const NodeId& node) {
  Envelope envelope;
  envelope.from = node;
  return envelope;
}

// The holder of the only zone, which has just gained the use of its slots.
struct SingleZoneHolder {
  explicit SingleZoneHolder(PermitOptions options)
      : holder(NodeId("h"), NodeIncarnation(1), ZoneId("z"), {ZoneId("z")}, options) {
    const absl::Time ready = kStart - absl::Seconds(1);
    for (absl::Time now = ready - options.lease - SettleTime(options); now <= kStart;
         now += absl::Seconds(1)) {
      Tick(now);
    }
    // Uses the token that had accumulated.
    holder.Handle(From(NodeId("n")), MakeRequest("saved", 0), kStart, &outbox);
    holder.Handle(From(NodeId("n")), MakeRequest("saved", 0, true), kStart, &outbox);
    outbox.messages.clear();
  }
  void Tick(absl::Time now) { holder.Tick({true, peers, zones}, now, &outbox); }
  void Handle(const PermitRequest& request, absl::Time now) {
    holder.Handle(From(NodeId("n")), request, now, &outbox);
  }

  std::vector<NodeId> peers;
  ZoneNodes zones;
  PermitHolder holder;
  Outbox outbox;
};

std::vector<std::string> Granted(const Outbox& outbox) {
  std::vector<std::string> models;
  for (const OutgoingMessage& outgoing : outbox.messages) {
    const auto& reply = std::get<PermitReply>(outgoing.message);
    if (reply.granted) {
      models.push_back(reply.model.value());
    }
  }
  return models;
}

}  // namespace

TEST_CASE("the ledger never charges more than the capacity") {
  EngineStatus inventory;
  inventory.memory_mib = 100;
  inventory.replicas = {{ModelName("a"), GrantGeneration(1), ReplicaState::kDraining, 60}};
  MemoryLedger ledger;
  ledger.Reset(inventory);
  CHECK(!ledger.Reserve(ModelName("b"), 41));
  CHECK(ledger.Reserve(ModelName("b"), 40));
  CHECK(ledger.Reserve(ModelName("b"), 40));
  CHECK(!ledger.Reserve(ModelName("b"), 41));
  CHECK(ledger.free_mib() == 0);
  ledger.Release(ModelName("a"));
  ledger.Release(ModelName("a"));
  CHECK(ledger.charged_mib() == 40);
}

TEST_CASE("load times are estimated by tier from observed loads") {
  LoadEstimator estimator{LoadEstimatorOptions()};
  const absl::Duration disk = estimator.Estimate(CacheTier::kDisk, 2048);
  CHECK(disk == absl::Milliseconds(700));
  for (int load = 0; load < 50; ++load) {
    estimator.Observe(CacheTier::kRemote, 1024, absl::Milliseconds(10100));
  }
  CHECK(estimator.Estimate(CacheTier::kRemote, 1024) > absl::Seconds(9));
  CHECK(estimator.Estimate(CacheTier::kDisk, 2048) == disk);
}

TEST_CASE("idle limits weigh reload cost against idle memory, within bounds") {
  KeepWarmOptions options;
  options.cold_start_cost_per_second = 10;
  IdleReplica replica = Idle(2048, 0, 4);
  CHECK(IdleLimit(replica, options) == absl::Seconds(20));
  replica.recent_gaps = {15, 15, 15, 15};
  CHECK(IdleLimit(replica, options) > absl::Seconds(15));
  CHECK(IdleLimit(replica, options) < absl::Seconds(18));
  replica.recent_gaps = {500, 600, 700};
  CHECK(IdleLimit(replica, options) == options.shortest_idle);
  replica.row_idle = absl::Seconds(7);
  CHECK(IdleLimit(replica, options) == absl::Seconds(7));
  replica.pinned = true;
  CHECK(IdleLimit(replica, options) == absl::InfiniteDuration());
}

TEST_CASE("evictions free enough, cheapest first, or nothing at all") {
  KeepWarmOptions options;
  std::vector<IdleReplica> idle = {Idle(50, 1, 5), Idle(50, 100, 5), Idle(50, 10, 5)};
  CHECK(ChooseEvictions(idle, 50, options) == std::vector<std::size_t>{1});
  CHECK(ChooseEvictions(idle, 60, options) == std::vector<std::size_t>{1, 2});
  CHECK(ChooseEvictions(idle, 151, options).empty());
  idle[1].pinned = true;
  CHECK(ChooseEvictions(idle, 101, options).empty());
  CHECK(ChooseEvictions(idle, 50, options) == std::vector<std::size_t>{2});
}

TEST_CASE(
    "permits respect rate and concurrency, go to the earliest deadline, and expire when lost") {
  PermitOptions options;
  options.rate_per_second = 2;
  options.concurrency = 2;
  SingleZoneHolder rig(options);
  rig.Handle(MakeRequest("late", 9000), kStart);
  rig.Handle(MakeRequest("soon", 1000), kStart);
  rig.Handle(MakeRequest("next", 2000), kStart);
  CHECK(Granted(rig.outbox).empty());
  rig.Tick(kStart + absl::Milliseconds(500));
  CHECK(Granted(rig.outbox) == std::vector<std::string>{"soon"});
  rig.Tick(kStart + absl::Seconds(2));
  CHECK(Granted(rig.outbox) == std::vector<std::string>{"soon", "next"});
  // A repeated request gets the same permit; a third one must wait for a return.
  rig.Handle(MakeRequest("soon", 1000), kStart + absl::Seconds(2));
  rig.Handle(MakeRequest("late", 9000), kStart + absl::Seconds(2));
  CHECK(rig.holder.granted_count() == 2);
  rig.Handle(MakeRequest("soon", 0, true), kStart + absl::Seconds(3));
  CHECK(Granted(rig.outbox).back() == "late");
  // Permits and requests of keepers that failed time out.
  rig.Tick(kStart + absl::Seconds(3) + options.permit_timeout);
  CHECK(rig.holder.granted_count() == 0);
  CHECK(rig.holder.waiting_count() == 0);
}

TEST_CASE("a late return of an earlier permit does not end the current one") {
  SingleZoneHolder rig{PermitOptions()};
  PermitRequest request = MakeRequest("m", 1000);
  request.number = 2;
  const absl::Time later = kStart + absl::Seconds(2);
  rig.Tick(later);
  rig.Handle(request, later);
  CHECK(rig.holder.granted_count() == 1);
  rig.Handle(MakeRequest("m", 0, true), later);
  CHECK(rig.holder.granted_count() == 1);
  request.release = true;
  rig.Handle(request, later);
  CHECK(rig.holder.granted_count() == 0);
}

}  // namespace hingespan
