// Maintains the placer's ledgers: worker records, orders in flight and worker reports.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "hingespan/fleet/fleet_placer.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(300);
constexpr absl::Duration kPollDelayAfterConflict = absl::Milliseconds(150);
constexpr absl::Duration kPollDelayAfterTimeout = absl::Milliseconds(300);
// Step by which the expected end of an overdue load is postponed, repeatedly.
constexpr absl::Duration kLoadOverdueStep = absl::Milliseconds(700);
constexpr absl::Duration kUnloadTime = absl::Milliseconds(250);
constexpr absl::Duration kAdapterLoadTime = absl::Milliseconds(30);
constexpr absl::Duration kRefusalBackoff = absl::Seconds(1);
// Time after the expected end of an unload at which the worker's state counts as unknown and is
// queried again.
constexpr absl::Duration kUnloadOverdueTimeout = absl::Seconds(12);
// Time after the expected end of a load at which a worker that is not busy has lost it.
constexpr absl::Duration kLoadLostTimeout = absl::Seconds(2);

}  // namespace

void FleetPlacer::ApplyRecord(const WorkerState& worker, absl::Time now, Ledger* ledger) {
  if (worker.row_version == ledger->row_version) {
    return;
  }
  ledger->row_version = worker.row_version;
  if (!ledger->reported) {
    ledger->models = worker.record.models;
    return;
  }
  // A record may be stale, for example written before an outage of the store, so orders and reports
  // take precedence. A record that differs triggers a new report.
  const auto same_model = [](const auto& left, const auto& right) {
    return left.first == right.first;
  };
  const bool same =
      std::equal(ledger->models.begin(), ledger->models.end(), worker.record.models.begin(),
                 worker.record.models.end(), same_model);
  if (!same) {
    ledger->poll_at = std::min(ledger->poll_at, now);
  }
}

void FleetPlacer::SyncLedgers(const Configuration& configuration,
                              const std::map<std::string, WorkerState>& workers, absl::Time now) {
  for (auto entry = ledgers_.begin(); entry != ledgers_.end();) {
    if (workers.contains(entry->first)) {
      ++entry;
      continue;
    }
    weight_store_.LoadDropped(entry->first, now);
    entry = ledgers_.erase(entry);
  }
  int unknown_loads = 0;
  for (const auto& [id, ledger] : ledgers_) {
    unknown_loads += ledger.busy_with_unknown_order ? 1 : 0;
  }
  weight_store_.SetOtherLoads(unknown_loads, now);
  for (const auto& [id, worker] : workers) {
    const Service* const service = configuration.FindService(worker.record.service);
    if (service == nullptr || !service->engine.has_value()) {
      continue;
    }
    Ledger& ledger = ledgers_[id];
    ledger.service = worker.record.service;
    if (!ledger.in_flight.has_value()) {
      ApplyRecord(worker, now, &ledger);
      FinishLoads(id, &ledger, now);
    }
  }
}

void FleetPlacer::FinishLoads(const std::string& worker_id, Ledger* ledger, absl::Time now) {
  if (ledger->model_load.has_value()) {
    const ModelKey key = ledger->model_load->key;
    if (ledger->models.contains(key.model)) {
      ledger->model_load.reset();
      weight_store_.LoadEnded(worker_id, now);
      ledger->loaded_at[key] = now;
      updates_.push_back({worker_id, key.model, "", ReplicaState::kReady, 0});
    }
  }
}

void FleetPlacer::FinishUnload(const WorkerReport& report, Ledger* ledger, absl::Time now) {
  if (!ledger->model_unload.has_value()) {
    return;
  }
  const std::string& model = ledger->model_unload->key.model;
  // The model leaves the lists as soon as the order is accepted. Its memory is free only when the
  // worker is no longer busy, since the model's requests are ended first.
  if (!report.busy && !ledger->models.contains(model)) {
    ledger->model_unload.reset();
    return;
  }
  if (now > ledger->model_unload->expected + kUnloadOverdueTimeout) {
    ledger->model_unload.reset();
    ledger->uncertain = true;
    ledger->poll_at = now + kPollInterval;
  }
}

void FleetPlacer::FinishAdapters(absl::Time now) {
  for (auto& [id, ledger] : ledgers_) {
    for (auto load = ledger.adapter_loads.begin(); load != ledger.adapter_loads.end();) {
      if (load->expected > now) {
        ++load;
        continue;
      }
      ledger.models[load->key.model].insert(load->key.adapter);
      ledger.loaded_at[load->key] = now;
      updates_.push_back({id, load->key.model, load->key.adapter, ReplicaState::kReady, 0});
      load = ledger.adapter_loads.erase(load);
    }
  }
}

void FleetPlacer::OnAccepted(const WorkerOrder& order, bool timed, Ledger* ledger, absl::Time now) {
  const ModelKey key{order.model, order.adapter};
  ledger->sequence = order.expected_sequence + 1;
  if (order.kind == OrderKind::kUnload) {
    if (order.adapter.empty()) {
      ledger->model_unload = RunningLoad{key, now + kUnloadTime, now + kUnloadTime};
    } else {
      ledger->models[order.model].erase(order.adapter);
    }
    return;
  }
  if (!order.adapter.empty()) {
    ledger->adapter_loads.push_back(
        RunningLoad{key, now + kAdapterLoadTime, now + kAdapterLoadTime});
    return;
  }
  const OrderedLoad& load = ordered_loads_[{order.worker_id, order.model}];
  const absl::Duration load_time =
      load.from_store ? weight_store_.ExpectedTime(load.full_speed) : load.full_speed;
  if (load.from_store) {
    weight_store_.LoadBegan(order.worker_id, load.full_speed, timed, now);
  }
  ledger->model_load = RunningLoad{key, now + load_time, now + load_time};
  updates_.push_back({order.worker_id, order.model, "", ReplicaState::kLoading,
                      static_cast<int>(absl::ToInt64Milliseconds(load_time))});
}

