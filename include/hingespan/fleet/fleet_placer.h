// Decides which worker loads or unloads which model or adapter, from what all nodes ask for. Only
// the holder of the placement lease runs it.
//
// It keeps a ledger for each worker: what its record says, and an order under way. A worker has one
// unanswered order at a time; after an order without an answer nothing more is ordered there until
// a report's sequence proves what became of it.
#ifndef HINGESPAN_FLEET_FLEET_PLACER_H_
#define HINGESPAN_FLEET_FLEET_PLACER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/weight_store_limit.h"
#include "hingespan/serving/configuration.h"
#include "hingespan/serving/worker_control.h"
#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {

// What the placer weighs, in requests; 0 or false switches a mechanism off.
struct PlacementPolicy {
  // What a replica that was just loaded is worth more than others, so that those it was loaded for
  // reach it.
  double fresh_replica_value = 5.0;
  // Of each second that requests for adapters are held up by a load.
  double blocked_adapter_cost = 0.3;
  // How long the requests of a replica go on after it is to be unloaded, in seconds.
  double drain_seconds = 2.5;
  // Copies on workers' disks and in their memory are preferred.
  bool prefer_copies = true;
  // Requests that wait for a load which can't begin yet are told when it is expected.
  bool tell_expected_loads = true;
  // While models wait for a worker that has a copy of them and is busy with another order, fewer
  // loads from the weight store and fewer further replicas are begun: each keeps a worker busy for
  // long.
  bool yield_to_copies = true;
};

struct FleetPlacerSettings {
  PlacementPolicy policy;
  // Loads that may begin at once, on top of the rate of the weight store. A new holder begins with
  // none: its predecessor may just have ordered.
  double load_burst = 3.5;
  // Part of the weight store's rate that is used.
  double load_rate_part = 1.0;
  // A model gets one more replica when this many requests run or wait for each replica.
  double requests_for_each_replica = 7;
  // Rates of requests are averaged over about this long.
  absl::Duration rate_window = absl::Seconds(6);
  // A report counts for this long.
  absl::Duration report_lifetime = absl::Seconds(2);
  // News of an adapter that requests wait for are repeated this often.
  absl::Duration repeat_news = absl::Milliseconds(600);
  // A replica is not unloaded before it has been there for this long.
  absl::Duration least_residence = absl::Milliseconds(1000);
  WeightStoreLimitSettings weight_store;
};

// An order to send, and why.
struct PlannedOrder {
  WorkerOrder order;
  // For the log: what decided.
  std::string reason;
  int waiting = 0;
  double rate = 0;
  // Where a load takes the weights from: "store", "copy"; empty for other orders.
  std::string source;
};

// Pure; not thread-safe.
class FleetPlacer {
 public:
  explicit FleetPlacer(const FleetPlacerSettings& settings)
      : settings_(settings), weight_store_(settings.weight_store) {}

  // A new holder knows nothing of the loads its predecessor ordered last: it waits for the rate.
  // `inherited` is what that one had learned of the weight store.
  void Begin(const WeightStoreEstimate& inherited, absl::Time now);
  void OnReport(const DemandReport& report, absl::Time now);
  // Orders that are due. `workers` are the records as this node believes them.
  std::vector<PlannedOrder> Plan(const Configuration& configuration,
                                 const std::map<std::string, WorkerState>& workers, absl::Time now);
  void OnOutcome(const WorkerOrder& order, OrderOutcome outcome, absl::Time now);
  void OnWorkerReport(const std::string& worker_id, const WorkerReport& report, absl::Time now);

  // What changed about replicas since the last call, to be told to all nodes.
  std::vector<ReplicaNews> TakeNews(absl::Time now);
  // Workers whose report would settle what an order became.
  std::vector<std::string> WorkersToAsk(absl::Time now);
  // When Plan should run again without any event; InfiniteFuture: not needed.
  absl::Time NextDue(absl::Time now) const;
  // What all nodes together run at the workers.
  std::vector<WorkerLoad> TotalLoads(absl::Time now) const;
  // What was learned of the weight store, and the loads from it that are under way.
  const WeightStoreLimit& weight_store() const { return weight_store_; }

