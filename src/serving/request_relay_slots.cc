// Slots of brittle workers, which a request borrows for its attempts.
#include <set>
#include <string>
#include <utility>

#include "hingespan/fleet/slot_exchange.h"
#include "hingespan/serving/request_relay.h"

namespace hingespan::gateway {
namespace {

// Number of workers of which a request waits for a slot at the same time.
constexpr int kMaxLines = 2;

// Returns how the slot of an attempt with this outcome ends.
SlotEnd SlotEndOf(AttemptOutcome outcome, bool misdirected) {
  switch (outcome) {
    case AttemptOutcome::kServed:
    case AttemptOutcome::kUnreachable:
      return SlotEnd::kFreed;
    case AttemptOutcome::kFull:
      return misdirected ? SlotEnd::kFreed : SlotEnd::kRejected;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kCancelled:
      return SlotEnd::kAbandoned;
  }
  return SlotEnd::kAbandoned;
}

}  // namespace

WorkerChoice RequestRelay::ChooseWorker(const WorkerDemand& demand, absl::Time now) {
  if (context_->slots->IsBrittle(service_)) {
    return ChooseWithSlot(demand, now);
  }
  return context_->workers->Choose(demand, routes_->configuration(), now);
}

WorkerChoice RequestRelay::ChooseWithSlot(WorkerDemand demand, absl::Time now) {
  using Outcome = SlotExchange::Outcome;
  const auto choose = [&] {
    return context_->workers->Choose(demand, routes_->configuration(), now);
  };
  const auto take = [&](const WorkerChoice& choice) {
    const Outcome outcome = context_->slots->Take(choice.worker->record.id, Tokens());
    if (outcome == Outcome::kTaken) {
      slot_of_ = choice.worker->record.id;
    }
    return outcome;
  };
  demand.borrows_slot = true;
  const std::set<std::string> with_slot = context_->slots->WorkersWithSlot();
  if (!with_slot.empty()) {
    demand.among = &with_slot;
    const WorkerChoice choice = choose();
    if (choice.worker != nullptr && take(choice) == Outcome::kTaken) {
      return choice;
    }
    demand.among = nullptr;
  }
  std::set<std::string> excluded = excluded_workers_;
  demand.excluded = &excluded;
  WorkerChoice choice = choose();
  const int candidates = choice.candidates;
  for (int asked = 0; asked < kMaxLines && choice.worker != nullptr; ++asked) {
    const Outcome outcome = take(choice);
    if (outcome == Outcome::kTaken) {
      return choice;
    }
    if (outcome == Outcome::kAsked) {
      break;
    }
    excluded.insert(choice.worker->record.id);
    choice = choose();
  }
  if (candidates == 0) {
    return choice;
  }
  return {nullptr, ChoiceProblem::kAllBusy, candidates};
}

void RequestRelay::ReturnSlot(AttemptOutcome outcome) {
  const SlotEnd end = SlotEndOf(outcome, answer_facts_.misdirected);
  if (!slot_of_.empty()) {
    context_->slots->Return(std::exchange(slot_of_, {}), Tokens(), answer_started_, end);
    return;
  }
  // The attempt was sent before the workers were known to be brittle, if they are.
  context_->slots->Return(worker_id_, 0, true, end);
}

void RequestRelay::ReturnUnusedSlot() {
  if (!slot_of_.empty()) {
    context_->slots->Return(std::exchange(slot_of_, {}), Tokens(), false, SlotEnd::kFreed);
  }
}

}  // namespace hingespan::gateway
