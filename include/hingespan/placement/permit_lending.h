// Lends a zone's slots of the weight store's budget to other zones and takes them back.
//
// A lender counts a loan until the borrower returned it in a request, or until a lease plus the
// longest load time has passed since the borrower's last request. A borrower permits loads on it
// for less than a lease after it sent the request that the loan answers. Therefore no slot is used
// twice, even if messages are lost, duplicated or late.
#ifndef HINGESPAN_PLACEMENT_PERMIT_LENDING_H_
#define HINGESPAN_PLACEMENT_PERMIT_LENDING_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/placement/permit_options.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

// Demand for slots in one zone.
struct PermitDemand {
  std::uint32_t loads = 0;
  // Further slots that would let those loads start sooner through their share of the rate.
  std::uint32_t extra_slots = 0;
  std::uint32_t requests = 0;
  absl::Time deadline = absl::InfiniteFuture();
};

// Nodes of each other zone to which a loan request may be sent.
using ZoneNodes = absl::btree_map<ZoneId, std::vector<NodeId>>;

// Returns the share of `zone` when no slot is lent. The shares of all zones add up to
// `concurrency`.
std::uint32_t HomeSlots(std::uint32_t concurrency, const std::vector<ZoneId>& zones,
                        const ZoneId& zone);

// Not thread-safe.
class PermitLending {
 public:
  PermitLending(NodeId self, NodeIncarnation incarnation, ZoneId zone, std::vector<ZoneId> zones,
                PermitOptions options);

  // Returns the slots that loads of this zone may use now. `has_home_slots`: see
  // PermitElection::MayUseZoneSlots.
  std::uint32_t Slots(bool has_home_slots, absl::Time now) const;

  // Lender side. `used`: running loads of this zone. `own`: demand of this zone.
  void Handle(const Envelope& envelope, const PermitLoanRequest& request, absl::Time now);
  void Lend(bool has_home_slots, std::uint32_t used, const PermitDemand& own, absl::Time now,
            Outbox* outbox);

  // Borrower side.
  void Handle(const Envelope& envelope, const PermitLoanReply& reply, absl::Time now);
  // Requests slots for waiting loads and returns idle ones.
  void Borrow(bool has_home_slots, std::uint32_t used, const PermitDemand& own,
              const ZoneNodes& nodes, absl::Time now, Outbox* outbox);

  std::uint32_t lent(absl::Time now) const;
  std::uint32_t borrowed(absl::Time now) const;

 private:
  using BorrowerId = std::pair<NodeId, NodeIncarnation>;
  struct Loan {
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    PermitDemand demand;
    absl::Time received_at;
    bool answered = false;
  };
  struct Borrowed {
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    absl::Time sent_at = absl::InfinitePast();
    absl::Time usable_until = absl::InfinitePast();
    // True if the current sequence was answered.
    bool answered = true;
    NodeId lender;
  };

  std::uint32_t AvailableHomeSlots(bool has_home_slots, absl::Time now) const;
  void ForgetLoans(absl::Time now);
  bool IsLent(const Loan& loan, absl::Time now) const;
  bool IsUsable(const Borrowed& borrowed, absl::Time now) const;
  // Returns the borrowers with unmet demand, most urgent first.
  std::vector<Loan*> LoansByUrgency(absl::Time now);
  void LendForLoads(std::uint32_t* spare, const PermitDemand& own, absl::Time now,
                    std::vector<Loan*>* increased);
  void LendExtraSlots(std::uint32_t* spare, const PermitDemand& own, absl::Time now,
                      std::vector<Loan*>* increased);
  void SendRequest(const ZoneId& zone, std::uint32_t keep, const PermitDemand& demand,
                   const std::vector<NodeId>& nodes, absl::Time now, Outbox* outbox);

  NodeId self_;
  NodeIncarnation incarnation_;
  ZoneId zone_;
  std::vector<ZoneId> zones_;
  PermitOptions options_;
  std::uint32_t home_slots_;
  absl::btree_map<BorrowerId, Loan> loans_;
  absl::btree_map<ZoneId, Borrowed> borrowed_;
  absl::Time next_renewal_ = absl::InfinitePast();
  bool was_waiting_ = false;
};

}  // namespace hingespan

#endif  // HINGESPAN_PLACEMENT_PERMIT_LENDING_H_
