// Reads the shared store on behalf of a large fleet. One node of each zone reads the store, and the
// others read from that node or, when it fails, from its substitute. A node that gets no fresh
// answer from either reads the store itself.
//
// What counts is the age of what a node knows, not that some node answers it: each answer tells
// when the store had the rows, and a node reads the store itself before what it knows is older than
// a change may take to reach it.
#ifndef HINGESPAN_FLEET_SHARED_READING_H_
#define HINGESPAN_FLEET_SHARED_READING_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "hingespan/http/http_server.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/shared_store.h"
#include "hingespan/serving/table_copy.h"

namespace hingespan::gateway {

struct SharedReadingSettings {
  std::string node;
  std::string zone;
  // Zones with at most this many nodes have no readers: each node reads the store itself.
  std::size_t max_nodes_without_readers = 6;
  // Number of reader candidates in each zone. The first reads; the next replaces it while it fails.
  std::size_t readers_per_zone = 2;
  // Time for which a reader holds a watch request open, and the additional time after which the
  // requester gives up.
  absl::Duration peer_wait = absl::Seconds(1);
  absl::Duration peer_slack = absl::Milliseconds(400);
  // Timeout of a reader's own watch on the store. Shorter if the bound asks for it.
  absl::Duration reader_wait = absl::Seconds(1.5);
  // Delay after the last changes of a table before a reader watches it again. Each call to the
  // store has a price. Shorter if the bound asks for it.
  absl::Duration reader_pause = absl::Milliseconds(400);
  // Time within which a change in the store must reach every node.
  absl::Duration bound = absl::Seconds(2);
  // Time that a direct read of the store may take.
  absl::Duration direct_read = absl::Milliseconds(300);
  // Time for which a reader that failed is not asked again.
  absl::Duration avoid_reader = absl::Seconds(4);
  // Changes that arrive within this interval are sent together.
  absl::Duration batch_interval = absl::Milliseconds(150);
};

// Another node, as described by its row.
struct FleetNode {
  std::string name;
  std::string zone;
  // Address at which it serves its copies, "ip:port".
  std::string address;
  // Bandwidth of its link. Nodes with wide links become readers first, since a reader sends each
  // configuration to many nodes at once.
  double link_mbps = 0;
  // Address at which it takes forwarded requests, "ip:port"; empty if it takes none.
  std::string forward_address;
  // Address at which it receives datagrams, "ip:port".
  std::string datagram_address;
  // Identifies its process.
  std::uint64_t incarnation = 0;
};

// Not thread-safe; runs on the thread of its event loop.
class SharedReading : public SharedStore {
 public:
  SharedReading(EventLoop* loop, SharedStore* store, HttpClient* client, DecisionLog* log,
                SharedReadingSettings settings);
  ~SharedReading() override;

  // Enables copies of this table, which are kept while this node is a reader.
  void Share(const std::string& table, TableCopy::SameMeaning same_meaning);
  // Starts serving copies to other nodes at this address.
  std::error_code Listen(const std::string& address);
  std::string address() const { return server_.address(); }
  void SetNodes(const std::vector<FleetNode>& nodes);
  // True if this node reads the store itself.
  bool reads_itself() const { return reads_itself_; }
  // True if other nodes read from this node.
  bool reads_for_others() const { return reads_itself_ && !readers_.empty(); }

  void Read(const std::string& table, RowsCallback callback) override;
  void Watch(const std::string& table, std::uint64_t after, absl::Duration wait,
             RowsCallback callback) override;
  void Commit(std::vector<RowCondition> conditions, std::vector<RowWrite> writes,
              CommitCallback callback) override;

 private:
  struct PendingWatch;
  class PeerCall;
  // Times that follow from the bound.
  struct Ages {
    // Age of what this node knows at which it reads the store itself.
    absl::Duration direct;
    // Age above which a copy is stale.
    absl::Duration stale;
    absl::Duration reader_wait;
    absl::Duration reader_pause;
    // False if the bound leaves no time for a way through another node.
    bool allow_readers = true;
  };
  static Ages AgesOf(const SharedReadingSettings& settings);

  void OnRequest(const std::shared_ptr<ServerExchange>& exchange);
  void Answer(const PendingWatch& watch);
  void AnswerPendingWatches(const std::string& table);
  void ScheduleAnswers(const std::string& table);
  void ReadDirectly(const std::string& table, RowsCallback callback);
  void WatchDirectly(const std::string& table, std::uint64_t after, absl::Duration wait,
                     RowsCallback callback);
  // Watches the store as a reader: like WatchDirectly, but not before `reader_pause` is over.
  void WatchAsReader(const std::string& table, std::uint64_t after, RowsCallback callback);
  // Time as of which the store had these rows.
  absl::Time AsOf(const StoreRows& rows) const;
  // Time after which this node reads the table itself; infinite while it has no copy.
  absl::Duration TimeLeft(const std::string& table) const;
  // Applies an answer of another node's copy to this node's copy, so that it has no gaps when this
  // node becomes a reader.
  void ApplyPeerAnswer(const std::string& table, const StoreRows& rows, bool snapshot);
  // Returns the reader to ask; null if there is none.
  const FleetNode* ChooseReader() const;
  void Avoid(const std::string& node, const std::string& why);

  EventLoop* loop_;
  SharedStore* store_;
  HttpClient* client_;
  DecisionLog* log_;
  SharedReadingSettings settings_;
  Ages ages_;
  HttpServer server_;
  std::map<std::string, TableCopy> copies_;
  std::vector<FleetNode> readers_;
  std::map<std::string, absl::Time> avoided_until_;
  std::list<PendingWatch> pending_watches_;
  std::map<std::string, std::unique_ptr<LoopTimer>> batch_timers_;
  std::map<std::string, bool> batching_;
  // Time of the last changes of each table, and the timers of watches that wait for `reader_pause`
  // to end.
  std::map<std::string, absl::Time> changed_at_;
  std::map<std::string, std::unique_ptr<LoopTimer>> pause_timers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool reads_itself_ = true;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_SHARED_READING_H_
