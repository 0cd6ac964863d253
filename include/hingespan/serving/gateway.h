// Data path of one node: callers' connections, the request queue, the workers and the current
// configuration.
#ifndef HINGESPAN_SERVING_GATEWAY_H_
#define HINGESPAN_SERVING_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/fleet/fleet_coordinator.h"
#include "hingespan/fleet/peer_link.h"
#include "hingespan/fleet/quarantine_exchange.h"
#include "hingespan/fleet/quarantine_record.h"
#include "hingespan/fleet/shared_reading.h"
#include "hingespan/fleet/slot_exchange.h"
#include "hingespan/fleet/stream_archive.h"
#include "hingespan/fleet/stream_directory.h"
#include "hingespan/fleet/version_registry.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "hingespan/http/http_server.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/deployment_reader.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/gateway_settings.h"
#include "hingespan/serving/memory_plan.h"
#include "hingespan/serving/request_dialect.h"
#include "hingespan/serving/request_queue.h"
#include "hingespan/serving/request_relay.h"
#include "hingespan/serving/retry_budget.h"
#include "hingespan/serving/route_table.h"
#include "hingespan/serving/table_follower.h"
#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {

// Objects that the platform adapter provides. They must outlive the gateway.
struct GatewayParts {
  EventLoop* loop = nullptr;
  const RequestDialect* dialect = nullptr;
  const DeploymentReader* reader = nullptr;
  SharedStore* store = nullptr;
  WorkerControl* control = nullptr;
  HttpClient* client = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
  // Returns free pages of the heap to the system; may be null.
  std::function<void()> release_heap;
};

// Not thread-safe; used only on its event loop.
class Gateway : public RelayHost {
 public:
  Gateway(GatewaySettings settings, GatewayParts parts);
  ~Gateway() override;

  // Listens on the configured addresses and starts to follow the store.
  std::error_code Start();
  // Accepts new requests for a short while longer, completes those in flight, then calls `done`, at
  // the latest shortly before the configured stop time is over.
  void Stop(std::function<void()> done);

  bool ready() const;
  // Number of nodes that may hold a share of the retry budget; 0 if not known yet.
  int fleet_size();
  // Bytes of workers' answers that are not passed on yet.
  std::size_t kept_answer_bytes() const { return answer_memory_.used(); }
  std::string request_address() const { return requests_.address(); }
  std::string status_address() const { return status_.address(); }
  // Empty if no address is configured.
  std::string metrics_address() const { return metrics_.address(); }

  void Enqueue(const QueuePlace& place, std::shared_ptr<RequestRelay> request) override;
  void Dequeue(const QueuePlace& place) override;
  void ScheduleDispatch() override;
  void RunningChanged(const std::string& service, const ModelKey& model, int change) override;
  absl::Time ExpectedReady(const ModelKey& model,
                           const std::string& software_version) const override;
  void ExpectReturn(const std::string& service, const ModelKey& model,
                    const std::string& software_version, absl::Time at) override;
  absl::Time StopLimit() const override;
  void RecordStream(const std::string& id, const StreamSource& source,
                    absl::Duration lifetime) override;
  void FindStream(const std::string& id, const std::string& service,
                  std::function<void(std::optional<StreamSource>)> done) override;
  WorkerPath* PathOf(const std::string& service) override;
  void OnAttemptBroken(const std::string& worker_id, const std::string& service) override;
  void OnPathEvent(const std::string& service) override;
  void OnHeard(const std::string& service, const std::string& recipient) override;
  void OnRequestStarted(std::shared_ptr<RequestRelay> request) override;
  void OnRequestEnded(std::uint64_t number) override;

 private:
  struct DemandCounts {
    int running = 0;
    int arrived = 0;
    int arrived_tokens = 0;
  };

