// Test harness: a router with its directory, claimant and record store, and a simulated clock.
#ifndef HINGESPAN_TESTS_ROUTING_ROUTER_HARNESS_H_
#define HINGESPAN_TESTS_ROUTING_ROUTER_HARNESS_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hingespan/claim/claim_owner.h"
#include "hingespan/claim/claimant.h"
#include "hingespan/claim/key_time.h"
#include "hingespan/routing/request_router.h"

namespace hingespan {

inline const NodeId kSelf("n1");
inline const NodeId kPlacer("n2");
inline const NodeId kClaimOwner("n3");
inline const ZoneId kLocalZone("z1");
inline const ZoneId kRemoteZone("z2");
inline const ModelName kModel("m1");
inline constexpr NodeIncarnation kIncarnation(1);
inline constexpr absl::Duration kRequestTimeout = absl::Seconds(30);

class RouterHarness {
 public:
  explicit RouterHarness(RouterOptions options = {}) : options(options) {
    ModelRow row;
    row.name = kModel;
    row.max_concurrency = 2;
    row.max_queue = 300;
    PutRow(row);
    PutClaimRange(kClaimOwner);
  }

  void Put(const std::string& key, Record record) {
    const TableRevision after = store.revision();
    store.Apply(after, after.Next(), {{key, after.Next(), std::move(record)}});
  }
  void PutRow(const ModelRow& row) { Put(RowKey(row.name), row); }
  // Grants a slot of kModel in each of `zones`, each on one worker.
  void PutGrant(const std::vector<ZoneId>& zones) {
    GrantRecord grant;
    grant.model = kModel;
    for (const ZoneId& zone : zones) {
      grant.slots.push_back({WorkerId("w1"), WorkerIncarnation(1), zone, GrantGeneration(1)});
    }
    Put(GrantKey(kModel), grant);
  }
  // Makes `owner` the owner of all keys issued within half a day of `wall`; there is one range.
  void PutClaimRange(const NodeId& owner) {
    const auto wall_ms = static_cast<std::uint64_t>(absl::ToUnixMillis(wall));
    constexpr std::uint64_t kHalfDayMs = 12 * 3600 * 1000;
    ClaimRangeRecord record;
    record.segments.push_back({wall_ms - kHalfDayMs, owner, kIncarnation, kLocalZone});
    record.until_ms = wall_ms + kHalfDayMs;
    Put(ClaimKey(record.range), record);
  }

  // Delivers the keeper's report and replica list for a worker. The list holds kModel in `state`,
  // or nothing if `state` is nullopt.
  void PutWorker(const WorkerId& worker, std::optional<ReplicaState> state, bool leaving = false,
                 std::uint64_t incarnation = 1) {
    const ReplicaListVersion version(++versions[worker]);
    WorkerReport report;
    report.worker = worker;
    report.incarnation = WorkerIncarnation(incarnation);
    report.epoch = KeeperEpoch(1);
    report.version = version;
    report.base_url = "http://" + worker.value();
    report.leaving = leaving;
    std::vector<ModelName> changed = directory.Handle(kPlacer, report, now, &outbox);
    ReplicaList list{worker, report.incarnation, report.epoch, version};
    if (state.has_value()) {
      list.replicas.push_back({kModel, GrantGeneration(1), *state, 0});
    }
    for (ModelName& model : directory.Handle(kPlacer, list, now)) {
      changed.push_back(std::move(model));
    }
    router.OnReplicasChanged(changed, now, wall, &outbox);
  }
  void PutReady(const std::string& worker) { PutWorker(WorkerId(worker), ReplicaState::kReady); }

  RouteRequest MakeRequest(const std::string& name) const {
    RouteRequest request;
    request.request = RequestId(name);
    request.model = kModel;
    request.deadline = now + kRequestTimeout;
    return request;
  }
  RouteRequest MakeKeyed(const std::string& name) {
    RouteRequest request = MakeRequest(name);
    request.repeatable = false;
    request.key = MakeKey(wall, &random);
    return request;
  }
  void Submit(const RouteRequest& request) { router.Submit(request, now, wall, &outbox); }
  void Submit(const std::string& name) { Submit(MakeRequest(name)); }
  void Finish(const std::string& name, AttemptOutcome outcome) {
    router.OnFinished(RequestId(name), outcome, now, wall, &outbox);
  }
  void Tick(absl::Duration passed = absl::ZeroDuration()) {
    now += passed;
    wall += passed;
    claimant.Tick(now, wall, &outbox);
    const auto placer_of = [](const ModelName&) { return kPlacer; };
    router.Tick(placer_of, now, wall, &outbox);
  }
  // Answers claim requests that were sent to kClaimOwner.
  void AnswerClaims(ClaimOutcome outcome) {
    for (const ClaimRequest& request : Take<ClaimRequest>()) {
      claimant.HandleReply({request.key, request.attempt, outcome});
    }
    Tick();
  }

  // Removes and returns the messages of type T in the outbox.
  template <typename T>
  std::vector<T> Take() {
    std::vector<T> taken;
    std::vector<OutgoingMessage> left;
    for (OutgoingMessage& message : outbox.messages) {
      if (const T* wanted = std::get_if<T>(&message.message)) {
        taken.push_back(*wanted);
      } else {
        left.push_back(std::move(message));
      }
    }
    outbox.messages = std::move(left);
    return taken;
  }
  // Returns the decisions since the last call; for each request the latest one.
  std::map<std::string, RouteDecision> Decisions() {
    std::map<std::string, RouteDecision> decisions;
    for (RouteDecision& decision : router.TakeDecisions()) {
      decisions.insert_or_assign(decision.request.value(), std::move(decision));
    }
    return decisions;
  }
  // Returns the only decision since the last call; throws unless there is exactly one.
  RouteDecision OnlyDecision() {
    std::vector<RouteDecision> decisions = router.TakeDecisions();
    if (decisions.size() != 1) {
      throw std::logic_error("expected exactly one decision, found " +
                             std::to_string(decisions.size()));
    }
    return decisions.front();
  }

  RouterOptions options;
  absl::Time now = absl::FromUnixSeconds(1000);
  absl::Time wall = absl::FromUnixSeconds(1'800'000'000);
  Random random{7};
  ClaimOptions claim_options = {.range_count = 1};
  RecordStore store;
  ReplicaDirectory directory{DirectoryOptions{}};
  ClaimOwner claim_owner{kSelf, kIncarnation, kLocalZone, claim_options, &store, 1};
  Claimant claimant{kSelf, kIncarnation, claim_options, &store, &claim_owner};
  RequestRouter router{
      kSelf, kLocalZone, {kLocalZone, kRemoteZone}, options, &store, &directory, &claimant, 5};
  Outbox outbox;
  std::map<WorkerId, std::uint64_t> versions;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_ROUTING_ROUTER_HARNESS_H_
