// Simulates two zones, three nodes, three workers, a transactional platform and an unreliable
// network between them, driven by a schedule of choices. Nodes 1 and 2 both believe that they place
// every model, and both keep the workers of zone 1.
#ifndef HINGESPAN_TESTS_PLACEMENT_TEST_WORLD_H_
#define HINGESPAN_TESTS_PLACEMENT_TEST_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "hingespan/grant/grant_manager.h"
#include "hingespan/placement/worker_keeper.h"
#include "hingespan/table/record_store.h"
#include "tests/placement/test_engine.h"

namespace hingespan {

// Simulated table service: the current value of every key, and the order of changes.
class TestPlatform {
 public:
  TransactionResult Commit(const Transaction& transaction);
  void Put(const Record& record, const std::string& key);
  void Delete(const std::string& key);
  // Brings a node's replica of the records up to date.
  void CopyTo(RecordStore* store) const;
  RowPointer Row(const std::string& model) const { return store_.FindRow(ModelName(model)); }
  GrantPointer Grant(const std::string& model) const { return store_.FindGrant(ModelName(model)); }

 private:
  void Apply(std::vector<RecordChange> changes);

  TableRevision revision_;
  std::vector<RecordChange> log_;
  RecordStore store_;
};

struct TestClusterOptions {
  GrantOptions grant;
  KeeperOptions keeper;
  // Enables lost, duplicated and late deliveries, restarts and edits.
  bool faults = true;
  // Also checks the records whose inconsistency precedes a violation: ledgers against engines,
  // slots against limits.
  bool check_records = true;
};

class TestCluster {
 public:
  explicit TestCluster(TestClusterOptions options);

  // Runs one step of the schedule; every choice is valid.
  void Step(std::uint32_t choice);
  // Ends the faults and runs until all started operations should have completed.
  void Settle();
  // Returns a description of the current violation, or an empty string.
  std::string Violation();
  // To be called after Settle. Returns a description of an operation that has not completed, or an
  // empty string.
  std::string Unsettled() const;
  // Returns the number of replicas over all engines, including draining ones.
  std::uint32_t LoadedReplicas(const std::string& model) const;

  TestPlatform platform;
  std::map<std::string, TestEngine> engines;
  int loads_applied = 0;

 private:
  struct Node {
    NodeId id;
    ZoneId zone;
    std::unique_ptr<RecordStore> store;
    std::unique_ptr<GrantManager> grants;
    std::map<std::string, std::unique_ptr<WorkerKeeper>> keepers;
    std::uint64_t instance = 0;
    bool is_placer = true;
  };
  struct InFlightMessage {
    std::size_t to = 0;
    std::size_t from = 0;
    Message message;
  };
  template <typename T>
  struct InFlightCall {
    std::size_t node = 0;
    std::uint64_t instance = 0;
    T call;
  };

  void StartNode(std::size_t index);
  void TickNode(std::size_t index);
  void Collect(std::size_t index, Outbox* outbox);
  void Deliver(const InFlightMessage& message);
  void ApplyEngineCall(const InFlightCall<EngineCall>& call, bool answer);
  void ApplyPlatformCall(const InFlightCall<PlatformCall>& call, bool answer);
  void DeliverAnswer(const InFlightCall<EngineAnswer>& answer);
  void DeliverAnswer(const InFlightCall<PlatformAnswer>& answer);
  void EditRow(std::uint32_t choice);
  void RequestLoad(std::uint32_t choice);
  void ToggleRunning(std::uint32_t choice);
  std::vector<GrantTarget> TargetsOf(const Node& node) const;
  std::size_t KeeperNode(const WorkerId& worker, std::uint32_t choice) const;
  void UpdateReplicaLimits();

  TestClusterOptions options_;
  absl::Time now_ = absl::UnixEpoch();
  std::vector<Node> nodes_;
  std::vector<InFlightMessage> messages_;
  std::vector<InFlightCall<EngineCall>> engine_calls_;
  std::vector<InFlightCall<EngineAnswer>> engine_answers_;
  std::vector<InFlightCall<PlatformCall>> platform_calls_;
  std::vector<InFlightCall<PlatformAnswer>> platform_answers_;
  std::map<std::string, bool> leaving_;
  // Maximum number of replicas that may be loaded: the limit, or the slots left from an earlier,
  // higher limit.
  std::map<std::string, std::uint32_t> replica_limits_;
  std::map<std::string, GrantGeneration> generations_;
  std::uint64_t next_instance_ = 1;
  bool settling_ = false;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_PLACEMENT_TEST_WORLD_H_
