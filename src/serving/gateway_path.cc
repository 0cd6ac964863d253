// The gateway's path to the workers, and requests that other nodes forward because they have none.
#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hingespan/serving/gateway.h"

namespace hingespan::gateway {
namespace {

// Number of workers that are probed in one round.
constexpr std::size_t kProbes = 3;
// Longer than another node's client keeps an idle connection, so that none is closed just as a
// request is forwarded on it.
constexpr absl::Duration kForwardIdleTimeout = absl::Seconds(60);
// Additional size of the head of a forwarded request.
constexpr std::uint32_t kForwardHeadBytes = 16 * 1024;

// Outcome of the probes of one round so far.
struct ProbeRound {
  std::size_t open = 0;
  bool answered = false;
};

}  // namespace

void Gateway::OnForwarded(const std::shared_ptr<ServerExchange>& exchange) {
  const char* why = RefusalReason();
  if (why == nullptr && stopping_) {
    why = "stopping";
  } else if (why == nullptr && path_.lost()) {
    why = "path_lost";
  }
  const Route* const route = why == nullptr ? FindRoute(exchange->head()) : nullptr;
  if (why == nullptr && route == nullptr) {
    // The forwarding node has found one, so one of both configurations is older.
    why = "no_route";
  }
  if (why != nullptr) {
    RefuseAtOnce(exchange.get(), 503, why, {VerdictField(PeerVerdict::kUnavailable)});
    return;
  }
  StartRequest(exchange, ReadOrigin(exchange->head()), route);
}

void Gateway::SetRequestLimits(const ServerLimits& limits) {
  requests_.SetLimits(limits);
  ServerLimits forward_limits = limits;
  forward_limits.message.head_bytes += kForwardHeadBytes;
  forward_limits.idle_timeout = kForwardIdleTimeout;
  forwarded_.SetLimits(forward_limits);
}

ServerActivity Gateway::Activity() const {
  ServerActivity activity = requests_.activity();
  activity += forwarded_.activity();
  return activity;
}

void Gateway::OnPathEvent() { CheckPath(); }

void Gateway::CheckPath() {
  const absl::Time now = parts_.loop->Now();
  if (!path_.BeginRound(now)) {
    const absl::Time due = path_.NextDue();
    if (due != absl::InfiniteFuture()) {
      path_timer_->Set(due, [this] { CheckPath(); });
    }
    return;
  }
  const std::vector<std::string> targets = ProbeTargets();
  if (targets.empty()) {
    OnProbesEnded(true);
    return;
  }
  auto round = std::make_shared<ProbeRound>();
  round->open = targets.size();
  for (const std::string& address : targets) {
    parts_.control->Probe(address, [this, round](bool answered) {
      round->answered = round->answered || answered;
      if (--round->open == 0) {
        OnProbesEnded(round->answered);
      }
    });
  }
}

std::vector<std::string> Gateway::ProbeTargets() {
  std::vector<std::string> targets;
  const auto& workers = workers_.workers();
  auto entry = workers.upper_bound(last_probed_);
  for (std::size_t seen = 0; seen < workers.size() && targets.size() < kProbes; ++seen, ++entry) {
    if (entry == workers.end()) {
      entry = workers.begin();
    }
    if (!entry->second.ended) {
      targets.push_back(entry->second.record.address);
      last_probed_ = entry->first;
    }
  }
  return targets;
}

void Gateway::OnProbesEnded(bool answered) {
  const bool lost_before = path_.lost();
  path_.OnRoundEnded(answered, parts_.loop->Now());
  if (path_.lost() != lost_before) {
    parts_.log->Write(path_.lost() ? LogLevel::kWarning : LogLevel::kInfo,
                      path_.lost() ? "path_lost" : "path_regained", {});
    fleet_->SetWorkersReachable(!path_.lost());
    if (path_.lost()) {
      OnPathLost();
    }
    ScheduleDispatch();
  }
  CheckPath();
}

void Gateway::OnPathLost() {
  ++parts_.metrics->path_losses;
  // Idle connections may hang, and would swallow requests after the path is regained.
  for (const auto& [id, worker] : workers_.workers()) {
    parts_.client->CloseIdleConnections(worker.record.address);
  }
  if (!path_.Silent(parts_.loop->Now())) {
    return;  // Open connections live on, and so do the attempts on them.
  }
  // A copy, as requests that end are removed.
  const auto open_requests = open_requests_;
  for (const auto& [number, request] : open_requests) {
    request->OnPathLost();
  }
}

}  // namespace hingespan::gateway
