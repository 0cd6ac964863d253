// Chooses where a model or adapter is placed, and what is unloaded to make room for it.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "hingespan/fleet/fleet_placer.h"

namespace hingespan::gateway {
namespace {

constexpr std::size_t kAdapterLoadsAtOnce = 4;
// Costs of a placement, in requests that it delays elsewhere.
constexpr double kEvictionCost = 0.02;
// Cost per second of load time.
constexpr double kLoadSecondCost = 0.15;
constexpr double kBusyWorkerCost = 0.004;
constexpr double kRunningValue = 0.3;
// Prompt tokens per second that a replica processes without making its requests late, and the
// fraction of its slots that may be occupied.
constexpr double kReplicaTokenRate = 9000;
constexpr double kReplicaSlotFraction = 0.6;
// Seconds until a missing replica is noticed, ordered and loaded.
constexpr double kReplicaRecoverySeconds = 6;
// Gain per waiting request of a first and of a further replica.
constexpr double kWaitingGainOfFirst = 2.0;
constexpr double kWaitingGain = 0.25;

}  // namespace

std::optional<FleetPlacer::Placement> FleetPlacer::PlaceModel(const Service& service,
                                                              const ModelSpecification& model,
                                                              double max_cost,
                                                              bool store_has_capacity,
                                                              PlanContext* context) const {
  std::optional<Placement> best;
  for (const auto& [id, ledger] : ledgers_) {
    if (ledger.service != service.name || ledger.models.contains(model.name) ||
        ledger.model_load.has_value() || ledger.model_unload.has_value() ||
        !ledger.adapter_loads.empty() || IsLeftOut(id, *context) ||
        !MayTakeOrder(id, service, *context)) {
      continue;
    }
    if (!ledger.reserved_for.empty() && ledger.reserved_for != model.name &&
        ledger.reserved_until > context->now) {
      continue;
    }
    const WorkerState& worker = context->workers->at(id);
    if (!store_has_capacity && !HasCopy(model.name, worker.record)) {
      continue;
    }
    Placement placement{id, {}, worker.running * kBusyWorkerCost};
    const absl::Duration load_time = LoadTime(model, worker.record);
    const absl::Duration weighed_time =
        settings_.policy.prefer_copies ? load_time : model.load_time;
    placement.cost += kLoadSecondCost * absl::ToDoubleSeconds(weighed_time);
    placement.cost += BlockedAdapterCost(ledger, load_time, *context);
    const double room = service.engine->memory_mb - UsedMemory(service, ledger);
    if (room < model.memory_mb) {
      double least = std::numeric_limits<double>::infinity();
      for (const auto& [held, adapters] : ledger.models) {
        double value = ReplicaValue(service, ledger, held, *context);
        if (context->running_at.contains({id, held})) {
          value += kLoadSecondCost * settings_.policy.drain_seconds;
        }
        if (value < least) {
          least = value;
          placement.victim = ModelKey{held, ""};
        }
      }
      placement.cost += least + kEvictionCost;
    }
    const double load_cost = kLoadSecondCost * absl::ToDoubleSeconds(model.load_time);
    if (placement.cost <= max_cost + load_cost &&
        (!best.has_value() || placement.cost < best->cost)) {
      best = placement;
    }
  }
  return best;
}

double FleetPlacer::BlockedAdapterCost(const Ledger& ledger, absl::Duration load_time,
                                       const PlanContext& context) const {
  double rate = 0;
  for (const auto& [model, adapters] : ledger.models) {
    const auto adapter_rate = context.adapter_rates.find({ledger.service, model});
    if (adapter_rate != context.adapter_rates.end()) {
      const auto replicas = context.replicas.find({ledger.service, model});
      const int count = replicas == context.replicas.end() ? 1 : std::max(1, replicas->second);
      rate += adapter_rate->second / count;
    }
  }
  return settings_.policy.blocked_adapter_cost * rate * absl::ToDoubleSeconds(load_time);
}

double FleetPlacer::ReplicasFilled(const Service& service, const ModelTotals& totals) {
  const double by_reading = totals.token_rate / kReplicaTokenRate;
  const double by_slots =
      totals.running / std::max(1.0, service.engine->slots * kReplicaSlotFraction);
  return std::max(by_reading, by_slots);
}

double FleetPlacer::LateRequests(const Service& service, const ModelTotals& totals, int replicas) {
  if (replicas == 0) {
    return totals.rate * kReplicaRecoverySeconds;
  }
  const double filled = ReplicasFilled(service, totals);
  return filled <= replicas ? 0 : totals.rate * kReplicaRecoverySeconds * (1 - replicas / filled);
}

double FleetPlacer::GainOfReplica(const Service& service, const ModelTotals& totals, int replicas) {
  const double fewer_late =
      LateRequests(service, totals, replicas) - LateRequests(service, totals, replicas + 1);
  if (replicas == 0) {
    return fewer_late + kWaitingGainOfFirst * totals.waiting;
  }
  return fewer_late + kWaitingGain * totals.waiting;
}

double FleetPlacer::ReplicaValue(const Service& service, const Ledger& ledger,
                                 const std::string& model, const PlanContext& context) const {
  const ModelTotals totals = TotalsOfModel(service, model, context);
  const int replicas = std::max(1, CountReplicas(service, model, context));
  const double more_late =
      LateRequests(service, totals, replicas - 1) - LateRequests(service, totals, replicas);
  double value = more_late + (totals.rate + kRunningValue * totals.running) / replicas;
  if (replicas == 1) {
    value += kWaitingGainOfFirst * totals.waiting;
  }
  const auto loaded = ledger.loaded_at.find(ModelKey{model, ""});
  if (loaded != ledger.loaded_at.end() &&
      context.now - loaded->second < settings_.fresh_replica_time) {
    value += settings_.policy.fresh_replica_value;
  }
  return value;
}

std::optional<FleetPlacer::Placement> FleetPlacer::PlaceAdapter(const Service& service,
                                                                const ModelSpecification& model,
                                                                const ModelKey& key,
                                                                PlanContext* context) const {
  std::optional<Placement> best;
  for (const auto& [id, ledger] : ledgers_) {
    if (ledger.service != service.name || !ledger.models.contains(key.model) ||
        ledger.model_load.has_value() || ledger.model_unload.has_value() ||
        ledger.adapter_loads.size() >= kAdapterLoadsAtOnce || IsLeftOut(id, *context) ||
        !MayTakeOrder(id, service, *context)) {
      continue;
    }
    const WorkerState& worker = context->workers->at(id);
    Placement placement{id, {}, worker.running * kBusyWorkerCost};
    const bool slot_free = UsedAdapterSlots(ledger) < service.engine->adapter_slots;
    const double room = service.engine->memory_mb - UsedMemory(service, ledger);
    if (!slot_free || room < model.adapter_memory_mb) {
      double least = std::numeric_limits<double>::infinity();
      for (const auto& [held, adapters] : ledger.models) {
        for (const std::string& adapter : adapters) {
          const ModelKey held_key{held, adapter};
          const auto totals = context->totals.find({service.name, held_key});
          const double value = totals == context->totals.end()
                                   ? 0
                                   : totals->second.rate + kRunningValue * totals->second.running;
          if (value < least) {
            least = value;
            placement.victim = held_key;
          }
        }
      }
      if (placement.victim.model.empty()) {
        continue;
      }
      placement.cost += least + kEvictionCost;
    }
    if (!best.has_value() || placement.cost < best->cost) {
      best = placement;
    }
  }
  return best;
}

bool FleetPlacer::MayTakeOrder(const std::string& worker_id, const Service& service,
                               const PlanContext& context) const {
  const Ledger& ledger = ledgers_.at(worker_id);
  const auto worker = context.workers->find(worker_id);
  return ledger.service == service.name && !ledger.in_flight.has_value() && !ledger.uncertain &&
         ledger.not_before <= context.now && worker != context.workers->end() &&
         worker->second.avoided_until <= context.now && context.usable.contains(worker_id);
}

absl::Duration FleetPlacer::LoadTime(const ModelSpecification& model, const WorkerRecord& record) {
  if (record.copies_in_memory.contains(model.name)) {
    return model.load_time_from_memory;
  }
  return record.copies_on_disk.contains(model.name) ? model.load_time_from_disk : model.load_time;
}

bool FleetPlacer::HasCopy(const std::string& model, const WorkerRecord& record) {
  return record.copies_in_memory.contains(model) || record.copies_on_disk.contains(model);
}

double FleetPlacer::UsedMemory(const Service& service, const Ledger& ledger) const {
  double used = 0;
  const auto add = [&](const ModelKey& key) {
    const ModelSpecification* const model = service.FindModel(key.model);
    if (model != nullptr) {
      used += key.adapter.empty() ? model->memory_mb : model->adapter_memory_mb;
    }
  };
  for (const auto& [model, adapters] : ledger.models) {
    add(ModelKey{model, ""});
    for (const std::string& adapter : adapters) {
      add(ModelKey{model, adapter});
    }
  }
  if (ledger.model_load.has_value()) {
    add(ledger.model_load->key);
  }
  for (const RunningLoad& load : ledger.adapter_loads) {
    add(load.key);
  }
  return used;
}

int FleetPlacer::UsedAdapterSlots(const Ledger& ledger) {
  std::size_t used = ledger.adapter_loads.size();
  for (const auto& [model, adapters] : ledger.models) {
    used += adapters.size();
  }
  return static_cast<int>(used);
}

}  // namespace hingespan::gateway
