#include "hingespan/fleet/fleet_placer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kAskAgain = absl::Milliseconds(300);
constexpr absl::Duration kAskAfterConflict = absl::Milliseconds(150);
constexpr absl::Duration kAskAfterSilence = absl::Milliseconds(300);
constexpr absl::Duration kUnloadTime = absl::Milliseconds(250);
constexpr absl::Duration kAdapterLoadTime = absl::Milliseconds(30);
constexpr absl::Duration kAfterRefusal = absl::Seconds(1);
constexpr absl::Duration kReservation = absl::Seconds(6);
// A load that is this much late is taken for lost.
constexpr absl::Duration kLoadOverdue = absl::Seconds(12);
// Models looked at in one run; the others come with the next.
constexpr std::size_t kMostWishesAtOnce = 12;
constexpr std::size_t kAdapterLoadsAtOnce = 4;
// Costs of a placement, in requests a second that it takes away elsewhere.
constexpr double kEvictionCost = 0.02;
// For each second that a load takes.
constexpr double kLoadSecondCost = 0.15;
constexpr absl::Duration kConcurrencyMemory = absl::Seconds(4);
constexpr double kBusyWorkerCost = 0.004;
constexpr double kOnlyReplicaFactor = 3.0;
constexpr double kFreshReplicaValue = 5.0;
constexpr double kWaitingValue = 20.0;
constexpr double kRunningValue = 0.3;
// The first replica of a model that is asked for may take the place of nearly everything.
constexpr double kMostCostOfFirstReplica = 50.0;
// A further replica must be worth more than what it replaces by this factor.
constexpr double kGainFactor = 0.5;
// What a request that waits adds to the worth of a further replica.
constexpr double kWaitingGain = 0.25;

}  // namespace

void FleetPlacer::Begin(absl::Time now) {
  began_ = now;
  ledgers_.clear();
  news_.clear();
  load_tokens_.clear();
  load_tokens_updated_.clear();
  for (auto& [key, counter] : rates_) {
    counter.updated = now;
  }
}

void FleetPlacer::OnReport(const DemandReport& report, absl::Time now) {
  NodeReport& known = reports_[report.node];
  const bool older =
      known.report.incarnation > report.incarnation ||
      (known.report.incarnation == report.incarnation && known.report.number >= report.number);
  if (older && known.received != absl::Time()) {
    return;
  }
  const double window = absl::ToDoubleSeconds(settings_.rate_window);
  for (const ModelDemand& demand : report.demands) {
    RateCounter& counter = rates_[{demand.service, ModelKey{demand.model, demand.adapter}}];
    const double age =
        counter.updated == absl::Time() ? 0 : absl::ToDoubleSeconds(now - counter.updated);
    counter.rate = counter.rate * std::exp(-age / window) + demand.arrived / window;
    counter.updated = now;
  }
  known.report = report;
  known.received = now;
}

FleetPlacer::TotalsByModel FleetPlacer::Totals(absl::Time now) {
  TotalsByModel totals;
  const double window = absl::ToDoubleSeconds(settings_.rate_window);
  for (const auto& [key, counter] : rates_) {
    const double age = absl::ToDoubleSeconds(now - counter.updated);
    totals[key].rate = counter.rate * std::exp(-age / window);
  }
  for (const auto& [node, known] : reports_) {
    if (now - known.received > settings_.report_lifetime) {
      continue;
    }
    for (const ModelDemand& demand : known.report.demands) {
      ModelTotals& total = totals[{demand.service, ModelKey{demand.model, demand.adapter}}];
      total.waiting += demand.waiting;
      total.running += demand.running;
    }
  }
  return totals;
}

FleetPlacer::ModelTotals FleetPlacer::TotalsOfModel(const Service& service,
                                                    const std::string& model,
                                                    const PlanContext& context) {
  const auto entry = context.model_totals.find({service.name, model});
  return entry == context.model_totals.end() ? ModelTotals{} : entry->second;
}