 private:
  struct ModelTotals {
    int waiting = 0;
    int running = 0;
    // Requests, and tokens of their prompts, a second.
    double rate = 0;
    double token_rate = 0;
  };
  struct RateCounter {
    double rate = 0;
    double token_rate = 0;
    absl::Time updated;
  };
  // Requests of a model that run or wait at once, remembered when they stop suddenly.
  struct Concurrency {
    double value = 0;
    absl::Time updated;
  };
  struct NodeReport {
    DemandReport report;
    absl::Time received;
  };
  // A model's or adapter's load that was accepted and is not known to have ended.
  struct RunningLoad {
    ModelKey key;
    absl::Time expected;
    absl::Time ask_again;
  };
  struct Ledger {
    std::string service;
    // Orders that the worker has taken; only reports tell it.
    std::uint64_t sequence = 0;
    std::map<std::string, std::set<std::string>> models;
    // Whether a report has told of `models`; before that its record has.
    bool reported = false;
    // Of the record that was last looked at.
    std::uint64_t row_version = 0;
    std::optional<WorkerOrder> unanswered;
    // The sequence is not known: nothing is ordered until a report shows it.
    bool uncertain = true;
    std::optional<WorkerOrder> without_answer;
    absl::Time ask_at = absl::InfinitePast();
    std::optional<RunningLoad> model_load;
    std::optional<RunningLoad> model_unload;
    std::vector<RunningLoad> adapter_loads;
    std::map<ModelKey, absl::Time> loaded_at;
    absl::Time not_before = absl::InfinitePast();
    // An unload there makes room for this model.
    std::string reserved_for;
    absl::Time reserved_until = absl::InfinitePast();
    bool reserved_from_store = false;
    // It carries out an order that this holder did not give.
    bool busy_with_unknown = false;
  };
  using TotalsByModel = std::map<std::pair<std::string, ModelKey>, ModelTotals>;
  // What one run of Plan works with.
  struct PlanContext {
    const std::map<std::string, WorkerState>* workers = nullptr;
    TotalsByModel totals;
    // By service and model: all its adapters together, and replicas that are there or on their way.
    std::map<std::pair<std::string, std::string>, ModelTotals> model_totals;
    std::map<std::pair<std::string, std::string>, int> replicas;
    // Requests for adapters of a model, all together, a second. By service and model.
    std::map<std::pair<std::string, std::string>, double> adapter_rates;
    // Requests that run, by worker and model.
    std::map<std::pair<std::string, std::string>, int> running_at;
    // Workers that take requests and orders, as far as is known.
    std::set<std::string> usable;
    absl::Time now;
    std::vector<PlannedOrder> orders;
  };
  // A model that should get one more replica.
  struct Wish {
    const ModelSpecification* model = nullptr;
    ModelTotals totals;
    int replicas = 0;
    double gain = 0;
  };
  // How much of the last seconds models waited for a busy worker with a copy of them, 0 to 1.
  double CopyPressure(absl::Time now) const;
  void NoteCopyPressure(const std::vector<Wish>& waiting, const PlanContext& context);
  // What would have to be done at one worker to place a model or adapter there.
  struct Placement {
    std::string worker_id;
    // Empty: there is room already.
    ModelKey victim;
    double cost = 0;
  };

