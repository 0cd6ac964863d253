// What the placer knows of each worker: records, orders under way, reports.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "hingespan/fleet/fleet_placer.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kAskAgain = absl::Milliseconds(300);
constexpr absl::Duration kAskAfterConflict = absl::Milliseconds(150);
constexpr absl::Duration kAskAfterSilence = absl::Milliseconds(300);
// A load that is late is expected this much later, again and again.
constexpr absl::Duration kLoadOverdueStep = absl::Milliseconds(700);
constexpr absl::Duration kUnloadTime = absl::Milliseconds(250);
constexpr absl::Duration kAdapterLoadTime = absl::Milliseconds(30);
constexpr absl::Duration kAfterRefusal = absl::Seconds(1);
// An unload that is this much late is asked for anew.
constexpr absl::Duration kUnloadOverdue = absl::Seconds(12);
// A worker that is not busy this long after a load was to end has lost it.
constexpr absl::Duration kLoadLostAfter = absl::Seconds(2);

}  // namespace

void FleetPlacer::TakeRecord(const WorkerState& worker, absl::Time now, Ledger* ledger) {
  if (worker.row_version == ledger->row_version) {
    return;
  }
  ledger->row_version = worker.row_version;
  if (!ledger->reported) {
    ledger->models = worker.record.models;
    return;
  }
  // A record may be old, e.g. written before an outage of the store; orders and reports tell more.
  // But one that differs is a reason to ask.
  const auto same_model = [](const auto& left, const auto& right) {
    return left.first == right.first;
  };
  const bool same =
      std::equal(ledger->models.begin(), ledger->models.end(), worker.record.models.begin(),
                 worker.record.models.end(), same_model);
  if (!same) {
    ledger->ask_at = std::min(ledger->ask_at, now);
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
    unknown_loads += ledger.busy_with_unknown ? 1 : 0;
  }
  weight_store_.SetOtherLoads(unknown_loads, now);
  for (const auto& [id, worker] : workers) {
    const Service* const service = configuration.FindService(worker.record.service);
    if (service == nullptr || !service->engine.has_value()) {
      continue;
    }
    Ledger& ledger = ledgers_[id];
    ledger.service = worker.record.service;
    if (!ledger.unanswered.has_value()) {
      TakeRecord(worker, now, &ledger);
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
      news_.push_back({worker_id, key.model, "", ReplicaState::kReady, 0});
    }
  }
}

void FleetPlacer::FinishUnload(const WorkerReport& report, Ledger* ledger, absl::Time now) {
  if (!ledger->model_unload.has_value()) {
    return;
  }
  const std::string& model = ledger->model_unload->key.model;
  // The model is out of the lists as soon as the order is taken; its memory is free only once the
  // worker isn't busy any more, since its runs are ended first.
  if (!report.busy && !ledger->models.contains(model)) {
    ledger->model_unload.reset();
    return;
  }
  if (now > ledger->model_unload->expected + kUnloadOverdue) {
    ledger->model_unload.reset();
    ledger->uncertain = true;
    ledger->ask_at = now + kAskAgain;
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
      news_.push_back({id, load->key.model, load->key.adapter, ReplicaState::kReady, 0});
      load = ledger.adapter_loads.erase(load);
    }
  }
}

void FleetPlacer::Accepted(const WorkerOrder& order, bool timed, Ledger* ledger, absl::Time now) {
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
  news_.push_back({order.worker_id, order.model, "", ReplicaState::kLoading,
                   static_cast<int>(absl::ToInt64Milliseconds(load_time))});
}

void FleetPlacer::OnOutcome(const WorkerOrder& order, OrderOutcome outcome, absl::Time now) {
  const auto entry = ledgers_.find(order.worker_id);
  if (entry == ledgers_.end()) {
    return;
  }
  Ledger& ledger = entry->second;
  ledger.unanswered.reset();
  switch (outcome) {
    case OrderOutcome::kAccepted:
      Accepted(order, true, &ledger, now);
      return;
    case OrderOutcome::kDone:
      if (order.kind == OrderKind::kUnload && !order.adapter.empty()) {
        Accepted(order, true, &ledger, now);
        return;
      }
      ledger.uncertain = true;
      ledger.ask_at = now + kAskAfterConflict;
      return;
    case OrderOutcome::kConflict:
      ledger.uncertain = true;
      ledger.ask_at = now + kAskAfterConflict;
      return;
    case OrderOutcome::kRefused:
      ledger.not_before = now + kAfterRefusal;
      ledger.uncertain = true;
      ledger.ask_at = now + kAfterRefusal;
      return;
    case OrderOutcome::kFenced:
      return;
    case OrderOutcome::kUnknown:
      ledger.uncertain = true;
      ledger.without_answer = order;
      ledger.ask_at = now + kAskAfterSilence;
      return;
  }
}

void FleetPlacer::TakePendingAdapters(const WorkerReport& report, Ledger* ledger, absl::Time now) {
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
  if (entry == ledgers_.end() || entry->second.unanswered.has_value()) {
    return;
  }
  Ledger& ledger = entry->second;
  if (report.order_sequence < ledger.sequence) {
    return;  // As of before the latest order; asked again.
  }
  if (ledger.without_answer.has_value() &&
      report.order_sequence == ledger.without_answer->expected_sequence + 1) {
    Accepted(*ledger.without_answer, false, &ledger, now);
  }
  ledger.without_answer.reset();
  ledger.reported = true;
  ledger.sequence = report.order_sequence;
  ledger.models = report.models;
  TakePendingAdapters(report, &ledger, now);
  // An order that this holder knows nothing of, e.g. its predecessor's: what it will take up is not
  // known before it has ended.
  const bool known = ledger.model_load.has_value() || ledger.model_unload.has_value();
  ledger.uncertain = report.busy && !known;
  ledger.busy_with_unknown = ledger.uncertain;
  ledger.ask_at = ledger.uncertain ? now + kAskAgain : absl::InfiniteFuture();
  if (!report.busy && ledger.model_load.has_value() &&
      !ledger.models.contains(ledger.model_load->key.model) &&
      now > ledger.model_load->expected + kLoadLostAfter) {
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
  news_.push_back({worker_id, ledger->model_load->key.model, "", ReplicaState::kLoading,
                   static_cast<int>(absl::ToInt64Milliseconds(kLoadOverdueStep))});
}

std::vector<std::string> FleetPlacer::WorkersToAsk(absl::Time now) {
  std::vector<std::string> ids;
  for (auto& [id, ledger] : ledgers_) {
    bool ask = false;
    if (ledger.ask_at <= now) {
      ledger.ask_at = now + kAskAgain;
      ask = true;
    }
    for (std::optional<RunningLoad>* const load : {&ledger.model_load, &ledger.model_unload}) {
      if (load->has_value() && (*load)->ask_again <= now) {
        (*load)->ask_again = now + kAskAgain;
        ask = true;
      }
    }
    if (ask) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace hingespan::gateway
