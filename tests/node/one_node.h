// A node with its HTTP front ends and in-process fakes of the engine, the table service and the
// machine list.
#ifndef HINGESPAN_TESTS_NODE_ONE_NODE_H_
#define HINGESPAN_TESTS_NODE_ONE_NODE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"
#include "hingespan/backing/table_service.h"
#include "hingespan/engine/engine_client.h"
#include "hingespan/net/http_server.h"
#include "hingespan/node/admin_front_end.h"
#include "hingespan/node/caller_front_end.h"
#include "hingespan/node/core_driver.h"
#include "hingespan/node/node_metrics.h"
#include "hingespan/node/request_forwarder.h"
#include "hingespan/table/records.h"
#include "hingespan/transport/udp_transport.h"

namespace hingespan {

// Time limit of every wait in these tests.
inline constexpr absl::Duration kTestLimit = absl::Seconds(30);

class MemoryTable : public TableService {
 public:
  void PutRow(const ModelRow& row);

  Result<TransactionResult> Commit(const Transaction& transaction, absl::Duration) override;
  Result<StoredValue> Read(const std::string& key, absl::Duration) override;
  Result<ValueChangePage> ReadChanges(TableRevision after, int limit, absl::Duration) override;
  Result<std::vector<StoredValue>> ReadHistory(const std::string& key, int,
                                               absl::Duration) override;

 private:
  StoredValue Find(const std::string& key) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  absl::Mutex mutex_;
  TableRevision latest_ ABSL_GUARDED_BY(mutex_);
  absl::btree_map<std::string, StoredValue> values_ ABSL_GUARDED_BY(mutex_);
};

// Machine list with the single worker w1.
class SingleWorkerMachineList : public MachineList {
 public:
  Result<MachineListing> Read(const ZoneId& zone, absl::Duration) override;
  Result<bool> Announce(const NodeMachine& machine, absl::Duration) override;
  Result<bool> AnnounceWorker(const WorkerId& worker, MachineState state, absl::Duration) override;

  // Nodes of other zones. Must be set before the first read.
  std::vector<NodeMachine> other_nodes;
  // Error that AnnounceWorker returns, if any. Must be set before the calls.
  Error announce_error = Error::kOk;

 private:
  absl::Mutex mutex_;
  MachineState worker_state_ ABSL_GUARDED_BY(mutex_) = MachineState::kLive;
};

// Fake engine that loads immediately and generates with a function set by the test.
class TestEngine : public EngineClient {
 public:
  using GenerateFunction =
      std::function<GenerationResult(const GenerationRequest&, absl::Time, const ChunkSink&)>;

  // Sets the generate function. The default returns an answer of two tokens.
  void SetGenerate(GenerateFunction generate);

  Result<EngineStatus> Fence(const std::string&, WorkerIncarnation, KeeperEpoch epoch,
                             absl::Duration) override;
  Result<EngineStatus> Status(const std::string&, absl::Duration) override;
  Result<EngineStatus> Load(const std::string&, const LoadOrder& order, absl::Duration) override;
  Result<EngineStatus> Unload(const std::string&, const UnloadOrder& order,
                              absl::Duration) override;
  GenerationResult Generate(const std::string&, const GenerationRequest& request,
                            absl::Time deadline, const ChunkSink& sink) override;
  void Cancel(const std::string&, const RequestId&) override {}

  static GenerationResult AnswerTwoTokens(const GenerationRequest& request, absl::Time deadline,
                                          const ChunkSink& sink);

 private:
  absl::Mutex mutex_;
  EngineStatus status_ ABSL_GUARDED_BY(mutex_);
  GenerateFunction generate_ ABSL_GUARDED_BY(mutex_) = &TestEngine::AnswerTwoTokens;
};

struct OneNodeOptions {
  std::string caller_key;
  std::string operator_key;
  std::string cluster_key;
  absl::Duration row_wait = kTestLimit;
  // HTTP addresses of the nodes n2, n3 and so on in zone z2. If set, only zone z2 serves "m".
  std::vector<std::string> other_zone;
};

// A node that serves the model "m" and is ready once constructed.
class OneNode {
 public:
  explicit OneNode(const OneNodeOptions& options = OneNodeOptions());
  ~OneNode();

  const std::string& address() const { return address_; }
  TestEngine& engine() { return engine_; }
  CoreDriver& driver() { return *driver_; }
  SingleWorkerMachineList& machines() { return machines_; }
  // Waits until `holds` returns true for the core. Returns false at the time limit.
  bool WaitUntil(const std::function<bool(const NodeCore&)>& holds);

  std::atomic<int> stops_begun = 0;

 private:
  bool KnowsOtherNodes(const NodeCore& core) const;

  MemoryTable table_;
  SingleWorkerMachineList machines_;
  TestEngine engine_;
  UdpTransport transport_;
  // Control address of the nodes of the other zone; it never answers.
  UdpTransport silent_transport_;
  HttpServer server_;
  RequestForwarder forwarder_;
  NodeMetrics metrics_;
  std::string address_;
  std::unique_ptr<CoreDriver> driver_;
  std::unique_ptr<CallerFrontEnd> callers_;
  std::unique_ptr<AdminFrontEnd> admin_;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_NODE_ONE_NODE_H_
