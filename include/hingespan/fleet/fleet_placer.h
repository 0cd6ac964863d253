// Decides which worker loads or unloads which model or adapter, based on the demand of all nodes.
// Only the holder of the placement lease runs it.
//
// The placer keeps a ledger for each worker: the contents of its record and the order in flight. A
// worker has at most one unanswered order. After an order without an answer, nothing more is
// ordered there until the sequence in a worker report shows whether the order was taken.
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

// Weights of the placement decision, in requests. 0 or false disables a mechanism.
struct PlacementPolicy {
  // Additional value of a replica that was just loaded, so that the requests it was loaded for
  // reach it before it is unloaded.
  double fresh_replica_value = 5.0;
  // Cost of each second for which a load blocks requests for adapters.
  double blocked_adapter_cost = 0.3;
  // Time in seconds for which a replica's requests keep running after its unload is ordered.
  double drain_seconds = 2.5;
  // Prefers workers that have a copy of the model on disk or in memory.
  bool prefer_copies = true;
  // Announces when a load that can't start yet is expected to complete, for the requests that wait
  // for it.
  bool tell_expected_loads = true;
  // Starts fewer loads from the weight store and fewer further replicas while models wait for a
  // worker that has a copy of them and is busy with another order. Each such load keeps a worker
  // busy for long.
  bool yield_to_copies = true;
};

struct FleetPlacerSettings {
  PlacementPolicy policy;
  // Burst size of the token bucket for loads, on top of the rate of the weight store. A new holder
  // starts with an empty bucket, since its predecessor may just have ordered loads.
  double load_burst = 3.5;
  // Fraction of the weight store's rate that is used.
  double load_rate_fraction = 1.0;
  // Number of running and waiting requests per replica above which a model gets one more replica.
  double requests_for_each_replica = 7;
  // Time constant of the moving averages of request rates.
  absl::Duration rate_window = absl::Seconds(6);
  // Age up to which a demand report is counted.
  absl::Duration report_lifetime = absl::Seconds(2);
  // Interval at which the update about a loaded adapter is repeated while requests wait for it.
  absl::Duration update_repeat_interval = absl::Milliseconds(600);
  // Age up to which a replica has the additional value `fresh_replica_value`.
  absl::Duration fresh_replica_time = absl::Milliseconds(1000);
  WeightStoreLimitSettings weight_store;
};

// Order to send, with the reason for it.
struct PlannedOrder {
  WorkerOrder order;
  // Reason for the order, for the log.
  std::string reason;
  int waiting = 0;
  double rate = 0;
  // Source of the weights of a load: "store" or "copy". Empty for other orders.
  std::string source;
};

// Performs no I/O and reads no clock. Not thread-safe.
class FleetPlacer {
 public:
  explicit FleetPlacer(const FleetPlacerSettings& settings)
      : settings_(settings), weight_store_(settings.weight_store) {}

  // Starts a term as lease holder. The loads that the predecessor ordered last are unknown, so the
  // token bucket for loads starts empty. `inherited` is the predecessor's estimate of the weight
  // store.
  void Begin(const WeightStoreEstimate& inherited, absl::Time now);
  void OnReport(const DemandReport& report, absl::Time now);
  // Returns the orders that are due. `workers` holds the worker records known to this node.
  std::vector<PlannedOrder> Plan(const Configuration& configuration,
                                 const std::map<std::string, WorkerState>& workers, absl::Time now);
  void OnOutcome(const WorkerOrder& order, OrderOutcome outcome, absl::Time now);
  void OnWorkerReport(const std::string& worker_id, const WorkerReport& report, absl::Time now);

  // Returns the replica changes since the last call, to be sent to all nodes.
  std::vector<ReplicaUpdate> TakeUpdates(absl::Time now);
  // Returns the workers whose report is needed to settle the outcome of an order.
  std::vector<std::string> WorkersToPoll(absl::Time now);
  // Returns the time at which Plan should run again without another event; InfiniteFuture if it
  // need not.
  absl::Time NextDue(absl::Time now) const;
  // Returns the load of all nodes together at each worker.
  std::vector<WorkerLoad> TotalLoads(absl::Time now) const;
  // Number of the report of each node that TotalLoads includes.
  std::map<std::string, std::uint64_t> IncludedReports(absl::Time now) const;
  // Estimate of the weight store's capacity, and the loads from it that are in flight.
  const WeightStoreLimit& weight_store() const { return weight_store_; }

