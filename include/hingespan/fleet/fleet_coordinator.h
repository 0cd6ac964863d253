// Coordinates one node's part in replica placement. The node reports its callers' demand to the
// holder of the placement lease and applies the replica updates that the holder sends. While it
// holds the lease itself, it orders loads and unloads.
#ifndef HINGESPAN_FLEET_FLEET_COORDINATOR_H_
#define HINGESPAN_FLEET_FLEET_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/random.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/fleet_placer.h"
#include "hingespan/fleet/lease_manager.h"
#include "hingespan/fleet/node_liveness.h"
#include "hingespan/fleet/shared_reading.h"
#include "hingespan/fleet/version_registry.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/serving/configuration.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/shared_store.h"
#include "hingespan/serving/worker_control.h"
#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {

struct FleetCoordinatorSettings {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string zone;
  double link_mbps = 0;
  // Addresses at which this node receives datagrams, serves its copies of the store's tables and
  // takes requests that other nodes forward.
  std::string address;
  std::string copies_address;
  std::string forward_address;
  LeaseSettings lease;
  NodeLivenessSettings liveness;
  FleetPlacerSettings placer;
  // Table in the shared store that holds the rows of nodes and of the lease.
  std::string table = "hingespan";
  absl::Duration store_interval = absl::Seconds(1);
  // Interval at which nodes that don't read the store themselves read a reader's copy of the table.
  // Between reads they learn of the holder from its updates.
  absl::Duration relaxed_store_interval = absl::Seconds(6);
  // The holder renews without reading. It reads the table for new nodes once in this many renewals.
  int renewals_between_reads = 5;
  absl::Duration load_update_interval = absl::Milliseconds(300);
  // Added to load_update_interval for each node, so that the holder's traffic grows no faster than
  // linearly with the number of nodes.
  absl::Duration load_update_interval_per_node = absl::Milliseconds(10);
  // Extra wait before acquiring the lease of a node whose link is narrower than another node's.
  absl::Duration narrow_link_wait = absl::Seconds(2);
  absl::Duration report_interval = absl::Milliseconds(400);
  absl::Duration waiting_report_interval = absl::Milliseconds(150);
  absl::Duration min_placement_interval = absl::Milliseconds(8);
  // A process that did not run for this long may have lost its lease in the meantime.
  absl::Duration pause_limit = absl::Milliseconds(1200);
};

struct FleetCoordinatorParts {
  EventLoop* loop = nullptr;
  SharedStore* store = nullptr;
  WorkerControl* control = nullptr;
  WorkerDirectory* workers = nullptr;
  VersionRegistry* versions = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
  // Returns true if this node reads the store itself instead of another node's copy.
  std::function<bool()> reads_store;
  // Returns true if other nodes read copies from this node.
  std::function<bool()> reads_for_others;
  // Sends a datagram to a node's address.
  std::function<void(const std::string& address, absl::string_view bytes)> send;
  // Fills a report with the demand of this node's callers and the requests it runs at workers.
  std::function<void(DemandReport*)> fill_report;
  // Called after replicas or loads have changed.
  std::function<void()> on_update;
  // Called with the rows of the table after each read, when `on_nodes` was called.
  std::function<void(const StoreRows& rows)> on_table;
  // Called with all nodes of the fleet, as of a read that started at `read_started`.
  std::function<void(const std::vector<FleetNode>& nodes, absl::Time read_started)> on_nodes;
};

// Not thread-safe; runs on the thread of its event loop.
class FleetCoordinator {
 public:
  FleetCoordinator(FleetCoordinatorSettings settings, FleetCoordinatorParts parts);

