#include "hingespan/serving/slot_ledger.h"

#include <algorithm>
#include <utility>

namespace hingespan::gateway {
namespace {

// A worker of which no node has told anything for so long is forgotten.
constexpr absl::Duration kForgetAfter = absl::Seconds(30);

}  // namespace

std::vector<LentSlot> SlotLedger::Apply(const SlotRequest& request, int reported_load,
                                        absl::Time now) {
  Worker& worker = workers_[request.worker_id];
  if (now - worker.last_message > settings_.settling_time) {
    worker.since = now;
    worker.reported_load = reported_load;
    worker.told_load = 0;
  }
  if (worker.last_message == absl::InfinitePast() ||
      worker.capacity.slots != request.capacity.slots) {
    worker.limit = request.capacity.slots;
    worker.starting_limit = settings_.max_starting;
    worker.limit_changed = now;
    worker.starting_limit_changed = now;
  }
  worker.last_message = now;
  worker.capacity = request.capacity;
  Expire(&worker, now);
  Grow(&worker, now);
  if (!ApplyHeld(&worker, request, now)) {
    return {};
  }
  ApplyRejections(&worker, request.rejections, now);
  const std::optional<LentSlot> known = ApplyWish(&worker, request, now);
  std::vector<LentSlot> lent = Lend(request.worker_id, &worker, now);
  if (known.has_value()) {
    lent.push_back(*known);
  }
  return lent;
}

std::vector<LentSlot> SlotLedger::LendDue(absl::Time now) {
  std::vector<LentSlot> lent;
  for (auto entry = workers_.begin(); entry != workers_.end();) {
    Worker& worker = entry->second;
    Expire(&worker, now);
    Grow(&worker, now);
    std::vector<LentSlot> of_worker = Lend(entry->first, &worker, now);
    lent.insert(lent.end(), std::make_move_iterator(of_worker.begin()),
                std::make_move_iterator(of_worker.end()));
    const bool forgotten = worker.leases.empty() && now - worker.last_message > kForgetAfter;
    entry = forgotten ? workers_.erase(entry) : std::next(entry);
  }
  return lent;
}

bool SlotLedger::HasBorrowerBeside(const std::string& worker_id, const std::string& node) const {
  const auto entry = workers_.find(worker_id);
  return entry != workers_.end() &&
         std::any_of(entry->second.leases.begin(), entry->second.leases.end(),
                     [&](const auto& lease) { return lease.first != node; });
}

std::vector<SlotRequest> SlotLedger::HandOver(const std::string& worker_id) {
  std::vector<SlotRequest> requests;
  const auto entry = workers_.find(worker_id);
  if (entry == workers_.end()) {
    return requests;
  }
  const Worker& worker = entry->second;
  for (const auto& [node, lease] : worker.leases) {
    SlotRequest request;
    request.worker_id = worker_id;
    request.borrower = lease.borrower;
    request.number = lease.number;
    request.held = lease.held;
    request.capacity = worker.capacity;
    request.passed_on = true;
    if (lease.unconfirmed.has_value()) {
      ++request.held.slots;
      ++request.held.starting;
      request.held.tokens += lease.unconfirmed->tokens;
    }
    requests.push_back(std::move(request));
  }
  // The next lender has to count them as well.
  if (!requests.empty()) {
    requests.front().rejections = static_cast<int>(worker.rejections.size());
  }
  workers_.erase(entry);
  return requests;
}

int SlotLedger::LimitOf(const std::string& worker_id) const {
  const auto entry = workers_.find(worker_id);
  return entry == workers_.end() ? 0 : entry->second.limit;
}

bool SlotLedger::ApplyHeld(Worker* worker, const SlotRequest& request, absl::Time now) const {
  const auto [entry, added] = worker->leases.try_emplace(request.borrower.node);
  Lease& lease = entry->second;
  const bool same_process = !added && lease.borrower.incarnation == request.borrower.incarnation;
  if (same_process && lease.number >= request.number) {
    return false;
  }
  if (!same_process) {
    lease = {};
    worker->told_load += request.held.slots;
  }
  lease.borrower = request.borrower;
  lease.number = request.number;
  lease.held = request.held;
  lease.expires = now + settings_.lease;
  if (lease.unconfirmed.has_value() && request.confirmed >= lease.unconfirmed->slot.number) {
    lease.unconfirmed.reset();
  }
  return true;
}

std::optional<LentSlot> SlotLedger::ApplyWish(Worker* worker, const SlotRequest& request,
                                              absl::Time now) const {
  const auto waiting = std::find_if(
      worker->line.begin(), worker->line.end(),
      [&](const Waiting& each) { return each.borrower.node == request.borrower.node; });
  if (!request.wants_slot) {
    return std::nullopt;
  }
  const std::optional<Unconfirmed>& unconfirmed =
      worker->leases.at(request.borrower.node).unconfirmed;
  if (unconfirmed.has_value()) {
    return unconfirmed->slot;  // The answer was lost.
  }
  const Waiting wish{request.borrower, request.number, request.wanted_tokens, now + settings_.wait};
  if (waiting != worker->line.end()) {
    *waiting = wish;  // Keeps its place in line.
  } else {
    worker->line.push_back(wish);
  }
  return std::nullopt;
}

void SlotLedger::ApplyRejections(Worker* worker, int count, absl::Time now) const {
  if (count <= 0) {
    return;
  }
  worker->rejections.insert(worker->rejections.end(), static_cast<std::size_t>(count), now);
  const HeldSlots total = Total(*worker);
  // An engine rejects while it has free slots if too many prompts wait to be read.
  const bool many_start = worker->capacity.tokens > 0 && total.starting > 1;
  if (many_start) {
    worker->starting_limit = std::max(1, std::min(worker->starting_limit, total.starting) - 1);
    worker->starting_limit_changed = now;
    return;
  }
  worker->limit = std::max(1, std::min(worker->limit, total.slots));
  worker->limit_changed = now;
}

void SlotLedger::Grow(Worker* worker, absl::Time now) const {
  while (worker->limit < worker->capacity.slots &&
         now - worker->limit_changed >= settings_.growth_interval) {
    worker->limit += std::max(1, static_cast<int>(settings_.growth * worker->limit));
    worker->limit = std::min(worker->limit, worker->capacity.slots);
    worker->limit_changed += settings_.growth_interval;
  }
  while (worker->starting_limit < settings_.max_starting &&
         now - worker->starting_limit_changed >= settings_.starting_growth_interval) {
    ++worker->starting_limit;
    worker->starting_limit_changed += settings_.starting_growth_interval;
  }
}

void SlotLedger::Expire(Worker* worker, absl::Time now) const {
  std::erase_if(worker->leases, [now](const auto& lease) { return lease.second.expires <= now; });
  for (auto& [node, lease] : worker->leases) {
    if (lease.unconfirmed.has_value() && lease.unconfirmed->expires <= now) {
      lease.unconfirmed.reset();
    }
  }
  worker->line.remove_if([now](const Waiting& each) { return each.expires <= now; });
  while (!worker->rejections.empty() &&
         worker->rejections.front() + settings_.rejection_window <= now) {
    worker->rejections.pop_front();
  }
}

HeldSlots SlotLedger::Total(const Worker& worker) {
  HeldSlots total;
  for (const auto& [node, lease] : worker.leases) {
    total.slots += lease.held.slots;
    total.starting += lease.held.starting;
    total.tokens += lease.held.tokens;
    if (lease.unconfirmed.has_value()) {
      ++total.slots;
      ++total.starting;
      total.tokens += lease.unconfirmed->tokens;
    }
  }
  return total;
}

double SlotLedger::Untold(const Worker& worker, absl::Time now) const {
  const double left = 1.0 - absl::FDivDuration(now - worker.since, settings_.settling_time);
  return std::max(0, worker.reported_load - worker.told_load) * std::max(0.0, left);
}

bool SlotLedger::HasRoom(const Worker& worker, double tokens, absl::Time now) const {
  const double tolerated =
      std::max(1.0, settings_.tolerated_rejections * worker.capacity.survived_rejections);
  if (static_cast<double>(worker.rejections.size()) >= tolerated) {
    return false;
  }
  const HeldSlots total = Total(worker);
  if (total.slots + Untold(worker, now) + 1 > worker.limit) {
    return false;
  }
  if (worker.capacity.tokens <= 0 || total.slots == 0) {
    return true;
  }
  return total.starting < worker.starting_limit &&
         total.tokens + tokens <= settings_.usable_tokens * worker.capacity.tokens;
}

std::vector<LentSlot> SlotLedger::Lend(const std::string& worker_id, Worker* worker,
                                       absl::Time now) const {
  std::vector<LentSlot> lent;
  while (!worker->line.empty() && HasRoom(*worker, worker->line.front().tokens, now)) {
    const Waiting first = std::move(worker->line.front());
    worker->line.pop_front();
    const auto lease = worker->leases.find(first.borrower.node);
    if (lease == worker->leases.end()) {
      continue;
    }
    const LentSlot slot{first.borrower, first.number, worker_id};
    lease->second.unconfirmed = Unconfirmed{slot, first.tokens, now + settings_.confirm_time};
    lent.push_back(slot);
  }
  return lent;
}

}  // namespace hingespan::gateway
