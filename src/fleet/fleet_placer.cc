#include "hingespan/fleet/fleet_placer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kReservation = absl::Seconds(6);
// Maximum number of models considered in one run; the others follow in the next.
constexpr std::size_t kMaxCandidatesPerRun = 12;
constexpr absl::Duration kConcurrencyMemory = absl::Seconds(4);
// Estimated time from the order to unload until the load that it makes room for begins.
constexpr absl::Duration kUnloadEstimate = absl::Milliseconds(500);

}  // namespace

void FleetPlacer::Begin(const WeightStoreEstimate& inherited, absl::Time now) {
  began_ = now;
  weight_store_.Begin(inherited);
  ledgers_.clear();
  updates_.clear();
  adapter_update_times_.clear();
  announced_expectations_.clear();
  copy_pressure_ = 0;
  copy_pressure_updated_ = absl::InfinitePast();
  load_tokens_.clear();
  load_tokens_updated_.clear();
  for (auto& [key, counter] : rates_) {
    counter.updated = now;
  }
}

void FleetPlacer::OnReport(const DemandReport& report, absl::Time now) {
  NodeReport& known = reports_[report.node];
  // Incarnations are not ordered: they come from the wall clock, which may have been set back
  // between two processes of the node.
  const bool same_incarnation =
      known.received != absl::Time() && known.report.incarnation == report.incarnation;
  if (same_incarnation && known.report.number >= report.number) {
    return;
  }
  const double window = absl::ToDoubleSeconds(settings_.rate_window);
  for (const ModelDemand& demand : report.demands) {
    RateCounter& counter = rates_[{demand.service, ModelKey{demand.model, demand.adapter}}];
    const double age =
        counter.updated == absl::Time() ? 0 : absl::ToDoubleSeconds(now - counter.updated);
    const double decay = std::exp(-age / window);
    counter.rate = counter.rate * decay + demand.arrived / window;
    counter.token_rate = counter.token_rate * decay + demand.arrived_tokens / window;
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
    const double decay = std::exp(-age / window);
    totals[key].rate = counter.rate * decay;
    totals[key].token_rate = counter.token_rate * decay;
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
  if (ledger.in_flight.has_value() && ledger.in_flight->kind == OrderKind::kLoad &&
      ledger.in_flight->adapter.empty()) {
    models.insert(ledger.in_flight->model);
  }
  const bool makes_room = ledger.in_flight.has_value() || ledger.model_unload.has_value();
  if (!ledger.reserved_for.empty() && ledger.reserved_until > now && makes_room) {
    models.insert(ledger.reserved_for);
  }
  return models;
}

void FleetPlacer::FillContext(PlanContext* context) const {
  std::set<std::string> unreachable;
  for (const auto& [node, known] : reports_) {
    if (context->now - known.received > settings_.report_lifetime) {
      continue;
    }
    unreachable.insert(known.report.unreachable.begin(), known.report.unreachable.end());
    for (const BoundDemand& demand : known.report.bound) {
      const ModelKey model{demand.model, demand.adapter};
      context->bound[{demand.service, demand.software_version, model}].waiting += demand.waiting;
    }
    for (const WorkerLoad& load : known.report.loads) {
      for (const RunningModel& running : load.models) {
        context->running_at[{load.worker_id, running.model}] += running.running;
      }
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
    sum.token_rate += totals.token_rate;
    if (!key.second.adapter.empty()) {
      context->adapter_rates[{key.first, key.second.model}] += totals.rate;
    }
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
  PlanBound(service, context);
  PlanModels(service, context);
  PlanAdapters(service, context);
}

std::vector<FleetPlacer::ReplicaCandidate> FleetPlacer::FindCandidates(const Service& service,
                                                                       const PlanContext& context) {
  std::vector<ReplicaCandidate> candidates;
  const double spare = 1 - CopyPressure(context.now);
  for (const auto& [name, model] : service.engine->models) {
    if (!context.model_totals.contains({service.name, model.name})) {
      continue;
    }
    ReplicaCandidate candidate{&model, TotalsOfModel(service, model.name, context),
                               CountReplicas(service, model.name, context)};
    candidate.gain = GainOfReplica(service, candidate.totals, candidate.replicas);
    candidate.gain *= candidate.replicas > 0 ? spare : 1;
    const double wanted = RecentConcurrency(service, model.name, candidate.totals, context.now) /
                          settings_.requests_for_each_replica;
    const bool first = candidate.replicas == 0 && candidate.totals.waiting > 0;
    if (first || (candidate.replicas > 0 && wanted * spare > candidate.replicas)) {
      candidates.push_back(candidate);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const ReplicaCandidate& left, const ReplicaCandidate& right) {
                     return left.gain > right.gain;
                   });
  return candidates;
}

void FleetPlacer::PlanModels(const Service& service, PlanContext* context) {
  const std::vector<ReplicaCandidate> candidates = FindCandidates(service, *context);
  std::vector<ReplicaCandidate> waiting;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const ReplicaCandidate& candidate = candidates[index];
    const bool planned =
        index < kMaxCandidatesPerRun &&
        PlanReplica(service, *candidate.model, candidate.totals, candidate.replicas, context);
    if (!planned && candidate.replicas == 0) {
      waiting.push_back(candidate);
    }
  }
  NoteCopyPressure(waiting, *context);
  AnnounceExpectedLoads(service, waiting, *context);
}

bool FleetPlacer::PlanReplica(const Service& service, const ModelSpecification& model,
                              const ModelTotals& totals, int replicas, PlanContext* context) {
  const double max_cost = GainOfReplica(service, totals, replicas);
  const bool store_has_capacity = weight_store_.MayBegin(
      PlannedStoreLoads(context->now), 1 - CopyPressure(context->now), context->now);
  const std::optional<Placement> placement =
      PlaceModel(service, model, max_cost, store_has_capacity, context);
  if (!placement.has_value()) {
    return false;
  }
  const WorkerRecord& record = context->workers->at(placement->worker_id).record;
  const bool local = HasCopy(model.name, record);
  if (!placement->victim.model.empty()) {
    Ledger& ledger = ledgers_[placement->worker_id];
    ledger.reserved_for = model.name;
    ledger.reserved_from_store = !local;
    ledger.reserved_until = context->now + kReservation;
    if (replicas == 0) {
      AnnounceExpected(model.name, placement->worker_id,
                       context->now + kUnloadEstimate + LoadTime(model, record), context->now);
    }
    AddOrder(OrderKind::kUnload, placement->worker_id, placement->victim,
             absl::StrCat("room for ", model.name), totals, context);
    return true;
  }
  if (!local && !TakeLoadToken(service, context->now)) {
    return false;
  }
  ledgers_[placement->worker_id].reserved_for.clear();
  ordered_loads_[{placement->worker_id, model.name}] = {LoadTime(model, record), !local};
  AddOrder(OrderKind::kLoad, placement->worker_id, ModelKey{model.name, ""},
           replicas == 0 ? "first replica" : "further replica", totals, context);
  return true;
}

void FleetPlacer::PlanAdapters(const Service& service, PlanContext* context) {
  for (const auto& [key, totals] : context->totals) {
    const auto& [service_name, model_key] = key;
    if (service_name != service.name || model_key.adapter.empty() || totals.waiting == 0) {
      continue;
    }
    const ModelSpecification* const model = service.FindModel(model_key.model);
    if (model == nullptr) {
      continue;
    }
    if (CountAdapterReplicas(service, model_key, *context) > 0) {
      RepeatAdapterUpdate(service, model_key, context->now);
      continue;
    }
    PlanAdapter(service, *model, model_key, totals, context);
  }
}

void FleetPlacer::RepeatAdapterUpdate(const Service& service, const ModelKey& key, absl::Time now) {
  const auto [entry, inserted] = adapter_update_times_.try_emplace(key, now);
  // The first update may still be in flight.
  if (inserted || now - entry->second < settings_.update_repeat_interval) {
    return;
  }
  entry->second = now;
  for (const auto& [id, ledger] : ledgers_) {
    const auto model = ledger.models.find(key.model);
    const bool held = ledger.service == service.name && model != ledger.models.end() &&
                      model->second.contains(key.adapter);
    if (held && !ledger.model_unload.has_value() && !ledger.in_flight.has_value()) {
      updates_.push_back({id, key.model, key.adapter, ReplicaState::kReady, 0});
    }
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
    AddOrder(OrderKind::kUnload, placement->worker_id, placement->victim,
             absl::StrCat("room for adapter ", key.adapter), totals, context);
    return;
  }
  AddOrder(OrderKind::kLoad, placement->worker_id, key, "adapter is waited for", totals, context);
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

int FleetPlacer::CountReplicas(const Service& service, const std::string& model,
                               const PlanContext& context) {
  const auto entry = context.replicas.find({service.name, model});
  return entry == context.replicas.end() ? 0 : entry->second;
}

int FleetPlacer::CountAdapterReplicas(const Service& service, const ModelKey& key,
                                      const PlanContext& context) const {
  int count = 0;
  for (const auto& [id, ledger] : ledgers_) {
    if (ledger.service != service.name || !context.usable.contains(id) || IsLeftOut(id, context)) {
      continue;
    }
    const auto model = ledger.models.find(key.model);
    const bool held = model != ledger.models.end() && model->second.contains(key.adapter);
    const bool loading = std::any_of(ledger.adapter_loads.begin(), ledger.adapter_loads.end(),
                                     [&](const RunningLoad& load) { return load.key == key; });
    const bool ordered =
        ledger.in_flight.has_value() && ledger.in_flight->kind == OrderKind::kLoad &&
        ledger.in_flight->model == key.model && ledger.in_flight->adapter == key.adapter;
    count += held || loading || ordered ? 1 : 0;
  }
  return count;
}

int FleetPlacer::PlannedStoreLoads(absl::Time now) const {
  int planned = 0;
  for (const auto& [id, ledger] : ledgers_) {
    const bool reserved =
        !ledger.reserved_for.empty() && ledger.reserved_until > now && ledger.reserved_from_store;
    bool ordered = false;
    if (ledger.in_flight.has_value() && ledger.in_flight->kind == OrderKind::kLoad &&
        ledger.in_flight->adapter.empty()) {
      const auto load = ordered_loads_.find({id, ledger.in_flight->model});
      ordered = load != ordered_loads_.end() && load->second.from_store;
    }
    planned += reserved || ordered ? 1 : 0;
  }
  return planned;
}

bool FleetPlacer::TakeLoadToken(const Service& service, absl::Time now) {
  const double rate = service.engine->loads_per_second * settings_.load_rate_fraction;
  const auto [entry, inserted] = load_tokens_updated_.try_emplace(service.name, began_);
  double& tokens = load_tokens_.try_emplace(service.name, 0.0).first->second;
  const double elapsed = absl::ToDoubleSeconds(now - entry->second);
  tokens = std::min(settings_.load_burst, tokens + elapsed * rate);
  entry->second = now;
  if (tokens < 1.0) {
    return false;
  }
  tokens -= 1.0;
  return true;
}

void FleetPlacer::AddOrder(OrderKind kind, const std::string& worker_id, const ModelKey& key,
                           std::string reason, const ModelTotals& totals, PlanContext* context) {
  Ledger& ledger = ledgers_[worker_id];
  if (key.adapter.empty()) {
    // Later decisions of this run take the order into account.
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
  planned.source = SourceOf(planned.order);
  ledger.in_flight = planned.order;
  if (kind == OrderKind::kUnload) {
    updates_.push_back({worker_id, key.model, key.adapter, ReplicaState::kLeaving, 0});
  }
  context->orders.push_back(std::move(planned));
}

std::string FleetPlacer::SourceOf(const WorkerOrder& order) const {
  const auto load = ordered_loads_.find({order.worker_id, order.model});
  if (order.kind != OrderKind::kLoad || !order.adapter.empty() || load == ordered_loads_.end()) {
    return {};
  }
  return load->second.from_store ? "store" : "copy";
}

std::vector<ReplicaUpdate> FleetPlacer::TakeUpdates(absl::Time now) {
  FinishAdapters(now);
  return std::exchange(updates_, {});
}

absl::Time FleetPlacer::NextDue(absl::Time now) const {
  absl::Time due = demand_waits_ ? now + absl::Milliseconds(100) : absl::InfiniteFuture();
  for (const auto& [id, ledger] : ledgers_) {
    due = std::min(due, ledger.poll_at);
    if (ledger.model_load.has_value()) {
      due = std::min(due, ledger.model_load->next_poll);
    }
    if (ledger.model_unload.has_value()) {
      due = std::min(due, ledger.model_unload->next_poll);
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

std::map<std::string, std::uint64_t> FleetPlacer::IncludedReports(absl::Time now) const {
  std::map<std::string, std::uint64_t> numbers;
  for (const auto& [node, known] : reports_) {
    if (now - known.received <= settings_.report_lifetime) {
      numbers[node] = known.report.number;
    }
  }
  return numbers;
}

}  // namespace hingespan::gateway
