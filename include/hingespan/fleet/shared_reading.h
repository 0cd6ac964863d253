// Reading of the shared store for a large fleet: one node of each zone reads it, the others read
// from that one, or from its substitute when it fails. A node that gets no fresh answer from either
// reads by itself.
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
  // Zones with no more nodes than this have no readers: each node reads by itself.
  std::size_t most_nodes_without_readers = 6;
  // The first reads; the next takes its place while it fails.
  std::size_t readers_each_zone = 2;
  // How long a reader holds a question for changes, and what is added to it before it is given up.
  absl::Duration peer_wait = absl::Seconds(1);
  absl::Duration peer_slack = absl::Milliseconds(400);
  // How long a reader's own question to the store waits: its copy is no older than that.
  absl::Duration reader_wait = absl::Seconds(1.5);
  // A reader asks for changes of a table this long after the last ones came: each question is
  // priced.
  absl::Duration reader_pause = absl::Milliseconds(400);
  // A copy that the store has not confirmed for this long is not fresh.
  absl::Duration freshness = absl::Seconds(2.2);
  // A reader that failed is not asked for this long.
  absl::Duration avoid_reader = absl::Seconds(4);
  // Changes that come within this are told together.
  absl::Duration gather = absl::Milliseconds(150);
};

// Another node, as its row tells.
struct FleetNode {
  std::string name;
  std::string zone;
  // "ip:port" where it serves its copies.
  std::string address;
  // Of its link. A configuration goes from a reader to many nodes at once: wide links first.
  double link_mbps = 0;
};

// Not thread-safe; lives on its loop.
class SharedReading : public SharedStore {
 public:
  SharedReading(EventLoop* loop, SharedStore* store, HttpClient* client, DecisionLog* log,
                SharedReadingSettings settings);
  ~SharedReading() override;

  // Copies of this table are kept while this node is a reader.
  void Share(const std::string& table, TableCopy::SameMeaning same_meaning);
  // Serves copies to other nodes on this address.
  std::error_code Listen(const std::string& address);
  std::string address() const { return server_.address(); }
  void SetNodes(const std::vector<FleetNode>& nodes);
  // Whether this node reads the store for itself.
  bool reads_itself() const { return reads_itself_; }
  // Whether others read from this node.
  bool reads_for_others() const { return reads_itself_ && !readers_.empty(); }

  void Read(const std::string& table, RowsCallback callback) override;
  void Watch(const std::string& table, std::uint64_t after, absl::Duration wait,
             RowsCallback callback) override;
  void Commit(std::vector<RowCondition> conditions, std::vector<RowWrite> writes,
              CommitCallback callback) override;

 private:
  struct Question;
  class PeerCall;

  void OnRequest(const std::shared_ptr<ServerExchange>& exchange);
  void Answer(const Question& question);
  void AnswerWaiting(const std::string& table);
  void ScheduleAnswers(const std::string& table);
  void ReadDirectly(const std::string& table, RowsCallback callback);
  void WatchDirectly(const std::string& table, std::uint64_t after, absl::Duration wait,
                     RowsCallback callback);
  // The same for the others' sake: not before the pause is over.
  void WatchAsReader(const std::string& table, std::uint64_t after, RowsCallback callback);
  // What another node's copy told goes into this node's as well, so that it has no gaps when this
  // node becomes a reader.
  void TakePeerAnswer(const std::string& table, const StoreRows& rows, absl::Duration age,
                      bool snapshot);
  // Null: none that may be asked.
  const FleetNode* ChooseReader() const;
  void Avoid(const std::string& node, const std::string& why);

  EventLoop* loop_;
  SharedStore* store_;
  HttpClient* client_;
  DecisionLog* log_;
  SharedReadingSettings settings_;
  HttpServer server_;
  std::map<std::string, TableCopy> copies_;
  std::vector<FleetNode> readers_;
  std::map<std::string, absl::Time> avoided_until_;
  std::list<Question> questions_;
  std::map<std::string, std::unique_ptr<LoopTimer>> gather_timers_;
  std::map<std::string, bool> gathering_;
  // When changes of a table came last, and the questions that wait for the pause to be over.
  std::map<std::string, absl::Time> changed_at_;
  std::map<std::string, std::unique_ptr<LoopTimer>> pause_timers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool reads_itself_ = true;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_SHARED_READING_H_
