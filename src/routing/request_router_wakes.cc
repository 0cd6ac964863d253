// Sends wake requests to the models' placers and applies their replies to waiting requests.
#include <algorithm>
#include <limits>

#include "hingespan/routing/request_router.h"
#include "retry_hints.h"

namespace hingespan {
namespace {

std::uint32_t ToMilliseconds(absl::Duration duration) {
  const std::int64_t milliseconds = absl::ToInt64Milliseconds(duration);
  const std::int64_t maximum = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, maximum));
}

}  // namespace

void RequestRouter::OnWakeReply(const WakeReply& reply, absl::Time now) {
  const auto found = models_.find(reply.model);
  const bool can_serve = !directory_->ReadyWorkers(reply.model, now).empty();
  if (found == models_.end() || can_serve) {
    return;  // With a ready replica, the reply concerns an additional one.
  }
  const absl::Duration expected_wait = absl::Milliseconds(reply.expected_wait_ms);
  switch (reply.outcome) {
    case WakeOutcome::kReady:
      found->second.missed_ready = true;
      break;
    case WakeOutcome::kLoading:
      RefuseHopeless(reply.model, expected_wait, now);
      break;
    case WakeOutcome::kRefused:
      // A placer that does not have the row yet cannot decide; the wake request is repeated.
      if (reply.reason != WakeRefusal::kUnknownModel) {
        MoveToGrantedSites(reply.model, true);
        RefuseWaiting(reply.model, RefusalCode::kNoCapacity,
                      std::max(expected_wait, kDefaultRetryAfter), "no replica can be loaded now");
      }
      break;
  }
}

// Forwards waiting requests to zones that have a granted slot. Requests can wait in a zone without
// a slot if they arrived while no other zone was reachable or before any slot was granted. Requests
// that the placer of this zone refused are forwarded as well.
void RequestRouter::MoveToGrantedSites(const ModelName& model, bool refused_here) {
  const auto row = store_->FindRow(model);
  if (row == nullptr || (!refused_here && HasGrantedSlot(model, zone_))) {
    return;
  }
  WaitingQueue& queue = models_.at(model).queue;
  for (const RequestId& request : queue.Requests()) {
    State& state = requests_.at(request);
    // A claim of this node would make the other node refuse the request.
    if (state.request.forwarded || state.claimed) {
      continue;
    }
    state.refused_here = state.refused_here || refused_here;
    const std::optional<ZoneId> site = ChooseSiteFor(*row, state);
    if (site.has_value() && *site != zone_ && HasGrantedSlot(model, *site)) {
      queue.Remove(request);
      Forward(&state, *site);
    }
  }
}

void RequestRouter::RefuseHopeless(const ModelName& model, absl::Duration expected_wait,
                                   absl::Time now) {
  if (options_.disable_early_refusal_for_test) {
    return;
  }
  for (const RequestId& request : models_.at(model).queue.Requests()) {
    const absl::Duration left = requests_.at(request).request.deadline - now;
    if (expected_wait > left * options_.hopeless_margin) {
      Refuse(request, RefusalCode::kWaitHopeless, expected_wait,
             "the expected wait is longer than the time left");
    }
  }
}

void RequestRouter::SendWakes(const std::function<NodeId(const ModelName&)>& placer_of,
                              absl::Time now, Outbox* outbox) {
  for (auto& [model, state] : models_) {
    if (!NeedsWake(model, state, now)) {
      continue;
    }
    if (state.missed_ready) {
      state.missed_ready = false;
      RequestMissedLists(model, now, outbox);
    }
    const NodeId placer = placer_of(model);
    if (placer.empty() || now < state.next_wake) {
      continue;
    }
    MoveToGrantedSites(model, false);
    if (state.queue.empty()) {
      continue;
    }
    WakeRequest wake;
    wake.model = model;
    wake.waiting = static_cast<std::uint32_t>(state.queue.size());
    wake.earliest_deadline_ms = ToMilliseconds(state.queue.earliest_deadline() - now);
    wake.latest_deadline_ms = ToMilliseconds(state.queue.latest_deadline() - now);
    wake.service_ms = ToMilliseconds(service_times_.Find(model));
    outbox->Send(placer, wake);
    state.next_wake = now + options_.wake_interval;
  }
}

bool RequestRouter::NeedsWake(const ModelName& model, const ModelState& state,
                              absl::Time now) const {
  if (state.queue.empty()) {
    return false;
  }
  if (state.queue.size() >= options_.long_queue) {
    return true;
  }
  if (now - state.waiting_since >= options_.wake_interval) {
    return true;
  }
  return directory_->ReadyWorkers(model, now).empty();
}

// Requests the replica lists of the granted workers in this zone, as an update was lost: the placer
// knows a ready replica that this node does not know.
void RequestRouter::RequestMissedLists(const ModelName& model, absl::Time now, Outbox* outbox) {
  const auto grant = store_->FindGrant(model);
  if (grant == nullptr) {
    return;
  }
  for (const GrantSlot& slot : grant->slots) {
    if (slot.zone == zone_) {
      directory_->RequestList(slot.worker, now, outbox);
    }
  }
}

}  // namespace hingespan