  void Start();
  // Stops acquiring and renewing the lease and removes this node's row. The loop must keep running
  // until the removal has been confirmed.
  void Stop();
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  // Called when a request starts waiting for a replica that is not there.
  void DemandWaits();
  // Called when requests have arrived or are running.
  void DemandChanged();
  void WorkersChanged();
  // Called when this node has lost or regained its path to the workers.
  void SetWorkersReachable(bool reachable) { lease_.SetSuspended(!reachable); }
  void OnReport(const DemandReport& report);
  void OnUpdate(const PlacementUpdate& update);
  void OnProbe(const NodeProbe& probe);
  void OnProbeReply(const NodeProbeReply& reply);
  // Returns the time at which a replica is expected to be ready, at a worker of this software
  // version unless it is empty; InfiniteFuture if unknown.
  absl::Time ExpectedReady(const ModelKey& model, const std::string& software_version) const;
  bool holds_lease() const { return lease_.holding(); }
  int nodes() const { return static_cast<int>(std::max<std::size_t>(1, peers_.size())); }

 private:
  void StoreTick();
  absl::Duration StoreInterval() const;
  absl::Duration LoadUpdateInterval() const;
  void ReadTable();
  void OnTable(const StoreRows& rows, absl::Time read_started);
  void WriteLease();
  void ReadNodes(const StoreRows& rows, absl::Time read_started);
  // Takes over the fleet's record of software versions from the table's rows.
  void ReadVersions(const StoreRows& rows);
  // Brings the record up to date. Called only while holding the lease.
  void WriteVersions();
  void AnnounceNode();
  // Removes this node's row only if this process wrote it.
  void WithdrawNode();
  // Announces the node again if its row is missing or is a late write of an earlier process.
  void CheckOwnRow(const StoreRows& rows);
  // Probes the nodes that are silent, and removes the rows of lost ones. Called only while holding
  // the lease.
  void CheckNodes();
  void RemoveRow(const NodeRow& lost);
  void NoteLeaseChange(bool held_before);
  void ScheduleReport(absl::Duration within);
  void SendReport();
  void RunPlacement();
  void SchedulePlacement(absl::Time when);
  void SendOrder(const PlannedOrder& planned);
  void SendUpdates(std::vector<ReplicaUpdate> replicas);
  void ApplyUpdate(const PlacementUpdate& update);
  // Returns this node's own part of the update's loads, by worker.
  std::map<std::string, PeersLoad> OwnPart(const PlacementUpdate& update) const;
  void PauseTick();
  void NotePause();

  FleetCoordinatorSettings settings_;
  FleetCoordinatorParts parts_;
  std::shared_ptr<const Configuration> configuration_;
  LeaseManager lease_;
  NodeLiveness liveness_;
  FleetPlacer placer_;
  // Estimate in the lease row, as last read.
  WeightStoreEstimate inherited_estimate_;
  std::unique_ptr<LoopTimer> store_timer_;
  std::unique_ptr<LoopTimer> report_timer_;
  std::unique_ptr<LoopTimer> placement_timer_;
  std::unique_ptr<LoopTimer> pause_timer_;
  std::unique_ptr<LoopTimer> withdraw_timer_;
  // Datagram addresses of all nodes, by name.
  std::map<std::string, std::string> peers_;
  // By model and software version; the empty version has the latest expectation for any.
  std::map<std::pair<ModelKey, std::string>, absl::Time> expected_ready_;
  // This node's last reported loads by worker, by the number of the report.
  std::map<std::uint64_t, std::map<std::string, PeersLoad>> own_reports_;
  absl::Time report_due_ = absl::InfiniteFuture();
  absl::Time placement_due_ = absl::InfiniteFuture();
  absl::Time last_placement_ = absl::InfinitePast();
  absl::Time last_load_update_ = absl::InfinitePast();
  absl::Time last_tick_;
  std::uint64_t report_number_ = 0;
  std::uint64_t update_number_ = 0;
  // Datagram address of the lease holder, from the lease row or from its updates.
  std::string holder_address_;
  // Version of this node's row as written by this process; 0 if unknown.
  std::uint64_t own_row_version_ = 0;
  // Versions of the rows that record software versions, by service.
  std::map<std::string, std::uint64_t> version_rows_;
  bool version_write_in_flight_ = false;
  int store_ticks_ = 0;
  std::uint64_t last_update_token_ = 0;
  std::uint64_t last_update_number_ = 0;
  bool announced_ = false;
  bool read_in_flight_ = false;
  bool stopped_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_FLEET_COORDINATOR_H_
