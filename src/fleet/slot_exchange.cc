#include "hingespan/fleet/slot_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(20);
// Time for which a lent slot waits for its attempt.
constexpr absl::Duration kFreeSlotLifetime = absl::Milliseconds(20);
constexpr absl::Duration kReplyTimeout = absl::Milliseconds(40);
constexpr int kMaxSends = 3;
constexpr absl::Duration kUnresponsiveTime = absl::Seconds(3);
// A node in line asks again this often, and leaves it this long after its last attempt to take a
// slot.
constexpr absl::Duration kQueuedInterval = absl::Milliseconds(150);
constexpr absl::Duration kWantedTime = absl::Milliseconds(150);
// A quarter of the lease.
constexpr absl::Duration kRenewalInterval = absl::Seconds(1);
// Workers may go on with an attempt whose connection has closed.
constexpr absl::Duration kAbandonedSlotTime = absl::Milliseconds(500);
constexpr absl::Duration kForgetAfter = absl::Seconds(10);
// Part of the rejections that a worker survives which all nodes together may cause while none of
// them reaches a lender, and the least and the longest pause of one node after a rejection then.
constexpr double kDirectPart = 0.25;
constexpr absl::Duration kMinDirectPause = absl::Seconds(1);
constexpr absl::Duration kMaxDirectPause = absl::Seconds(60);
// Size that a fleet of unknown size is taken for.
constexpr std::size_t kUnknownFleet = 32;

}  // namespace

SlotExchange::SlotExchange(std::string node, std::uint64_t incarnation, SlotExchangeParts parts)
    : node_(std::move(node)),
      incarnation_(incarnation),
      parts_(std::move(parts)),
      lender_(node_, {parts_.loop, parts_.metrics, parts_.workers, parts_.send,
                      [this](const SlotReply& reply) { OnReply(reply); }}),
      timer_(parts_.loop->MakeTimer()) {}

SlotExchange::~SlotExchange() = default;

void SlotExchange::SetAddress(std::string address) {
  address_ = std::move(address);
  lender_.SetAddress(address_);
}

void SlotExchange::SetNodes(std::vector<StreamNode> nodes) {
  nodes_ = std::move(nodes);
  lender_.SetNodes(nodes_);
  lenders_.clear();
}

bool SlotExchange::IsBrittle(const std::string& service) const {
  return !brittle_.empty() && brittle_.Find(service, parts_.loop->Now()) != nullptr;
}

void SlotExchange::OnBrittleAnswer(const BrittleService& service) {
  const absl::Time now = parts_.loop->Now();
  const bool known = brittle_.Find(service.service, now) != nullptr;
  if (brittle_.RecordAnswer(service, now)) {
    SendNotice(service);
  }
  if (!known) {
    TellAll(service.service);
  }
}

void SlotExchange::OnNotice(const BrittleNotice& notice) {
  if (brittle_.RecordNotice({notice.service, notice.survived_rejections}, parts_.loop->Now())) {
    TellAll(notice.service);
  }
}

void SlotExchange::OnQuestion(const std::string& reply_address) const {
  for (const BrittleService& service : brittle_.All(parts_.loop->Now())) {
    parts_.send(reply_address,
                EncodeFleetMessage(BrittleNotice{service.service, service.survived_rejections}));
  }
}

void SlotExchange::SendNotice(const BrittleService& service) {
  for (const StreamNode& node : nodes_) {
    if (node.name != node_) {
      Send(node.address, BrittleNotice{service.service, service.survived_rejections});
    }
  }
}

void SlotExchange::TellAll(const std::string& service) {
  parts_.log->Write(LogLevel::kWarning, "service_brittle", {{"service", service}});
  for (const auto& [id, worker] : parts_.workers->workers()) {
    if (worker.record.service == service && worker.running > 0) {
      Borrowed& borrowed = borrowed_[id];
      borrowed.used_at = parts_.loop->Now();
      Tell(id, &borrowed, false, true);
    }
  }
  SetTimer();
}

