#include "hingespan/placement/permit_holder.h"

#include <algorithm>
#include <cmath>

namespace hingespan {
namespace {

constexpr double kMinimumRate = 0.001;
constexpr double kMaximumTokens = 1.0;

}  // namespace

PermitHolder::PermitHolder(NodeId self, NodeIncarnation incarnation, ZoneId zone,
                           std::vector<ZoneId> zones, PermitOptions options)
    : options_(options),
      election_(self, incarnation, options),
      lending_(self, incarnation, std::move(zone), std::move(zones), options) {
  options_.rate_per_second = std::max(options_.rate_per_second, kMinimumRate);
}

void PermitHolder::Tick(const View& view, absl::Time now, Outbox* outbox) {
  election_.Tick(view.is_holder, view.peers, now, outbox);
  if (!view.is_holder) {
    waiting_.clear();
  }
  Advance(now, outbox);
  lending_.Borrow(has_zone_slots(now), static_cast<std::uint32_t>(granted_.size()), Demand(),
                  view.other_zones, now, outbox);
}

void PermitHolder::Handle(const Envelope& envelope, const PermitRequest& request, absl::Time now,
                          Outbox* outbox) {
  const LoadId load(request.worker, request.model);
  if (request.release) {
    Release(load, request.number);
    Advance(now, outbox);
    return;
  }
  const auto held = granted_.find(load);
  if (held != granted_.end() && held->second.number >= request.number) {
    const bool same = held->second.number == request.number;
    Answer(envelope.from, load, request.number, same, absl::ZeroDuration(), outbox);
    return;
  }
  // A higher number means that the keeper has given up its earlier permit.
  Release(load, request.number);
  waiting_[load] = {envelope.from, request.number, request.waiting,
                    now + absl::Milliseconds(request.earliest_deadline_ms), now};
  Advance(now, outbox);
  if (waiting_.contains(load)) {
    Answer(envelope.from, load, request.number, false, ExpectedWait(load, now), outbox);
  }
}

void PermitHolder::Handle(const Envelope& envelope, const PermitVoteRequest& request,
                          absl::Time now, Outbox* outbox) {
  election_.Handle(envelope, request, now, outbox);
}

void PermitHolder::Handle(const Envelope& envelope, const PermitVoteReply& reply, absl::Time now,
                          Outbox* outbox) {
  election_.Handle(envelope, reply, now);
  Advance(now, outbox);
}

void PermitHolder::Handle(const Envelope& envelope, const PermitLoanRequest& request,
                          absl::Time now, Outbox* outbox) {
  lending_.Handle(envelope, request, now);
  Advance(now, outbox);
}

void PermitHolder::Handle(const Envelope& envelope, const PermitLoanReply& reply, absl::Time now,
                          Outbox* outbox) {
  Refill(now);
  lending_.Handle(envelope, reply, now);
  Advance(now, outbox);
}

std::uint32_t PermitHolder::slots(absl::Time now) const {
  return lending_.Slots(has_zone_slots(now), now);
}

void PermitHolder::Advance(absl::Time now, Outbox* outbox) {
  Refill(now);
  Expire(now);
  GrantWaiting(now, outbox);
  lending_.Lend(has_zone_slots(now), static_cast<std::uint32_t>(granted_.size()), Demand(), now,
                outbox);
  slots_at_refill_ = slots(now);
}

// A late return of an earlier permit has no effect.
void PermitHolder::Release(const LoadId& load, std::uint64_t number) {
  const auto held = granted_.find(load);
  if (held != granted_.end() && held->second.number <= number) {
    granted_.erase(held);
  }
  const auto waiting = waiting_.find(load);
  if (waiting != waiting_.end() && waiting->second.number <= number) {
    waiting_.erase(waiting);
  }
}

// Counts only slots that were held for the whole time since the last refill, as some may have
// lapsed meanwhile.
void PermitHolder::Refill(absl::Time now) {
  const std::uint32_t held = std::min(slots_at_refill_, slots(now));
  if (refilled_at_ != absl::InfinitePast()) {
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - refilled_at_));
    tokens_ = std::min(kMaximumTokens, tokens_ + seconds * held * RatePerSlot());
  }
  refilled_at_ = std::max(refilled_at_, now);
  slots_at_refill_ = held;
}