  void SyncLedgers(const Configuration& configuration,
                   const std::map<std::string, WorkerState>& workers, absl::Time now);
  static void TakeRecord(const WorkerState& worker, absl::Time now, Ledger* ledger);
  TotalsByModel Totals(absl::Time now);
  void PlanService(const Service& service, PlanContext* context);
  void PlanModels(const Service& service, PlanContext* context);
  std::vector<Wish> Wishes(const Service& service, const PlanContext& context);
  void PlanAdapters(const Service& service, PlanContext* context);
  // Tells all nodes when models that requests wait for, and that no worker loads yet, are expected.
  void TellExpectedLoads(const Service& service, const std::vector<Wish>& waiting,
                         const PlanContext& context);
  void TellExpected(const std::string& model, absl::Time expected, absl::Time now);
  // When loads from the weight store that are under way end, in order: one entry for each place.
  std::vector<absl::Time> StorePlacesFree(absl::Time now) const;
  // When a copy at a worker could be loaded; InfiniteFuture: there is none.
  absl::Time ExpectedFromCopy(const Service& service, const ModelSpecification& model,
                              const PlanContext& context) const;
  // Requests wait for an adapter that is there: the news of it may be lost, and its worker's record
  // does not tell of it while the store is out of reach.
  void TellAdapterAgain(const Service& service, const ModelKey& key, absl::Time now);
  bool PlanReplica(const Service& service, const ModelSpecification& model,
                   const ModelTotals& totals, int replicas, PlanContext* context);
  void PlanAdapter(const Service& service, const ModelSpecification& model, const ModelKey& key,
                   const ModelTotals& totals, PlanContext* context);
  // `store_free`: whether the weight store bears one more load; else only copies at workers count.
  std::optional<Placement> PlaceModel(const Service& service, const ModelSpecification& model,
                                      double most_cost, bool store_free,
                                      PlanContext* context) const;
  std::optional<Placement> PlaceAdapter(const Service& service, const ModelSpecification& model,
                                        const ModelKey& key, PlanContext* context) const;
  // The greatest of what runs and waits now and of what did so lately.
  double RecentConcurrency(const Service& service, const std::string& model,
                           const ModelTotals& totals, absl::Time now);
  static absl::Duration LoadTime(const ModelSpecification& model, const WorkerRecord& record);
  static bool HasCopy(const std::string& model, const WorkerRecord& record);
  // Loads from the weight store that are decided and not yet taken by their workers.
  int PlannedStoreLoads(absl::Time now) const;
  bool MayTakeOrder(const std::string& worker_id, const Service& service,
                    const PlanContext& context) const;
  double UsedMemory(const Service& service, const Ledger& ledger) const;
  static int UsedAdapterSlots(const Ledger& ledger);
  void FillContext(PlanContext* context) const;
  // The models of one worker that are there or on their way.
  static std::set<std::string> ModelsOf(const Ledger& ledger, absl::Time now);
  // Replicas of a model that are there or on their way.
  static int CountReplicas(const Service& service, const std::string& model,
                           const PlanContext& context);
  int CountAdapterReplicas(const Service& service, const ModelKey& key,
                           const PlanContext& context) const;
  static ModelTotals TotalsOfModel(const Service& service, const std::string& model,
                                   const PlanContext& context);
  // What a load at a worker costs the adapters of the models there: none can be loaded meanwhile.
  double BlockedAdapterCost(const Ledger& ledger, absl::Duration load_time,
                            const PlanContext& context) const;
  // How many replicas a model's requests fill.
  static double ReplicasFilled(const Service& service, const ModelTotals& totals);
  // Requests that so many replicas will not serve in time before placement can do anything about
  // it.
  static double HarmedRequests(const Service& service, const ModelTotals& totals, int replicas);
  // What one more replica is worth, and what unloading one would cost, in requests.
  static double GainOfReplica(const Service& service, const ModelTotals& totals, int replicas);
  double ReplicaValue(const Service& service, const Ledger& ledger, const std::string& model,
                      const PlanContext& context) const;
  void Order(OrderKind kind, const std::string& worker_id, const ModelKey& key, std::string reason,
             const ModelTotals& totals, PlanContext* context);
  // "store" or "copy" for the load of a model, else empty.
  std::string SourceOf(const WorkerOrder& order) const;
  bool TakeLoadToken(const Service& service, absl::Time now);
  // `timed`: the worker's answer tells when it took the order.
  void Accepted(const WorkerOrder& order, bool timed, Ledger* ledger, absl::Time now);
  // The worker is still at a load: takes note, and tells when it is expected now.
  void NoteStillLoading(const std::string& worker_id, Ledger* ledger, absl::Time now);
  void FinishLoads(const std::string& worker_id, Ledger* ledger, absl::Time now);
  static void FinishUnload(const WorkerReport& report, Ledger* ledger, absl::Time now);
  void FinishAdapters(absl::Time now);
  static void TakePendingAdapters(const WorkerReport& report, Ledger* ledger, absl::Time now);

  FleetPlacerSettings settings_;
  std::map<std::string, Ledger> ledgers_;
  std::map<std::string, NodeReport> reports_;
  std::map<ModelKey, absl::Time> told_again_;
  // What was told last of models that wait for their load.
  struct ToldExpected {
    absl::Time expected;
    absl::Time told;
  };
  std::map<std::string, ToldExpected> told_expected_;
  std::map<std::pair<std::string, ModelKey>, RateCounter> rates_;
  std::map<std::pair<std::string, std::string>, Concurrency> concurrency_;
  std::map<std::string, double> load_tokens_;
  std::map<std::string, absl::Time> load_tokens_updated_;
  std::vector<ReplicaNews> news_;
  struct OrderedLoad {
    // When nothing slows it.
    absl::Duration full_speed;
    bool from_store = false;
  };
  // By worker and model, as of the order.
  std::map<std::pair<std::string, std::string>, OrderedLoad> ordered_loads_;
  WeightStoreLimit weight_store_;
  absl::Time began_;
  bool demand_waits_ = false;
  double copy_pressure_ = 0;
  absl::Time copy_pressure_updated_ = absl::InfinitePast();
  // Whether a model with a copy waited when that was last looked at.
  bool copy_waits_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_FLEET_PLACER_H_