const StreamNode* SlotExchange::LenderOf(const std::string& worker_id) {
  auto [entry, added] = lenders_.try_emplace(worker_id);
  if (added) {
    entry->second = ChooseHolders(worker_id, nodes_, "");
  }
  const absl::Time now = parts_.loop->Now();
  const std::vector<StreamNode>& lenders = entry->second;
  for (const StreamNode& node : lenders) {
    const auto mark = unresponsive_.find(node.name);
    const bool responsive = mark == unresponsive_.end() || mark->second <= now;
    // A node that is cut off from all others must not lend to itself what the first lender lends.
    const bool may_lend =
        node.name != node_ || node.name == lenders.front().name || lender_.LendsToOthers(worker_id);
    if (responsive && may_lend) {
      return &node;
    }
  }
  return nullptr;
}

HeldSlots SlotExchange::Held(const std::string& worker_id, const Borrowed& borrowed) const {
  const auto worker = parts_.workers->workers().find(worker_id);
  HeldSlots held;
  held.slots = (worker == parts_.workers->workers().end() ? 0 : worker->second.running) +
               static_cast<int>(borrowed.abandoned_until.size());
  held.starting = borrowed.starting;
  held.tokens = borrowed.tokens;
  if (borrowed.free_tokens.has_value()) {
    ++held.slots;
    ++held.starting;
    held.tokens += *borrowed.free_tokens;
  }
  return held;
}

WorkerCapacity SlotExchange::CapacityOf(const WorkerState& worker) const {
  const BrittleService* const service = brittle_.Find(worker.record.service, parts_.loop->Now());
  return {worker.record.slots, parts_.token_capacity(worker.record.service),
          service == nullptr ? 0 : service->survived_rejections};
}

SlotExchange::Outcome SlotExchange::Take(const std::string& worker_id, double tokens) {
  const absl::Time now = parts_.loop->Now();
  Borrowed& borrowed = borrowed_[worker_id];
  borrowed.wanted_at = now;
  borrowed.used_at = now;
  SetTimer();
  if (LenderOf(worker_id) == nullptr) {
    return TakeDirectly(worker_id, tokens, &borrowed);
  }
  if (!borrowed.free_tokens.has_value() && !borrowed.pending.has_value() && !borrowed.queued) {
    borrowed.wanted_tokens = tokens;
    Tell(worker_id, &borrowed, true, true);
  }
  if (borrowed.free_tokens.has_value() && *borrowed.free_tokens >= tokens) {
    borrowed.free_tokens.reset();
    ++borrowed.starting;
    borrowed.tokens += tokens;
    return Outcome::kTaken;
  }
  return borrowed.queued ? Outcome::kQueued : Outcome::kAsked;
}

SlotExchange::Outcome SlotExchange::TakeDirectly(const std::string& worker_id, double tokens,
                                                 Borrowed* borrowed) {
  borrowed->pending.reset();
  borrowed->queued = false;
  if (borrowed->direct_after == absl::InfinitePast()) {
    // Spreads the first attempts of all nodes over the time in which they may be rejected once
    // each.
    const std::string pair = absl::StrCat(node_, "/", worker_id);
    const double part =
        static_cast<double>(XXH3_64bits(pair.data(), pair.size()) >> 11) * 0x1.0p-53;
    borrowed->direct_after = parts_.loop->Now() + part * DirectPause(worker_id);
  }
  if (Held(worker_id, *borrowed).slots > 0 || parts_.loop->Now() < borrowed->direct_after) {
    return Outcome::kQueued;
  }
  ++borrowed->starting;
  borrowed->tokens += tokens;
  return Outcome::kTaken;
}

absl::Duration SlotExchange::DirectPause(const std::string& worker_id) const {
  const auto worker = parts_.workers->workers().find(worker_id);
  const int survived = worker == parts_.workers->workers().end()
                           ? 0
                           : CapacityOf(worker->second).survived_rejections;
  const std::size_t nodes = nodes_.empty() ? kUnknownFleet : nodes_.size();
  const absl::Duration pause =
      absl::Seconds(static_cast<double>(nodes) / (kDirectPart * std::max(1, survived)));
  return std::clamp(pause, kMinDirectPause, kMaxDirectPause);
}

