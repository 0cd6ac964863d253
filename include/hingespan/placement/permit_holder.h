// Grants a zone's keepers permits for the weight store's rate and concurrency, earliest deadline
// first.
//
// The deployment's concurrency is split into slots. Each zone has a share of them (PermitElection
// decides which node may use it) and lends idle ones to zones whose loads wait (PermitLending).
// Each slot carries its share of the rate. Concurrent permitted loads never exceed the budget if
// every load ends within `permit_timeout` of its permit. Loads started within w seconds never
// exceed rate * w by more than one for each zone.
#ifndef HINGESPAN_PLACEMENT_PERMIT_HOLDER_H_
#define HINGESPAN_PLACEMENT_PERMIT_HOLDER_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/placement/permit_election.h"
#include "hingespan/placement/permit_lending.h"
#include "hingespan/placement/permit_options.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct PermitCounters {
  std::uint64_t granted = 0;
  // Permits that timed out because their keeper never returned them.
  std::uint64_t timed_out = 0;
};

// Not thread-safe. Every node has an instance that votes; the node that the zone's member list
// names as holder also grants permits.
class PermitHolder {
 public:
  PermitHolder(NodeId self, NodeIncarnation incarnation, ZoneId zone, std::vector<ZoneId> zones,
               PermitOptions options);

  // The zone's members, whether they name this node as holder, and the nodes of other zones.
  struct View {
    bool is_holder = false;
    const std::vector<NodeId>& peers;
    const ZoneNodes& other_zones;
  };
  // Expires permits and requests, and grants what has become available. Must be called frequently.
  void Tick(const View& view, absl::Time now, Outbox* outbox);

  // Handles a request or a return, and answers requests. A repeated request for a permit that was
  // granted is answered as granted again and uses no token.
  void Handle(const Envelope& envelope, const PermitRequest& request, absl::Time now,
              Outbox* outbox);
  void Handle(const Envelope& envelope, const PermitVoteRequest& request, absl::Time now,
              Outbox* outbox);
  void Handle(const Envelope& envelope, const PermitVoteReply& reply, absl::Time now,
              Outbox* outbox);
  void Handle(const Envelope& envelope, const PermitLoanRequest& request, absl::Time now,
              Outbox* outbox);
  void Handle(const Envelope& envelope, const PermitLoanReply& reply, absl::Time now,
              Outbox* outbox);

  std::size_t granted_count() const { return granted_.size(); }
  std::size_t waiting_count() const { return waiting_.size(); }
  std::uint32_t slots(absl::Time now) const;
  std::uint32_t lent(absl::Time now) const { return lending_.lent(now); }
  std::uint32_t borrowed(absl::Time now) const { return lending_.borrowed(now); }
  bool has_zone_slots(absl::Time now) const { return election_.MayUseZoneSlots(now); }
  const PermitCounters& counters() const { return counters_; }

 private:
  using LoadId = std::pair<WorkerId, ModelName>;
  struct Granted {
    std::uint64_t number = 0;
    absl::Time at;
  };
  struct Waiting {
    NodeId keeper;
    std::uint64_t number = 0;
    std::uint32_t waiting = 0;
    absl::Time deadline;
    absl::Time received_at;
  };

  void Release(const LoadId& load, std::uint64_t number);
  void Refill(absl::Time now);
  void Expire(absl::Time now);
  void GrantWaiting(absl::Time now, Outbox* outbox);
  void Advance(absl::Time now, Outbox* outbox);
  PermitDemand Demand() const;
  std::uint32_t ExtraSlots() const;
  std::vector<LoadId> WaitingInOrder() const;
  void Answer(const NodeId& keeper, const LoadId& load, std::uint64_t number, bool granted,
              absl::Duration expected_wait, Outbox* outbox) const;
  absl::Duration ExpectedWait(const LoadId& load, absl::Time now) const;
  double RatePerSlot() const;

  PermitOptions options_;
  PermitElection election_;
  PermitLending lending_;
  PermitCounters counters_;
  // Number of loads that may start now, at slot_count one.
  double tokens_ = 0.0;
  absl::Time refilled_at_ = absl::InfinitePast();
  std::uint32_t slots_at_refill_ = 0;
  absl::btree_map<LoadId, Granted> granted_;
  absl::btree_map<LoadId, Waiting> waiting_;
};

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_PERMIT_HOLDER_H_