 private:
  struct ModelTotals {
    int waiting = 0;
    int running = 0;
    // Requests per second, and prompt tokens per second.
    double rate = 0;
    double token_rate = 0;
  };
  struct RateCounter {
    double rate = 0;
    double token_rate = 0;
    absl::Time updated;
  };
  // Decaying maximum of a model's running and waiting requests, kept after a sudden drop.
  struct Concurrency {
    double value = 0;
    absl::Time updated;
  };
  struct NodeReport {
    DemandReport report;
    absl::Time received;
  };
  // Accepted load of a model or adapter that is not known to have ended.
  struct RunningLoad {
    ModelKey key;
    absl::Time expected;
    absl::Time next_poll;
  };
  struct Ledger {
    std::string service;
    // Number of orders that the worker has taken, as its reports and answers show.
    std::uint64_t sequence = 0;
    std::map<std::string, std::set<std::string>> models;
    // True once a report has set `models`; until then they come from the worker's record.
    bool reported = false;
    // Version of the record that was processed last.
    std::uint64_t row_version = 0;
    std::optional<WorkerOrder> in_flight;
    // True while the sequence is unknown: nothing is ordered until a report shows it.
    bool uncertain = true;
    std::optional<WorkerOrder> unresolved;
    absl::Time poll_at = absl::InfinitePast();
    std::optional<RunningLoad> model_load;
    std::optional<RunningLoad> model_unload;
    std::vector<RunningLoad> adapter_loads;
    std::map<ModelKey, absl::Time> loaded_at;
    absl::Time not_before = absl::InfinitePast();
    // Model for which an unload at this worker makes room.
    std::string reserved_for;
    absl::Time reserved_until = absl::InfinitePast();
    bool reserved_from_store = false;
    // True while the worker carries out an order that this holder did not send.
    bool busy_with_unknown_order = false;
  };
  struct BoundKey {
    std::string service;
    std::string software_version;
    ModelKey model;
    friend auto operator<=>(const BoundKey&, const BoundKey&) = default;
  };
  using TotalsByModel = std::map<std::pair<std::string, ModelKey>, ModelTotals>;
  // State of one run of Plan.
  struct PlanContext {
    const std::map<std::string, WorkerState>* workers = nullptr;
    TotalsByModel totals;
    // Totals over a model and all its adapters, and replicas that are there or on their way, by
    // service and model.
    std::map<std::pair<std::string, std::string>, ModelTotals> model_totals;
    std::map<std::pair<std::string, std::string>, int> replicas;
    // Requests per second for all adapters of a model together, by service and model.
    std::map<std::pair<std::string, std::string>, double> adapter_rates;
    // Running requests, by worker and model.
    std::map<std::pair<std::string, std::string>, int> running_at;
    // Workers that take requests and orders, as far as is known.
    std::set<std::string> usable;
    // Waiting requests that are bound to a software version, by service, version and model.
    std::map<BoundKey, ModelTotals> bound;
    // Software version of the workers to which the current step is limited; empty for all.
    std::string software_version;
    absl::Time now;
    std::vector<PlannedOrder> orders;
  };
  // Model that should get one more replica.
  struct ReplicaCandidate {
    const ModelSpecification* model = nullptr;
    ModelTotals totals;
    int replicas = 0;
    double gain = 0;
  };
  // Returns the fraction of the last seconds during which models waited for a busy worker with a
  // copy of them, 0 to 1.
  double CopyPressure(absl::Time now) const;
  void NoteCopyPressure(const std::vector<ReplicaCandidate>& waiting, const PlanContext& context);
  // Possible placement of a model or adapter at one worker.
  struct Placement {
    std::string worker_id;
    // Model or adapter to unload first; empty if there is room already.
    ModelKey victim;
    double cost = 0;
  };