std::set<std::string> SlotExchange::WorkersWithSlot() const {
  std::set<std::string> workers;
  for (const auto& [id, borrowed] : borrowed_) {
    if (borrowed.free_tokens.has_value()) {
      workers.insert(id);
    }
  }
  return workers;
}

void SlotExchange::OnAnswerStarted(const std::string& worker_id) {
  const auto entry = borrowed_.find(worker_id);
  if (entry == borrowed_.end()) {
    return;
  }
  entry->second.starting = std::max(0, entry->second.starting - 1);
  const auto worker = parts_.workers->workers().find(worker_id);
  if (worker != parts_.workers->workers().end() && CapacityOf(worker->second).tokens > 0) {
    Tell(worker_id, &entry->second, false, false);
  }
}

void SlotExchange::Return(const std::string& worker_id, double tokens, bool answer_started,
                          SlotEnd end) {
  const auto entry = borrowed_.find(worker_id);
  if (entry == borrowed_.end()) {
    return;
  }
  const absl::Time now = parts_.loop->Now();
  Borrowed& borrowed = entry->second;
  borrowed.starting = std::max(0, borrowed.starting - (answer_started ? 0 : 1));
  borrowed.tokens = std::max(0.0, borrowed.tokens - tokens);
  if (end == SlotEnd::kAbandoned) {
    borrowed.abandoned_until.push_back(now + kAbandonedSlotTime);
    return;
  }
  if (end == SlotEnd::kRejected) {
    ++borrowed.untold_rejections;
    borrowed.direct_after = now + DirectPause(worker_id);
  }
  Tell(worker_id, &borrowed, false, false);
}

void SlotExchange::Tell(const std::string& worker_id, Borrowed* borrowed, bool wants_slot,
                        bool wants_reply) {
  const auto worker = parts_.workers->workers().find(worker_id);
  const StreamNode* const lender = LenderOf(worker_id);
  if (worker == parts_.workers->workers().end() || lender == nullptr) {
    return;
  }
  const absl::Time now = parts_.loop->Now();
  SlotRequest request;
  request.worker_id = worker_id;
  request.borrower = {node_, incarnation_, address_};
  request.number = ++last_number_;
  request.held = Held(worker_id, *borrowed);
  request.capacity = CapacityOf(worker->second);
  request.confirmed = borrowed->confirmed;
  request.rejections = std::exchange(borrowed->untold_rejections, 0);
  request.wants_reply = wants_reply;
  request.wants_slot = wants_slot;
  request.wanted_tokens = borrowed->wanted_tokens;
  borrowed->told_at = now;
  if (wants_reply) {
    const int sends = borrowed->pending.has_value() ? borrowed->pending->sends : 0;
    borrowed->pending = Pending{request.number, now, sends + 1, wants_slot};
  }
  if (lender->name == node_) {
    lender_.OnRequest(request);
  } else {
    Send(lender->address, request);
  }
}

void SlotExchange::Send(const std::string& address, const FleetMessage& message) {
  ++parts_.metrics->slot_datagrams;
  parts_.send(address, EncodeFleetMessage(message));
}

void SlotExchange::OnRequest(const SlotRequest& request) {
  lender_.OnRequest(request);
  SetTimer();
}

void SlotExchange::OnTakeover(const SlotTakeover& takeover) {
  lender_.OnTakeover(takeover);
  SetTimer();
}

