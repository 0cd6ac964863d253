// A node's part in placement: it reports what its callers ask for to the holder of the placement
// lease, takes the holder's news of replicas, and, while it holds the lease itself, orders loads
// and unloads.
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
#include "hingespan/fleet/shared_reading.h"
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
  // Of this node's datagrams, and where it serves copies of the store's tables.
  std::string address;
  std::string copies_address;
  LeaseSettings lease;
  FleetPlacerSettings placer;
  // The table of this product's own rows in the shared store.
  std::string table = "hingespan";
  absl::Duration store_interval = absl::Seconds(1);
  // Nodes that don't read the store themselves look at a reader's copy of the table only so often,
  // and learn of the holder from its news.
  absl::Duration relaxed_store_interval = absl::Seconds(6);
  // The holder, which renews without reading, looks for new nodes each so many renewals.
  int renewals_between_reads = 5;
  absl::Duration load_news_interval = absl::Milliseconds(300);
  // Added to it for each node: what the holder sends grows no faster than with the fleet.
  absl::Duration load_news_each_node = absl::Milliseconds(10);
  // How long a node with a narrower link than another lets that one acquire the lease first.
  absl::Duration narrow_link_wait = absl::Seconds(2);
  absl::Duration report_interval = absl::Milliseconds(400);
  absl::Duration waiting_report_interval = absl::Milliseconds(150);
  absl::Duration least_placement_interval = absl::Milliseconds(8);
  // A process that did not run for this long may have lost its lease meanwhile.
  absl::Duration pause_limit = absl::Milliseconds(1200);
};

struct FleetCoordinatorParts {
  EventLoop* loop = nullptr;
  SharedStore* store = nullptr;
  WorkerControl* control = nullptr;
  WorkerDirectory* workers = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
  // Whether this node reads the store for itself, and not another node's copy.
  std::function<bool()> reads_store;
  // Whether other nodes read from this one.
  std::function<bool()> reads_for_others;
  // Sends a datagram to a node's address.
  std::function<void(const std::string& address, absl::string_view bytes)> send;
  // What callers of this node ask for and what it runs, for a report.
  std::function<void(DemandReport*)> fill_report;
  // Replicas or loads have changed.
  std::function<void()> on_news;
  // All nodes of the fleet, by a read that was begun at `asked`.
  std::function<void(const std::vector<FleetNode>& nodes, absl::Time asked)> on_nodes;
};

// Not thread-safe; lives on its loop.
class FleetCoordinator {
 public:
  FleetCoordinator(FleetCoordinatorSettings settings, FleetCoordinatorParts parts);

  void Start();
  // Acquires and renews no more; takes its own row away, while the loop runs.
  void Stop();
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  // A request began to wait for a replica that is not there.
  void DemandWaits();
  // Requests are running or came.
  void DemandChanged();
  void WorkersChanged();
  void OnDatagram(absl::string_view bytes);
  // When a replica is expected to be ready; InfiniteFuture: nothing is known.
  absl::Time ExpectedReady(const ModelKey& model) const;
  bool holds_lease() const { return lease_.holding(); }
  int nodes() const { return static_cast<int>(std::max<std::size_t>(1, peers_.size())); }

 private:
  void StoreTick();
  absl::Duration StoreInterval() const;
  absl::Duration LoadNewsInterval() const;
  void ReadTable();
  void OnTable(const StoreRows& rows, absl::Time asked);
  void WriteLease();
  void AnnounceNode();
  // Takes the row away that this process wrote, and no other.
  void WithdrawNode();
  // The row may be gone, or be an earlier process's, written late.
  void CheckOwnRow(const StoreRows& rows);
  void NoteLeaseChange(bool held_before);
  void ScheduleReport(absl::Duration within);
  void SendReport();
  void RunPlacement();
  void SchedulePlacement(absl::Time when);
  void SendOrder(const PlannedOrder& planned);
  void SendNews(std::vector<ReplicaNews> replicas);
  void ApplyNews(const PlacementNews& news);
  void PauseTick();
  void NotePause();

  FleetCoordinatorSettings settings_;
  FleetCoordinatorParts parts_;
  std::shared_ptr<const Configuration> configuration_;
  LeaseManager lease_;
  FleetPlacer placer_;
  // Of the lease's row, as it was read last.
  WeightStoreEstimate inherited_estimate_;
  std::unique_ptr<LoopTimer> store_timer_;
  std::unique_ptr<LoopTimer> report_timer_;
  std::unique_ptr<LoopTimer> placement_timer_;
  std::unique_ptr<LoopTimer> pause_timer_;
  std::unique_ptr<LoopTimer> withdraw_timer_;
  // Datagram addresses of the other nodes, by name.
  std::map<std::string, std::string> peers_;
  std::map<ModelKey, absl::Time> expected_ready_;
  std::map<std::string, int> own_running_reported_;
  std::map<std::string, int> own_tokens_reported_;
  absl::Time report_due_ = absl::InfiniteFuture();
  absl::Time placement_due_ = absl::InfiniteFuture();
  absl::Time last_placement_ = absl::InfinitePast();
  absl::Time last_load_news_ = absl::InfinitePast();
  absl::Time last_tick_;
  std::uint64_t report_number_ = 0;
  std::uint64_t news_number_ = 0;
  // Of the holder, as its news tell.
  std::string holder_address_;
  // Of the node's own row, as this process wrote it; 0: not known.
  std::uint64_t own_row_version_ = 0;
  int store_ticks_ = 0;
  std::uint64_t news_token_seen_ = 0;
  std::uint64_t news_number_seen_ = 0;
  bool announced_ = false;
  bool read_under_way_ = false;
  bool stopped_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_FLEET_COORDINATOR_H_