  void OnRequest(const std::shared_ptr<ServerExchange>& exchange);
  // Takes a request that another node has forwarded.
  void OnForwarded(const std::shared_ptr<ServerExchange>& exchange);
  // Refuses a request before a route was found, or because none was.
  void RefuseAtOnce(ServerExchange* exchange, int status, const char* why,
                    const HeaderFields& fields);
  // Returns why no new request is taken; null if one is.
  const char* RefusalReason() const;
  const Route* FindRoute(const RequestHead& head) const;
  void StartRequest(const std::shared_ptr<ServerExchange>& exchange, RequestOrigin origin,
                    const Route* route);
  // State of the path to the workers of one service.
  struct ServicePath {
    WorkerPath path;
    std::unique_ptr<LoopTimer> timer;
    // Id of the worker that was probed last.
    std::string last_probed;
  };
  ServicePath& EntryOf(const std::string& service);
  // Begins a round of probes if one is due.
  void CheckPath(const std::string& service);
  // Returns the addresses of the workers to probe next.
  std::vector<std::string> ProbeTargets(const std::string& service);
  void OnProbesEnded(const std::string& service, bool answered);
  void OnPathLost(const std::string& service);
  // Asks silent workers that have none of this node's attempts in flight whether they go on.
  void ProbeSilentWorkers();
  void OnQuarantine();
  // Tokens that an engine of the service has memory for; 0 if its workers are no engines.
  double TokenCapacity(const std::string& service) const;
  // Returns whether this node's orders could reach a worker.
  bool ReachesModelWorkers() const;
  ServerActivity Activity() const;
  // Sets the limits of callers' requests, and those of forwarded ones accordingly. `limits` has
  // those of the configuration.
  void SetRequestLimits(ServerLimits limits);
  void OnTurnedAway(const TurnedAwayClient& client);
  void OnStatusRequest(const std::shared_ptr<ServerExchange>& exchange);
  void OnMetricsRequest(const std::shared_ptr<ServerExchange>& exchange);
  void DispatchWaiting();
  void ApplyConfiguration(const StoreRow& row);
  void ApplyWorkerRow(const StoreRow& row);
  void ApplyWorkerSnapshot(const StoreRows& rows);
  // Reads all workers from the store itself, not from another node's copy.
  void RefreshWorkers(std::function<void(bool read)> done);
  void OnDatagram(absl::string_view bytes);
  // Notes the software versions of the workers that are present.
  void ObserveVersions();
  // Returns the only software version at which a stream of the service may have begun, if it is
  // known that there is only one.
  std::optional<std::string> OnlyVersion(const std::string& service) const;
  // Decides for which services the records of streams are sent to other nodes.
  void UpdateMixedServices();
  void FillReport(DemandReport* report);
  void CheckStopped();
  // Refuses requests of which only a part has come; returns their number.
  std::size_t RefuseUnfinished();
  void LogStop(absl::string_view event, std::string why);

  GatewaySettings settings_;
  GatewayParts parts_;
  RelayContext context_;
  MemoryPlan memory_plan_;
  MemoryBudget answer_memory_;
  std::shared_ptr<ClientMemory> client_memory_;
  WorkerDirectory workers_;
  // By service; entries are never removed.
  std::map<std::string, ServicePath> paths_;
  PeerDirectory peer_directory_;
  RetryBudget budget_;
  HttpServer requests_;
  // Takes requests that other nodes forward; listens only if an address is configured.
  HttpServer forwarded_;
  HttpServer status_;
  // Serves only metrics; listens only if an address is configured.
  HttpServer metrics_;
  PeerLink peers_;
  VersionRegistry versions_;
  StreamArchive archive_;
  StreamDirectory streams_;
  QuarantineRecord quarantine_record_;
  QuarantineExchange quarantine_;
  SlotExchange slots_;
  SharedReading reading_;
  std::unique_ptr<FleetCoordinator> fleet_;
  std::unique_ptr<TableFollower> configuration_follower_;
  std::unique_ptr<TableFollower> worker_follower_;
  RequestQueue queue_;
  // All requests that have not ended, by their number.
  std::map<std::uint64_t, std::shared_ptr<RequestRelay>> open_requests_;
  std::map<std::pair<std::string, ModelKey>, DemandCounts> demand_;
  // A caller that was asked to retry when its model is ready; counted until `until`, by when it
  // should have returned.
  struct ReturningCaller {
    std::pair<std::string, ModelKey> key;
    absl::Time until;
  };
  std::vector<ReturningCaller> returning_;
  // Of these callers, those that go on with a stream: by service, software version and model.
  struct ReturningStream {
    std::tuple<std::string, std::string, ModelKey> key;
    absl::Time until;
  };
  std::vector<ReturningStream> returning_streams_;
  std::shared_ptr<const RouteTable> routes_;
  std::unique_ptr<LoopTimer> stop_timer_;
  std::unique_ptr<LoopTimer> dispatch_timer_;
  std::unique_ptr<LoopTimer> silence_timer_;
  std::function<void()> on_stopped_;
  std::uint64_t next_number_ = 0;
  bool workers_known_ = false;
  bool dispatch_scheduled_ = false;
  bool stopping_ = false;
  absl::Time stop_began_;
  // Lets callbacks of the store detect that this object was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_GATEWAY_H_