void FleetPlacer::OnOutcome(const WorkerOrder& order, OrderOutcome outcome, absl::Time now) {
  const auto entry = ledgers_.find(order.worker_id);
  if (entry == ledgers_.end()) {
    return;
  }
  Ledger& ledger = entry->second;
  ledger.in_flight.reset();
  switch (outcome) {
    case OrderOutcome::kAccepted:
      OnAccepted(order, true, &ledger, now);
      return;
    case OrderOutcome::kDone:
      if (order.kind == OrderKind::kUnload && !order.adapter.empty()) {
        OnAccepted(order, true, &ledger, now);
        return;
      }
      ledger.uncertain = true;
      ledger.poll_at = now + kPollDelayAfterConflict;
      return;
    case OrderOutcome::kConflict:
      ledger.uncertain = true;
      ledger.poll_at = now + kPollDelayAfterConflict;
      return;
    case OrderOutcome::kRefused:
      ledger.not_before = now + kRefusalBackoff;
      ledger.uncertain = true;
      ledger.poll_at = now + kRefusalBackoff;
      return;
    case OrderOutcome::kFenced:
      return;
    case OrderOutcome::kUnknown:
      ledger.uncertain = true;
      ledger.unresolved = order;
      ledger.poll_at = now + kPollDelayAfterTimeout;
      return;
  }
}

void FleetPlacer::AddPendingAdapters(const WorkerReport& report, Ledger* ledger, absl::Time now) {
  for (const std::string& pending : report.pending_adapters) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(pending, absl::MaxSplits('/', 1));
    const ModelKey key{parts.first, parts.second};
    const bool known = std::any_of(ledger->adapter_loads.begin(), ledger->adapter_loads.end(),
                                   [&](const RunningLoad& load) { return load.key == key; });
    if (!known) {
      const absl::Time expected = now + kAdapterLoadTime;
      ledger->adapter_loads.push_back(RunningLoad{key, expected, expected});
    }
  }
}

void FleetPlacer::OnWorkerReport(const std::string& worker_id, const WorkerReport& report,
                                 absl::Time now) {
  const auto entry = ledgers_.find(worker_id);
  if (entry == ledgers_.end() || entry->second.in_flight.has_value()) {
    return;
  }
  Ledger& ledger = entry->second;
  if (report.order_sequence < ledger.sequence) {
    return;  // The report predates the latest order; the worker is polled again.
  }
  if (ledger.unresolved.has_value() &&
      report.order_sequence == ledger.unresolved->expected_sequence + 1) {
    OnAccepted(*ledger.unresolved, false, &ledger, now);
  }
  ledger.unresolved.reset();
  ledger.reported = true;
  ledger.sequence = report.order_sequence;
  ledger.models = report.models;
  AddPendingAdapters(report, &ledger, now);
  // The worker carries out an order unknown to this holder, for example of its predecessor. The
  // worker's resulting state is unknown until that order has ended.
  const bool known = ledger.model_load.has_value() || ledger.model_unload.has_value();
  ledger.uncertain = report.busy && !known;
  ledger.busy_with_unknown_order = ledger.uncertain;
  ledger.poll_at = ledger.uncertain ? now + kPollInterval : absl::InfiniteFuture();
  if (!report.busy && ledger.model_load.has_value() &&
      !ledger.models.contains(ledger.model_load->key.model) &&
      now > ledger.model_load->expected + kLoadLostTimeout) {
    ledger.model_load.reset();
    weight_store_.LoadDropped(worker_id, now);
  }
  if (report.busy && ledger.model_load.has_value()) {
    NoteStillLoading(worker_id, &ledger, now);
  }
  FinishLoads(worker_id, &ledger, now);
  FinishUnload(report, &ledger, now);
}

void FleetPlacer::NoteStillLoading(const std::string& worker_id, Ledger* ledger, absl::Time now) {
  weight_store_.LoadSeenRunning(worker_id, now);
  if (now < ledger->model_load->expected) {
    return;
  }
  ledger->model_load->expected = now + kLoadOverdueStep;
  updates_.push_back({worker_id, ledger->model_load->key.model, "", ReplicaState::kLoading,
                      static_cast<int>(absl::ToInt64Milliseconds(kLoadOverdueStep))});
}

std::vector<std::string> FleetPlacer::WorkersToPoll(absl::Time now) {
  std::vector<std::string> ids;
  for (auto& [id, ledger] : ledgers_) {
    bool poll = false;
    if (ledger.poll_at <= now) {
      ledger.poll_at = now + kPollInterval;
      poll = true;
    }
    for (std::optional<RunningLoad>* const load : {&ledger.model_load, &ledger.model_unload}) {
      if (load->has_value() && (*load)->next_poll <= now) {
        (*load)->next_poll = now + kPollInterval;
        poll = true;
      }
    }
    if (poll) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace hingespan::gateway