void SlotExchange::OnReply(const SlotReply& reply) {
  const auto entry = borrowed_.find(reply.worker_id);
  if (entry == borrowed_.end()) {
    return;
  }
  Borrowed& borrowed = entry->second;
  borrowed.direct_after = absl::InfinitePast();
  const bool current = borrowed.pending.has_value() && reply.number == borrowed.pending->number;
  if (!reply.lent) {
    if (current) {
      borrowed.queued = borrowed.pending->wants_slot;
      borrowed.pending.reset();
      parts_.on_answer();
    }
    return;
  }
  if (reply.number <= borrowed.confirmed) {
    return;
  }
  borrowed.confirmed = reply.number;
  borrowed.pending.reset();
  borrowed.queued = false;
  borrowed.free_tokens = borrowed.wanted_tokens;
  borrowed.free_until = parts_.loop->Now() + kFreeSlotLifetime;
  parts_.on_answer();
}

void SlotExchange::SetTimer() {
  if (!timer_set_) {
    timer_set_ = true;
    timer_->Set(parts_.loop->Now() + kTickInterval, [this] { OnTimer(); });
  }
}

void SlotExchange::OnTimer() {
  timer_set_ = false;
  const absl::Time now = parts_.loop->Now();
  brittle_.Expire(now);
  std::erase_if(unresponsive_, [now](const auto& entry) { return entry.second <= now; });
  lender_.OnTick();
  for (auto entry = borrowed_.begin(); entry != borrowed_.end();) {
    entry = Maintain(entry->first, &entry->second, now) ? borrowed_.erase(entry) : std::next(entry);
  }
  if (!borrowed_.empty() || !lender_.idle()) {
    SetTimer();
  }
}

bool SlotExchange::Maintain(const std::string& worker_id, Borrowed* borrowed, absl::Time now) {
  if (borrowed->pending.has_value() && now - borrowed->pending->sent >= kReplyTimeout) {
    OnNoReply(worker_id, borrowed, now);
  }
  bool changed = false;
  if (borrowed->free_tokens.has_value() && borrowed->free_until <= now) {
    borrowed->free_tokens.reset();
    changed = true;
  }
  changed = std::erase_if(borrowed->abandoned_until,
                          [now](absl::Time until) { return until <= now; }) > 0 ||
            changed;
  if (borrowed->queued && now - borrowed->wanted_at > kWantedTime) {
    borrowed->queued = false;
  }
  const int held = Held(worker_id, *borrowed).slots;
  if (borrowed->queued && !borrowed->pending.has_value() &&
      now - borrowed->told_at >= kQueuedInterval) {
    borrowed->queued = false;
    Tell(worker_id, borrowed, true, true);
  } else if (held > 0 && !borrowed->pending.has_value() &&
             now - borrowed->told_at >= kRenewalInterval) {
    Tell(worker_id, borrowed, false, true);
  } else if (changed) {
    Tell(worker_id, borrowed, false, false);
  }
  return held == 0 && !borrowed->pending.has_value() && !borrowed->queued &&
         now >= borrowed->direct_after && now - borrowed->used_at > kForgetAfter;
}

void SlotExchange::OnNoReply(const std::string& worker_id, Borrowed* borrowed, absl::Time now) {
  const Pending pending = *borrowed->pending;
  if (pending.sends < kMaxSends) {
    Tell(worker_id, borrowed, pending.wants_slot, true);
    return;
  }
  const StreamNode* const lender = LenderOf(worker_id);
  if (lender == nullptr) {
    borrowed->pending.reset();
    return;
  }
  const std::string silent = lender->name;
  std::vector<std::string> affected;
  for (const auto& [id, each] : borrowed_) {
    const StreamNode* const other = LenderOf(id);
    if (other != nullptr && other->name == silent) {
      affected.push_back(id);
    }
  }
  unresponsive_[silent] = now + kUnresponsiveTime;
  parts_.log->Write(LogLevel::kInfo, "lender_unresponsive",
                    {{"lender", silent}, {"worker", worker_id}});
  for (const std::string& id : affected) {
    Borrowed& each = borrowed_.at(id);
    each.pending.reset();
    each.queued = false;
    const bool wants_slot = pending.wants_slot && now - each.wanted_at < kWantedTime;
    if (wants_slot || Held(id, each).slots > 0) {
      Tell(id, &each, wants_slot, true);
    }
  }
  parts_.on_answer();
}

}  // namespace hingespan::gateway