void PermitHolder::Expire(absl::Time now) {
  for (auto permit = granted_.begin(); permit != granted_.end();) {
    const bool expired = now - permit->second.at >= options_.permit_timeout;
    counters_.timed_out += expired ? 1 : 0;
    permit = expired ? granted_.erase(permit) : std::next(permit);
  }
  for (auto request = waiting_.begin(); request != waiting_.end();) {
    const bool expired = now - request->second.received_at >= options_.request_timeout;
    request = expired ? waiting_.erase(request) : std::next(request);
  }
}

void PermitHolder::GrantWaiting(absl::Time now, Outbox* outbox) {
  const std::uint32_t slot_count = slots(now);
  if (waiting_.empty() || tokens_ < 1.0 || granted_.size() >= slot_count) {
    return;
  }
  for (const LoadId& load : WaitingInOrder()) {
    if (tokens_ < 1.0 || granted_.size() >= slot_count) {
      return;
    }
    tokens_ -= 1.0;
    const Waiting& waiting = waiting_[load];
    granted_[load] = {waiting.number, now};
    ++counters_.granted;
    Answer(waiting.keeper, load, waiting.number, true, absl::ZeroDuration(), outbox);
    waiting_.erase(load);
  }
}

PermitDemand PermitHolder::Demand() const {
  PermitDemand demand;
  for (const auto& [load, waiting] : waiting_) {
    ++demand.loads;
    demand.requests += waiting.waiting;
    demand.deadline = std::min(demand.deadline, waiting.deadline);
  }
  demand.extra_slots = ExtraSlots();
  return demand;
}

// Returns the number of further slots whose share of the rate lets one load per second start for
// each waiting load.
std::uint32_t PermitHolder::ExtraSlots() const {
  const auto waiting = static_cast<double>(waiting_.size());
  const double for_rate = std::ceil(waiting / RatePerSlot());
  const double wanted = std::min<double>(options_.concurrency, for_rate);
  return static_cast<std::uint32_t>(std::max(0.0, wanted - waiting));
}

double PermitHolder::RatePerSlot() const {
  return options_.rate_per_second / std::max(1U, options_.concurrency);
}

// Orders by earliest deadline; loads with equal deadlines are ordered by the number of waiting
// requests, slot_count first.
std::vector<PermitHolder::LoadId> PermitHolder::WaitingInOrder() const {
  std::vector<LoadId> loads;
  for (const auto& [load, waiting] : waiting_) {
    loads.push_back(load);
  }
  std::stable_sort(loads.begin(), loads.end(), [this](const LoadId& left, const LoadId& right) {
    const Waiting& first = waiting_.at(left);
    const Waiting& second = waiting_.at(right);
    if (first.deadline != second.deadline) {
      return first.deadline < second.deadline;
    }
    return first.waiting > second.waiting;
  });
  return loads;
}

void PermitHolder::Answer(const NodeId& keeper, const LoadId& load, std::uint64_t number,
                          bool granted, absl::Duration expected_wait, Outbox* outbox) const {
  PermitReply reply;
  reply.worker = load.first;
  reply.model = load.second;
  reply.number = number;
  reply.granted = granted;
  reply.expected_wait_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(expected_wait));
  outbox->Send(keeper, reply);
}

// Considers the rate only, as the remaining time of running loads is unknown here.
absl::Duration PermitHolder::ExpectedWait(const LoadId& load, absl::Time now) const {
  const std::vector<LoadId> order = WaitingInOrder();
  const auto position = std::find(order.begin(), order.end(), load) - order.begin();
  const double needed = std::max(0.0, static_cast<double>(position) + 1.0 - tokens_);
  const double rate = std::max(1U, slots(now)) * RatePerSlot();
  return absl::Seconds(needed / rate);
}

}  // namespace hingespan