  void SyncLedgers(const Configuration& configuration,
                   const std::map<std::string, WorkerState>& workers, absl::Time now);
  static void ApplyRecord(const WorkerState& worker, absl::Time now, Ledger* ledger);
  TotalsByModel Totals(absl::Time now);
  void PlanService(const Service& service, PlanContext* context);
  void PlanModels(const Service& service, PlanContext* context);
  std::vector<ReplicaCandidate> FindCandidates(const Service& service, const PlanContext& context);
  void PlanAdapters(const Service& service, PlanContext* context);
  // Plans replicas for requests that are bound to a software version none of whose workers holds
  // what they need.
  void PlanBound(const Service& service, PlanContext* context);
  // Returns whether the current step is limited to other workers than this one.
  static bool IsLeftOut(const std::string& worker_id, const PlanContext& context);
  // Returns whether a worker of the current step holds the model or is about to.
  bool AnyHolds(const Service& service, const std::string& model, const PlanContext& context) const;
  // Announces to all nodes when the models that requests wait for, and that no worker loads yet,
  // are expected.
  void AnnounceExpectedLoads(const Service& service, const std::vector<ReplicaCandidate>& waiting,
                             const PlanContext& context);
  // `worker_id` is empty while the worker is not chosen.
  void AnnounceExpected(const std::string& model, const std::string& worker_id, absl::Time expected,
                        absl::Time now);
  // Returns the times at which the slots of the weight store become free, in order, one entry per
  // slot.
  std::vector<absl::Time> StoreSlotFreeTimes(absl::Time now) const;
  // Returns the time at which a load from a worker's copy could be complete; InfiniteFuture if
  // there is no copy.
  absl::Time ExpectedFromCopy(const Service& service, const ModelSpecification& model,
                              const PlanContext& context) const;
  // Repeats the update about a loaded adapter that requests still wait for. The first update may
  // have been lost, and the worker's record does not show the adapter while the store is
  // unreachable.
  void RepeatAdapterUpdate(const Service& service, const ModelKey& key, absl::Time now);
  bool PlanReplica(const Service& service, const ModelSpecification& model,
                   const ModelTotals& totals, int replicas, PlanContext* context);
  void PlanAdapter(const Service& service, const ModelSpecification& model, const ModelKey& key,
                   const ModelTotals& totals, PlanContext* context);
  // If `store_has_capacity` is false, the weight store can't serve one more load, and only workers
  // with a copy are considered.
  std::optional<Placement> PlaceModel(const Service& service, const ModelSpecification& model,
                                      double max_cost, bool store_has_capacity,
                                      PlanContext* context) const;
  std::optional<Placement> PlaceAdapter(const Service& service, const ModelSpecification& model,
                                        const ModelKey& key, PlanContext* context) const;
  // Returns the decaying maximum of the running and waiting requests.
  double RecentConcurrency(const Service& service, const std::string& model,
                           const ModelTotals& totals, absl::Time now);
  static absl::Duration LoadTime(const ModelSpecification& model, const WorkerRecord& record);
  static bool HasCopy(const std::string& model, const WorkerRecord& record);
  // Returns the number of loads from the weight store that are planned and not yet accepted by
  // their workers.
  int PlannedStoreLoads(absl::Time now) const;
  bool MayTakeOrder(const std::string& worker_id, const Service& service,
                    const PlanContext& context) const;
  double UsedMemory(const Service& service, const Ledger& ledger) const;
  static int UsedAdapterSlots(const Ledger& ledger);
  void FillContext(PlanContext* context) const;
  // Returns the models of one worker that are there or on their way.
  static std::set<std::string> ModelsOf(const Ledger& ledger, absl::Time now);
  // Returns the number of replicas of a model that are there or on their way.
  static int CountReplicas(const Service& service, const std::string& model,
                           const PlanContext& context);
  int CountAdapterReplicas(const Service& service, const ModelKey& key,
                           const PlanContext& context) const;
  static ModelTotals TotalsOfModel(const Service& service, const std::string& model,
                                   const PlanContext& context);
  // Returns the cost of a load for the adapters of the worker's models: none can be loaded while it
  // runs.
  double BlockedAdapterCost(const Ledger& ledger, absl::Duration load_time,
                            const PlanContext& context) const;
  // Returns the number of replicas that a model's requests keep fully occupied.
  static double ReplicasFilled(const Service& service, const ModelTotals& totals);
  // Returns the number of requests that this many replicas will not serve in time before a further
  // replica can be loaded.
  static double LateRequests(const Service& service, const ModelTotals& totals, int replicas);
  // Returns the value of one more replica, in requests.
  static double GainOfReplica(const Service& service, const ModelTotals& totals, int replicas);
  // Returns the cost of unloading a replica, in requests.
  double ReplicaValue(const Service& service, const Ledger& ledger, const std::string& model,
                      const PlanContext& context) const;
  void AddOrder(OrderKind kind, const std::string& worker_id, const ModelKey& key,
                std::string reason, const ModelTotals& totals, PlanContext* context);
  // Returns "store" or "copy" for a load of a model, else an empty string.
  std::string SourceOf(const WorkerOrder& order) const;
  bool TakeLoadToken(const Service& service, absl::Time now);
  // `timed` is true if the worker's answer shows when it took the order.
  void OnAccepted(const WorkerOrder& order, bool timed, Ledger* ledger, absl::Time now);
  // Records that the load is still running, and announces a new expected time if it is overdue.
  void NoteStillLoading(const std::string& worker_id, Ledger* ledger, absl::Time now);
  void FinishLoads(const std::string& worker_id, Ledger* ledger, absl::Time now);
  static void FinishUnload(const WorkerReport& report, Ledger* ledger, absl::Time now);
  void FinishAdapters(absl::Time now);
  static void AddPendingAdapters(const WorkerReport& report, Ledger* ledger, absl::Time now);

  FleetPlacerSettings settings_;
  std::map<std::string, Ledger> ledgers_;
  std::map<std::string, NodeReport> reports_;
  std::map<ModelKey, absl::Time> adapter_update_times_;
  // Last announced expectation of a model that waits for its load.
  struct AnnouncedExpectation {
    absl::Time expected;
    absl::Time announced_at;
  };
  std::map<std::string, AnnouncedExpectation> announced_expectations_;
  std::map<std::pair<std::string, ModelKey>, RateCounter> rates_;
  std::map<std::pair<std::string, std::string>, Concurrency> concurrency_;
  std::map<std::string, double> load_tokens_;
  std::map<std::string, absl::Time> load_tokens_updated_;
  std::vector<ReplicaUpdate> updates_;
  struct OrderedLoad {
    // Duration of the load at full speed.
    absl::Duration full_speed;
    bool from_store = false;
  };
  // Loads by worker and model, as of the order.
  std::map<std::pair<std::string, std::string>, OrderedLoad> ordered_loads_;
  WeightStoreLimit weight_store_;
  absl::Time began_;
  bool demand_waits_ = false;
  double copy_pressure_ = 0;
  absl::Time copy_pressure_updated_ = absl::InfinitePast();
  // True if a model with a copy was waiting at the last run of Plan.
  bool copy_waits_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_FLEET_PLACER_H_
