// Streams that go on: within one answer, and at a further request of their caller.
#include <algorithm>
#include <utility>

#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/request_relay.h"

namespace hingespan::gateway {
namespace {

// Time after its deadline until which a stream's caller may still take it up.
constexpr absl::Duration kRecordMargin = absl::Seconds(5);
constexpr absl::Duration kMaxRecordLifetime = absl::Minutes(10);

}  // namespace

bool RequestRelay::TakesUpStream() const {
  return route_->kind == RouteKind::kStreaming && route_->resumable &&
         (!facts_.last_event_id.empty() || !facts_.resumed_id.empty());
}

void RequestRelay::FindSource() {
  state_ = State::kFinding;
  ++context_->metrics->streams_taken_up;
  if (origin_.source.has_value()) {
    OnSource(origin_.source);
    return;
  }
  SetTimer(context_->loop->Now());
  const bool one_service = route_->services.size() == 1;
  context_->host->FindStream(facts_.resumed_id, one_service ? service_ : std::string(),
                             [weak = weak_from_this()](std::optional<StreamSource> source) {
                               const auto self = weak.lock();
                               if (self != nullptr && self->state_ == State::kFinding) {
                                 self->OnSource(std::move(source));
                               }
                             });
}

void RequestRelay::OnSource(std::optional<StreamSource> source) {
  if (!source.has_value()) {
    Refuse(kUnknownStream);
    return;
  }
  const bool routed =
      std::any_of(route_->services.begin(), route_->services.end(),
                  [&](const ServiceShare& share) { return share.service == source->service; });
  if (!routed) {
    Refuse(kOtherService);
    return;
  }
  service_ = source->service;
  path_ = context_->host->PathOf(service_);
  source_ = std::move(source);
  BeginWaiting();
}

void RequestRelay::RecordSource() {
  if (source_.has_value()) {
    ++context_->metrics->streams_gone_on;
    return;
  }
  source_ = attempt_source_;
  // Of a forwarded request, the forwarding node knows which attempt reaches the caller.
  if (source_.has_value() && route_->MayRunAgain() && !origin_.forwarded && !facts_.id.empty()) {
    const absl::Duration time = facts_.deadline.value_or(route_->timeout);
    context_->host->RecordStream(facts_.id, *source_,
                                 std::min(time + kRecordMargin, kMaxRecordLifetime));
  }
}

bool RequestRelay::CanGoOn() const {
  return !stream_started_ || (source_.has_value() && !events_.last_event_id().empty());
}

}  // namespace hingespan::gateway
