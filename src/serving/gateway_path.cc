// The gateway's path to the workers, and requests that other nodes forward because they have none.
#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hingespan/serving/gateway.h"

namespace hingespan::gateway {
namespace {

// Number of workers that are probed in one round.
constexpr std::size_t kProbes = 3;
constexpr absl::Duration kSilentProbeInterval = absl::Seconds(1);
// Longer than another node's client keeps an idle connection, so that none is closed just as a
// request is forwarded on it.
constexpr absl::Duration kForwardIdleTimeout = absl::Seconds(60);
// Additional size of the head of a forwarded request.
constexpr std::uint32_t kForwardHeadBytes = 16 * 1024;

// Time after which a caller that was turned away for want of memory may come back, in seconds.
constexpr const char* kOverloadRetryAfter = "0.5";

absl::string_view NameOf(TurnedAwayReason reason) {
  switch (reason) {
    case TurnedAwayReason::kMemory:
      return "memory";
    case TurnedAwayReason::kConnections:
      return "connections";
    case TurnedAwayReason::kStopping:
      return "stopping";
    case TurnedAwayReason::kTimeout:
      return "timeout";
    case TurnedAwayReason::kMalformed:
      return "malformed";
    case TurnedAwayReason::kHeadTooLarge:
      return "head_too_large";
    case TurnedAwayReason::kBodyTooLarge:
      return "body_too_large";
  }
  return "malformed";
}

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

void Gateway::SetRequestLimits(ServerLimits limits) {
  limits.max_connections = static_cast<std::size_t>(settings_.max_connections);
  limits.receive_buffer_bytes = memory_plan_.receive_buffer_bytes;
  limits.overload_fields = {{"Retry-After", kOverloadRetryAfter}};
  requests_.SetLimits(limits);
  ServerLimits forward_limits = limits;
  // Another node may have room.
  forward_limits.overload_fields.push_back(VerdictField(PeerVerdict::kUnavailable));
  forward_limits.message.head_bytes += kForwardHeadBytes;
  forward_limits.idle_timeout = kForwardIdleTimeout;
  forwarded_.SetLimits(forward_limits);
}

void Gateway::OnTurnedAway(const TurnedAwayClient& client) {
  const std::string why(NameOf(client.reason));
  ++parts_.metrics->clients_turned_away[why];
  parts_.log->Write(LogLevel::kInfo, "client_turned_away",
                    {{"why", why},
                     {"client", client.address},
                     {"status", absl::StrCat(client.status)},
                     {"held_bytes", absl::StrCat(client.held_bytes)},
                     {"waited_ms", absl::StrCat(absl::ToInt64Milliseconds(client.waited))}});
}

ServerActivity Gateway::Activity() const {
  ServerActivity activity = requests_.activity();
  activity += forwarded_.activity();
  return activity;
}

Gateway::ServicePath& Gateway::EntryOf(const std::string& service) {
  ServicePath& entry = paths_[service];
  if (entry.timer == nullptr) {
    entry.timer = parts_.loop->MakeTimer();
  }
  return entry;
}

WorkerPath* Gateway::PathOf(const std::string& service) { return &EntryOf(service).path; }

void Gateway::OnPathEvent(const std::string& service) { CheckPath(service); }

void Gateway::CheckPath(const std::string& service) {
  ServicePath& entry = EntryOf(service);
  const absl::Time now = parts_.loop->Now();
  if (!entry.path.BeginRound(now)) {
    const absl::Time due = entry.path.NextDue();
    if (due != absl::InfiniteFuture()) {
      entry.timer->Set(due, [this, service] { CheckPath(service); });
    }
    return;
  }
  const std::vector<std::string> targets = ProbeTargets(service);
  if (targets.empty()) {
    OnProbesEnded(service, true);
    return;
  }
  auto round = std::make_shared<ProbeRound>();
  round->open = targets.size();
  for (const std::string& address : targets) {
    parts_.control->Probe(address, [this, service, round](bool answered) {
      round->answered = round->answered || answered;
      if (--round->open == 0) {
        OnProbesEnded(service, round->answered);
      }
    });
  }
}

std::vector<std::string> Gateway::ProbeTargets(const std::string& service) {
  std::string& last_probed = EntryOf(service).last_probed;
  std::vector<std::string> targets;
  const auto& workers = workers_.workers();
  auto entry = workers.upper_bound(last_probed);
  for (std::size_t seen = 0; seen < workers.size() && targets.size() < kProbes; ++seen, ++entry) {
    if (entry == workers.end()) {
      entry = workers.begin();
    }
    if (entry->second.record.service == service && !entry->second.ended) {
      targets.push_back(entry->second.record.address);
      last_probed = entry->first;
    }
  }
  return targets;
}

void Gateway::OnProbesEnded(const std::string& service, bool answered) {
  WorkerPath& path = EntryOf(service).path;
  const bool lost_before = path.lost();
  path.OnRoundEnded(answered, parts_.loop->Now());
  if (path.lost() != lost_before) {
    parts_.log->Write(path.lost() ? LogLevel::kWarning : LogLevel::kInfo,
                      path.lost() ? "path_lost" : "path_regained", {{"service", service}});
    fleet_->SetWorkersReachable(ReachesModelWorkers());
    if (path.lost()) {
      OnPathLost(service);
    }
    ScheduleDispatch();
  }
  CheckPath(service);
}

void Gateway::OnHeard(const std::string& service, const std::string& recipient) {
  const UnreadAttempts::OverdueReading reading =
      budget_.unread()->OnHeard(recipient, parts_.loop->Now());
  if (reading.attempts == 0) {
    return;
  }
  parts_.log->Write(LogLevel::kInfo, "overdue_attempts_read",
                    {{"service", service},
                     {"recipient", recipient},
                     {"attempts", absl::StrCat(reading.attempts)},
                     {"longest_ms", absl::StrCat(absl::ToInt64Milliseconds(reading.longest))}});
}

void Gateway::ProbeSilentWorkers() {
  const absl::Time now = parts_.loop->Now();
  for (const auto& [id, worker] : workers_.workers()) {
    if (worker.running > 0 || worker.ended || !workers_.IsSilent(worker, now)) {
      continue;
    }
    const auto on_answer = [this, alive = alive_, worker_id = id,
                            service = worker.record.service](bool answered) {
      if (answered && *alive) {
        OnHeard(service, worker_id);
      }
    };
    parts_.control->Probe(worker.record.address, on_answer);
  }
  silence_timer_->Set(now + kSilentProbeInterval, [this] { ProbeSilentWorkers(); });
}

bool Gateway::ReachesModelWorkers() const {
  bool any = false;
  for (const Service& service : routes_->configuration().services) {
    if (!service.engine.has_value()) {
      continue;
    }
    any = true;
    const auto entry = paths_.find(service.name);
    if (entry == paths_.end() || !entry->second.path.lost()) {
      return true;
    }
  }
  return !any;
}

void Gateway::OnPathLost(const std::string& service) {
  ++parts_.metrics->path_losses;
  for (const Service& other : routes_->configuration().services) {
    EntryOf(other.name).path.Doubt();
    CheckPath(other.name);
  }
  // Idle connections may hang, and would swallow requests after the path is regained.
  for (const auto& [id, worker] : workers_.workers()) {
    if (worker.record.service == service) {
      parts_.client->CloseIdleConnections(worker.record.address);
    }
  }
  if (!EntryOf(service).path.Silent(parts_.loop->Now())) {
    return;  // Open connections live on, and so do the attempts on them.
  }
  // A copy, as requests that end are removed.
  const auto open_requests = open_requests_;
  for (const auto& [number, request] : open_requests) {
    if (request->service() == service) {
      request->OnPathLost();
    }
  }
}

}  // namespace hingespan::gateway