std::set<std::string> FleetPlacer::ModelsOf(const Ledger& ledger, absl::Time now) {
  std::set<std::string> models;
  for (const auto& [model, adapters] : ledger.models) {
    if (!ledger.model_unload.has_value() || ledger.model_unload->key.model != model) {
      models.insert(model);
    }
  }
  if (ledger.model_load.has_value()) {
    models.insert(ledger.model_load->key.model);
  }
  if (ledger.unanswered.has_value() && ledger.unanswered->kind == OrderKind::kLoad &&
      ledger.unanswered->adapter.empty()) {
    models.insert(ledger.unanswered->model);
  }
  const bool makes_room = ledger.unanswered.has_value() || ledger.model_unload.has_value();
  if (!ledger.reserved_for.empty() && ledger.reserved_until > now && makes_room) {
    models.insert(ledger.reserved_for);
  }
  return models;
}

void FleetPlacer::FillContext(PlanContext* context) const {
  std::set<std::string> unreachable;
  for (const auto& [node, known] : reports_) {
    if (context->now - known.received <= settings_.report_lifetime) {
      unreachable.insert(known.report.unreachable.begin(), known.report.unreachable.end());
    }
  }
  for (const auto& [id, worker] : *context->workers) {
    if (!worker.record.draining && !worker.ended && !unreachable.contains(id)) {
      context->usable.insert(id);
    }
  }
  for (const auto& [key, totals] : context->totals) {
    ModelTotals& sum = context->model_totals[{key.first, key.second.model}];
    sum.waiting += totals.waiting;
    sum.running += totals.running;
    sum.rate += totals.rate;
  }
  for (const auto& [id, ledger] : ledgers_) {
    if (!context->usable.contains(id)) {
      continue;
    }
    for (const std::string& model : ModelsOf(ledger, context->now)) {
      ++context->replicas[{ledger.service, model}];
    }
  }
}

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
    entry = workers.contains(entry->first) ? std::next(entry) : ledgers_.erase(entry);
  }
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
      ledger->loaded_at[key] = now;
      news_.push_back({worker_id, key.model, "", ReplicaState::kReady, 0});
    } else if (now > ledger->model_load->expected + kLoadOverdue) {
      ledger->model_load.reset();
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
  if (now > ledger->model_unload->expected + kLoadOverdue) {
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

std::vector<PlannedOrder> FleetPlacer::Plan(const Configuration& configuration,
                                            const std::map<std::string, WorkerState>& workers,
                                            absl::Time now) {
  SyncLedgers(configuration, workers, now);
  FinishAdapters(now);
  PlanContext context;
  context.workers = &workers;
  context.totals = Totals(now);
  context.now = now;
  FillContext(&context);
  demand_waits_ = false;
  for (const auto& [key, totals] : context.totals) {
    demand_waits_ = demand_waits_ || totals.waiting > 0;
  }
  for (const Service& service : configuration.services) {
    if (service.engine.has_value()) {
      PlanService(service, &context);
    }
  }
  return std::move(context.orders);
}

void FleetPlacer::PlanService(const Service& service, PlanContext* context) {
  PlanModels(service, context);
  PlanAdapters(service, context);
}

void FleetPlacer::PlanModels(const Service& service, PlanContext* context) {
  struct Wish {
    const ModelSpecification* model = nullptr;
    ModelTotals totals;
    int replicas = 0;
  };
  std::vector<Wish> wishes;
  for (const auto& [name, model] : service.engine->models) {
    if (!context->model_totals.contains({service.name, model.name})) {
      continue;
    }
    const Wish wish{&model, TotalsOfModel(service, model.name, *context),
                    CountReplicas(service, model.name, *context)};
    const double wanted = RecentConcurrency(service, model.name, wish.totals, context->now) /
                          settings_.requests_for_each_replica;
    const bool first = wish.replicas == 0 && wish.totals.waiting > 0;
    if (first || (wish.replicas > 0 && wanted > wish.replicas)) {
      wishes.push_back(wish);
    }
  }
  // Models that nobody serves come first, then those with the most requests for each replica.
  std::stable_sort(wishes.begin(), wishes.end(), [](const Wish& left, const Wish& right) {
    if ((left.replicas == 0) != (right.replicas == 0)) {
      return left.replicas == 0;
    }
    const auto pressure = [](const Wish& wish) {
      return static_cast<double>(wish.totals.waiting + wish.totals.running) /
             std::max(1, wish.replicas);
    };
    return pressure(left) > pressure(right);
  });
  if (wishes.size() > kMostWishesAtOnce) {
    wishes.resize(kMostWishesAtOnce);
  }
  for (const Wish& wish : wishes) {
    PlanReplica(service, *wish.model, wish.totals, wish.replicas, context);
  }
}

bool FleetPlacer::PlanReplica(const Service& service, const ModelSpecification& model,
                              const ModelTotals& totals, int replicas, PlanContext* context) {
  const double gain = totals.rate / (replicas + 1.0) * kGainFactor + kWaitingGain * totals.waiting;
  const double most_cost = replicas == 0 ? kMostCostOfFirstReplica : gain;
  const std::optional<Placement> placement = PlaceModel(service, model, most_cost, context);
  if (!placement.has_value()) {
    return false;
  }
  if (!placement->victim.model.empty()) {
    Ledger& ledger = ledgers_[placement->worker_id];
    ledger.reserved_for = model.name;
    ledger.reserved_until = context->now + kReservation;
    Order(OrderKind::kUnload, placement->worker_id, placement->victim,
          absl::StrCat("room for ", model.name), totals, context);
    return true;
  }
  const WorkerRecord& record = context->workers->at(placement->worker_id).record;
  const bool local =
      record.copies_in_memory.contains(model.name) || record.copies_on_disk.contains(model.name);
  if (!local && !TakeLoadToken(service, context->now)) {
    return false;
  }
  ledgers_[placement->worker_id].reserved_for.clear();
  load_times_[{placement->worker_id, model.name}] = LoadTime(model, record);
  Order(OrderKind::kLoad, placement->worker_id, ModelKey{model.name, ""},
        replicas == 0 ? "first replica" : "further replica", totals, context);
  return true;
}

std::optional<FleetPlacer::Placement> FleetPlacer::PlaceModel(const Service& service,
                                                              const ModelSpecification& model,
                                                              double most_cost,
                                                              PlanContext* context) const {
  std::optional<Placement> best;
  for (const auto& [id, ledger] : ledgers_) {
    if (ledger.service != service.name || ledger.models.contains(model.name) ||
        ledger.model_load.has_value() || ledger.model_unload.has_value() ||
        !ledger.adapter_loads.empty() || !MayTakeOrder(id, service, *context)) {
      continue;
    }
    if (!ledger.reserved_for.empty() && ledger.reserved_for != model.name &&
        ledger.reserved_until > context->now) {
      continue;
    }
    const WorkerState& worker = context->workers->at(id);
    Placement placement{id, {}, worker.running * kBusyWorkerCost};
    placement.cost += kLoadSecondCost * absl::ToDoubleSeconds(LoadTime(model, worker.record));
    const double room = service.engine->memory_mb - UsedMemory(service, ledger);
    if (room < model.memory_mb) {
      double least = std::numeric_limits<double>::infinity();
      for (const auto& [held, adapters] : ledger.models) {
        const double value = ReplicaValue(service, ledger, held, *context);
        if (value < least) {
          least = value;
          placement.victim = ModelKey{held, ""};
        }
      }
      placement.cost += least + kEvictionCost;
    }
    const double load_cost = kLoadSecondCost * absl::ToDoubleSeconds(model.load_time);
    if (placement.cost <= most_cost + load_cost &&
        (!best.has_value() || placement.cost < best->cost)) {
      best = placement;
    }
  }
  return best;
}

double FleetPlacer::ReplicaValue(const Service& service, const Ledger& ledger,
                                 const std::string& model, const PlanContext& context) const {
  const ModelTotals totals = TotalsOfModel(service, model, context);
  const int replicas = std::max(1, CountReplicas(service, model, context));
  double value = totals.rate / replicas + kRunningValue * totals.running / replicas;
  if (replicas == 1) {
    value = value * kOnlyReplicaFactor + kWaitingValue * totals.waiting;
  }
  const auto loaded = ledger.loaded_at.find(ModelKey{model, ""});
  if (loaded != ledger.loaded_at.end() &&
      context.now - loaded->second < settings_.least_residence) {
    value += kFreshReplicaValue;
  }
  return value;
}

void FleetPlacer::PlanAdapters(const Service& service, PlanContext* context) {
  for (const auto& [key, totals] : context->totals) {
    const auto& [service_name, model_key] = key;
    if (service_name != service.name || model_key.adapter.empty() || totals.waiting == 0) {
      continue;
    }
    const ModelSpecification* const model = service.FindModel(model_key.model);
    if (model == nullptr || CountAdapterReplicas(service, model_key, *context) > 0) {
      continue;
    }
    PlanAdapter(service, *model, model_key, totals, context);
  }
}

void FleetPlacer::PlanAdapter(const Service& service, const ModelSpecification& model,
                              const ModelKey& key, const ModelTotals& totals,
                              PlanContext* context) {
  const std::optional<Placement> placement = PlaceAdapter(service, model, key, context);
  if (!placement.has_value()) {
    return;
  }
  if (!placement->victim.model.empty()) {
    Order(OrderKind::kUnload, placement->worker_id, placement->victim,
          absl::StrCat("room for adapter ", key.adapter), totals, context);
    return;
  }
  Order(OrderKind::kLoad, placement->worker_id, key, "adapter is waited for", totals, context);
}

std::optional<FleetPlacer::Placement> FleetPlacer::PlaceAdapter(const Service& service,
                                                                const ModelSpecification& model,
                                                                const ModelKey& key,
                                                                PlanContext* context) const {
  std::optional<Placement> best;
  for (const auto& [id, ledger] : ledgers_) {
    if (ledger.service != service.name || !ledger.models.contains(key.model) ||
        ledger.model_load.has_value() || ledger.model_unload.has_value() ||
        ledger.adapter_loads.size() >= kAdapterLoadsAtOnce ||
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
  return ledger.service == service.name && !ledger.unanswered.has_value() && !ledger.uncertain &&
         ledger.not_before <= context.now && worker != context.workers->end() &&
         worker->second.avoided_until <= context.now && context.usable.contains(worker_id);
}

absl::Duration FleetPlacer::LoadTime(const ModelSpecification& model, const WorkerRecord& record) {
  if (record.copies_in_memory.contains(model.name)) {
    return model.load_time_from_memory;
  }
  return record.copies_on_disk.contains(model.name) ? model.load_time_from_disk : model.load_time;
}

double FleetPlacer::RecentConcurrency(const Service& service, const std::string& model,
                                      const ModelTotals& totals, absl::Time now) {
  Concurrency& recent = concurrency_[{service.name, model}];
  const double current = totals.running + totals.waiting;
  if (recent.updated != absl::Time()) {
    recent.value *= std::exp(-absl::FDivDuration(now - recent.updated, kConcurrencyMemory));
  }
  recent.value = std::max(recent.value, current);
  recent.updated = now;
  return recent.value;
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

int FleetPlacer::CountReplicas(const Service& service, const std::string& model,
                               const PlanContext& context) {
  const auto entry = context.replicas.find({service.name, model});
  return entry == context.replicas.end() ? 0 : entry->second;
}

int FleetPlacer::CountAdapterReplicas(const Service& service, const ModelKey& key,
                                      const PlanContext& context) const {
  int count = 0;
  for (const auto& [id, ledger] : ledgers_) {
    if (ledger.service != service.name || !context.usable.contains(id)) {
      continue;
    }
    const auto model = ledger.models.find(key.model);
    const bool held = model != ledger.models.end() && model->second.contains(key.adapter);
    const bool loading = std::any_of(ledger.adapter_loads.begin(), ledger.adapter_loads.end(),
                                     [&](const RunningLoad& load) { return load.key == key; });
    const bool ordered =
        ledger.unanswered.has_value() && ledger.unanswered->kind == OrderKind::kLoad &&
        ledger.unanswered->model == key.model && ledger.unanswered->adapter == key.adapter;
    count += held || loading || ordered ? 1 : 0;
  }
  return count;
}

bool FleetPlacer::TakeLoadToken(const Service& service, absl::Time now) {
  const double rate = service.engine->loads_per_second * settings_.load_rate_part;
  const auto [entry, fresh] = load_tokens_updated_.try_emplace(service.name, began_);
  double& tokens = load_tokens_.try_emplace(service.name, settings_.first_load_burst).first->second;
  const double elapsed = absl::ToDoubleSeconds(now - entry->second);
  tokens = std::min(settings_.load_burst, tokens + elapsed * rate);
  entry->second = now;
  if (tokens < 1.0) {
    return false;
  }
  tokens -= 1.0;
  return true;
}

void FleetPlacer::Order(OrderKind kind, const std::string& worker_id, const ModelKey& key,
                        std::string reason, const ModelTotals& totals, PlanContext* context) {
  Ledger& ledger = ledgers_[worker_id];
  if (key.adapter.empty()) {
    // What is planned next sees this order.
    context->replicas[{ledger.service, key.model}] += kind == OrderKind::kLoad ? 1 : -1;
  }
  PlannedOrder planned;
  planned.order.worker_id = worker_id;
  planned.order.address = context->workers->at(worker_id).record.address;
  planned.order.kind = kind;
  planned.order.model = key.model;
  planned.order.adapter = key.adapter;
  planned.order.expected_sequence = ledger.sequence;
  planned.reason = std::move(reason);
  planned.waiting = totals.waiting;
  planned.rate = totals.rate;
  ledger.unanswered = planned.order;
  if (kind == OrderKind::kUnload) {
    news_.push_back({worker_id, key.model, key.adapter, ReplicaState::kLeaving, 0});
  }
  context->orders.push_back(std::move(planned));
}

void FleetPlacer::Accepted(const WorkerOrder& order, Ledger* ledger, absl::Time now) {
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
  const absl::Duration load_time = load_times_[{order.worker_id, order.model}];
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
      Accepted(order, &ledger, now);
      return;
    case OrderOutcome::kDone:
      if (order.kind == OrderKind::kUnload && !order.adapter.empty()) {
        Accepted(order, &ledger, now);
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
    Accepted(*ledger.without_answer, &ledger, now);
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
  ledger.ask_at = ledger.uncertain ? now + kAskAgain : absl::InfiniteFuture();
  if (!report.busy && ledger.model_load.has_value() &&
      !ledger.models.contains(ledger.model_load->key.model) &&
      now > ledger.model_load->expected + absl::Seconds(2)) {
    ledger.model_load.reset();
  }
  FinishLoads(worker_id, &ledger, now);
  FinishUnload(report, &ledger, now);
}

std::vector<ReplicaNews> FleetPlacer::TakeNews(absl::Time now) {
  FinishAdapters(now);
  return std::exchange(news_, {});
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

absl::Time FleetPlacer::NextDue(absl::Time now) const {
  absl::Time due = demand_waits_ ? now + absl::Milliseconds(100) : absl::InfiniteFuture();
  for (const auto& [id, ledger] : ledgers_) {
    due = std::min(due, ledger.ask_at);
    if (ledger.model_load.has_value()) {
      due = std::min(due, ledger.model_load->ask_again);
    }
    if (ledger.model_unload.has_value()) {
      due = std::min(due, ledger.model_unload->ask_again);
    }
    for (const RunningLoad& load : ledger.adapter_loads) {
      due = std::min(due, load.expected);
    }
  }
  return due;
}

std::vector<WorkerLoad> FleetPlacer::TotalLoads(absl::Time now) const {
  std::map<std::string, WorkerLoad> totals;
  for (const auto& [node, known] : reports_) {
    if (now - known.received > settings_.report_lifetime) {
      continue;
    }
    for (const WorkerLoad& load : known.report.loads) {
      WorkerLoad& total = totals[load.worker_id];
      total.worker_id = load.worker_id;
      total.running += load.running;
      total.unread_tokens += load.unread_tokens;
    }
  }
  std::vector<WorkerLoad> loads;
  loads.reserve(totals.size());
  for (const auto& [id, load] : totals) {
    loads.push_back(load);
  }
  return loads;
}

}  // namespace hingespan::gateway
