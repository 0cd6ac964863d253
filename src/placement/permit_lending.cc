#include "hingespan/placement/permit_lending.h"

#include <algorithm>

namespace hingespan {
namespace {

// Orders by earliest deadline; on equal deadlines, the zone with more waiting requests comes first.
bool MoreUrgent(const PermitDemand& first, const PermitDemand& second) {
  if (first.deadline != second.deadline) {
    return first.deadline < second.deadline;
  }
  return first.requests > second.requests;
}

std::uint32_t SaturatingSubtract(std::uint32_t from, std::uint32_t taken) {
  return from > taken ? from - taken : 0;
}

void MoveSlots(std::uint32_t wanted, std::uint32_t* spare, std::uint32_t* slots) {
  const std::uint32_t given = std::min(wanted, *spare);
  *spare -= given;
  *slots += given;
}

}  // namespace

std::uint32_t HomeSlots(std::uint32_t concurrency, const std::vector<ZoneId>& zones,
                        const ZoneId& zone) {
  const auto place = std::find(zones.begin(), zones.end(), zone);
  if (place == zones.end()) {
    return 0;
  }
  const auto count = static_cast<std::uint32_t>(zones.size());
  const auto index = static_cast<std::uint32_t>(place - zones.begin());
  return concurrency / count + (index < concurrency % count ? 1 : 0);
}

PermitLending::PermitLending(NodeId self, NodeIncarnation incarnation, ZoneId zone,
                             std::vector<ZoneId> zones, PermitOptions options)
    : self_(std::move(self)),
      incarnation_(incarnation),
      zone_(std::move(zone)),
      zones_(std::move(zones)),
      options_(options),
      home_slots_(HomeSlots(options.concurrency, zones_, zone_)) {}

std::uint32_t PermitLending::Slots(bool has_home_slots, absl::Time now) const {
  return AvailableHomeSlots(has_home_slots, now) + borrowed(now);
}

std::uint32_t PermitLending::AvailableHomeSlots(bool has_home_slots, absl::Time now) const {
  return has_home_slots ? SaturatingSubtract(home_slots_, lent(now)) : 0;
}

std::uint32_t PermitLending::lent(absl::Time now) const {
  std::uint32_t slots = 0;
  for (const auto& [borrower, loan] : loans_) {
    slots += IsLent(loan, now) ? loan.slots : 0;
  }
  return slots;
}

std::uint32_t PermitLending::borrowed(absl::Time now) const {
  std::uint32_t slots = 0;
  for (const auto& [lender, loan] : borrowed_) {
    slots += IsUsable(loan, now) ? loan.slots : 0;
  }
  return slots;
}

bool PermitLending::IsLent(const Loan& loan, absl::Time now) const {
  return now - loan.received_at < SettleTime(options_);
}

bool PermitLending::IsUsable(const Borrowed& borrowed, absl::Time now) const {
  return now < borrowed.usable_until || options_.disable_expiry_for_test;
}

void PermitLending::ForgetLoans(absl::Time now) {
  for (auto loan = loans_.begin(); loan != loans_.end();) {
    loan = IsLent(loan->second, now) ? std::next(loan) : loans_.erase(loan);
  }
}

// Ignores a late request with an old sequence. Slots that the borrower does not keep are returned
// at once, since it ignores answers to earlier sequences.
void PermitLending::Handle(const Envelope&, const PermitLoanRequest& request, absl::Time now) {
  ForgetLoans(now);
  Loan& loan = loans_[{request.holder, request.incarnation}];
  if (request.sequence <= loan.sequence) {
    return;
  }
  loan.sequence = request.sequence;
  loan.slots = std::min(loan.slots, request.held);
  loan.received_at = now;
  loan.answered = false;
  loan.demand.loads = request.waiting_loads;
  loan.demand.extra_slots = request.extra_slots;
  loan.demand.requests = request.waiting;
  loan.demand.deadline = now + absl::Milliseconds(request.earliest_deadline_ms);
}

void PermitLending::Lend(bool has_home_slots, std::uint32_t used, const PermitDemand& own,
                         absl::Time now, Outbox* outbox) {
  ForgetLoans(now);
  if (!has_home_slots) {
    return;
  }
  std::uint32_t spare = std::min(AvailableHomeSlots(has_home_slots, now),
                                 SaturatingSubtract(Slots(has_home_slots, now), used));
  std::vector<Loan*> increased;
  if (options_.lend) {
    LendForLoads(&spare, own, now, &increased);
    LendExtraSlots(&spare, own, now, &increased);
  }
  for (auto& [borrower, loan] : loans_) {
    const bool changed = std::find(increased.begin(), increased.end(), &loan) != increased.end();
    if (!loan.answered || changed) {
      loan.answered = true;
      outbox->Send(borrower.first,
                   PermitLoanReply{zone_, borrower.second, loan.sequence, loan.slots});
    }
  }
}

std::vector<PermitLending::Loan*> PermitLending::LoansByUrgency(absl::Time now) {
  std::vector<Loan*> loans;
  for (auto& [borrower, loan] : loans_) {
    const bool fresh = now - loan.received_at < options_.request_timeout;
    if (fresh && loan.demand.loads + loan.demand.extra_slots > 0) {
      loans.push_back(&loan);
    }
  }
  std::stable_sort(loans.begin(), loans.end(), [](const Loan* left, const Loan* right) {
    return MoreUrgent(left->demand, right->demand);
  });
  return loans;
}

// Assigns one slot to each waiting load here or in another zone, most urgent zone first.
void PermitLending::LendForLoads(std::uint32_t* spare, const PermitDemand& own, absl::Time now,
                                 std::vector<Loan*>* increased) {
  std::uint32_t own_loads = own.loads;
  for (Loan* loan : LoansByUrgency(now)) {
    if (!MoreUrgent(loan->demand, own)) {
      *spare = SaturatingSubtract(*spare, own_loads);
      own_loads = 0;
    }
    const std::uint32_t before = loan->slots;
    MoveSlots(loan->demand.loads, spare, &loan->slots);
    loan->demand.loads -= loan->slots - before;
    if (loan->slots != before) {
      increased->push_back(loan);
    }
  }
  *spare = SaturatingSubtract(*spare, own_loads);
}

// Lends the remaining slots for their share of the rate. A zone with waiting loads of its own keeps
// them.
void PermitLending::LendExtraSlots(std::uint32_t* spare, const PermitDemand& own, absl::Time now,
                                   std::vector<Loan*>* increased) {
  if (own.loads > 0) {
    return;
  }
  for (Loan* loan : LoansByUrgency(now)) {
    const std::uint32_t before = loan->slots;
    MoveSlots(loan->demand.extra_slots, spare, &loan->slots);
    loan->demand.extra_slots -= loan->slots - before;
    if (loan->slots != before) {
      increased->push_back(loan);
    }
  }
}

void PermitLending::Handle(const Envelope& envelope, const PermitLoanReply& reply, absl::Time) {
  const auto found = borrowed_.find(reply.lender);
  if (found == borrowed_.end() || reply.incarnation != incarnation_ ||
      reply.sequence != found->second.sequence) {
    return;
  }
  Borrowed& borrowed = found->second;
  borrowed.slots = borrowed.answered ? std::max(borrowed.slots, reply.slots) : reply.slots;
  borrowed.answered = true;
  borrowed.lender = envelope.from;
  borrowed.usable_until = borrowed.sent_at + UsableLease(options_);
}

void PermitLending::Borrow(bool has_home_slots, std::uint32_t used, const PermitDemand& own,
                           const ZoneNodes& nodes, absl::Time now, Outbox* outbox) {
  const bool starts_waiting = own.loads > 0 && !was_waiting_;
  was_waiting_ = own.loads > 0;
  if (!options_.lend || (now < next_renewal_ && !starts_waiting)) {
    return;
  }
  next_renewal_ = now + options_.renew_interval;
  const std::uint32_t home = AvailableHomeSlots(has_home_slots, now);
  // Slots still needed from other zones.
  std::uint32_t needed = SaturatingSubtract(used + own.loads, home);
  std::uint32_t extra = SaturatingSubtract(used + own.loads + own.extra_slots, home) - needed;
  for (const auto& [zone, zone_nodes] : nodes) {
    Borrowed& borrowed = borrowed_[zone];
    const bool usable = IsUsable(borrowed, now);
    // Loads may still run on slots whose loan lapsed. Those slots are neither returned nor counted
    // as available.
    const std::uint32_t keep_limit = usable ? needed + extra : SaturatingSubtract(used, home);
    const std::uint32_t keep = std::min(borrowed.slots, keep_limit);
    if (usable) {
      const std::uint32_t kept_for_loads = std::min(keep, needed);
      needed -= kept_for_loads;
      extra -= keep - kept_for_loads;
    }
    PermitDemand demand = own;
    demand.loads = needed;
    demand.extra_slots = extra;
    if (borrowed.slots > 0 || needed + extra > 0) {
      SendRequest(zone, keep, demand, zone_nodes, now, outbox);
    }
  }
}

void PermitLending::SendRequest(const ZoneId& zone, std::uint32_t keep, const PermitDemand& demand,
                                const std::vector<NodeId>& nodes, absl::Time now, Outbox* outbox) {
  Borrowed& borrowed = borrowed_[zone];
  if (!borrowed.answered || borrowed.lender.empty()) {
    if (nodes.empty()) {
      return;
    }
    borrowed.lender = nodes[borrowed.sequence % nodes.size()];
  }
  borrowed.sequence++;
  borrowed.slots = keep;
  borrowed.sent_at = now;
  borrowed.answered = false;
  PermitLoanRequest request;
  request.lender = zone;
  request.borrower = zone_;
  request.holder = self_;
  request.incarnation = incarnation_;
  request.sequence = borrowed.sequence;
  request.held = keep;
  request.waiting_loads = demand.loads;
  request.extra_slots = demand.extra_slots;
  request.waiting = demand.requests;
  const bool waits = demand.deadline != absl::InfiniteFuture();
  const absl::Duration left = waits ? demand.deadline - now : absl::ZeroDuration();
  request.earliest_deadline_ms =
      static_cast<std::uint32_t>(std::max<std::int64_t>(0, absl::ToInt64Milliseconds(left)));
  outbox->Send(borrowed.lender, request);
}

}  // namespace hingespan
