// An emulator and nodes as real processes, an operator's writes, callers in parallel, and the
// checks that every failure test ends with. Verdicts come from the engines' own log and the
// callers' counts.
#ifndef HINGESPAN_TESTS_FAILURE_TEST_CLUSTER_H_
#define HINGESPAN_TESTS_FAILURE_TEST_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/backing/http_table_service.h"
#include "hingespan/common/ids.h"
#include "hingespan/table/records.h"
#include "load/admin_client.h"
#include "load/caller_client.h"
#include "load/local_cluster.h"

namespace hingespan::failure {

// Bound of every wait for an event; far above what any of them takes.
inline constexpr absl::Duration kWaitBound = absl::Seconds(30);

struct TestClusterOptions {
  int nodes_per_zone = 2;
  int zone_count = 3;
  std::vector<SettingOverride> node_overrides;
  std::vector<SettingOverride> emulator_overrides;
};

// A call and how it ended.
struct FinishedCall {
  load::CallerRequest request;
  load::CallerResult result;
};

// Calls that run in the background, each in its own thread.
class CallGroup {
 public:
  CallGroup() = default;
  ~CallGroup() { Join(); }
  CallGroup(const CallGroup&) = delete;
  CallGroup& operator=(const CallGroup&) = delete;

  void Add(const std::string& address, const load::CallerRequest& request);
  // Waits for all and returns them.
  std::vector<FinishedCall> Finish();

 private:
  void Join();

  std::vector<std::thread> threads_;
  absl::Mutex mutex_;
  std::vector<FinishedCall> finished_ ABSL_GUARDED_BY(mutex_);
};

class TestCluster {
 public:
  explicit TestCluster(TestClusterOptions options = {});

  load::LocalCluster& processes() { return *processes_; }
  const load::AdminClient& admin() const { return *admin_; }
  std::string Address(const std::string& node) const;
  std::vector<std::string> Addresses() const { return processes_->HttpAddresses(); }

  // Writes the row (as the only operator) and waits until every node that runs knows it.
  void PutRow(const ModelRow& row);
  // The same without the wait.
  TableRevision WriteRow(const ModelRow& row);
  void WaitForRow(const std::string& node, const ModelName& model);
  // Waits until the platform's grant record of the model satisfies `condition`.
  void WaitForGrant(const ModelName& model,
                    const std::function<bool(const GrantRecord&)>& condition);
  GrantRecord ReadGrant(const ModelName& model);
  // Node that keeps the worker, as the nodes of its zone say; waits until they agree.
  std::string KeeperOf(const std::string& worker);
  // The latest entry of the engines' log so far.
  std::uint64_t LogEnd() const;
  load::LogEntry WaitForLog(const load::LogFilter& filter) const;
  // As WaitForLog, for what need not come in each run: empty when it has not come by the bound.
  std::optional<load::LogEntry> AwaitLog(const load::LogFilter& filter, absl::Duration bound) const;
  // Waits until `condition` holds, looking again after every try.
  static bool WaitUntil(const std::function<bool()>& condition);
  std::string Explain(const std::string& node, const ModelName& model) const;
  // Whether the node has heard that the worker leaves.
  bool HasHeardOfLeave(const std::string& node, const std::string& worker) const;
  // Waits until `replicas` slots of the model are granted and every node knows of them.
  void WaitForSlots(const std::string& model, std::size_t replicas);
  // Calls until the model answers (its first grant may still be on its way).
  void ServeOnce(const std::string& node, const std::string& model) const;

  load::CallerResult Call(const std::string& node, const load::CallerRequest& request) const;
  HttpTableService& table() { return *table_; }

 private:
  std::unique_ptr<load::LocalCluster> processes_;
  std::unique_ptr<load::AdminClient> admin_;
  std::unique_ptr<HttpTableService> table_;
};

// A 4 GiB model that waits up to 20 s.
ModelRow MakeRow(const std::string& name, std::uint32_t max_replicas);
// A repeatable streaming request of 8 tokens.
load::CallerRequest MakeCall(const std::string& model);
// A request that may run once only, with a fresh key that carries its time.
load::CallerRequest MakeOnceCall(const std::string& model);

// The checks below are doctest CHECKs.

// No engine ever held more than its memory, no model more replicas than `limits` allows.
void CheckLimits(const TestCluster& cluster, const std::map<std::string, std::uint64_t>& limits);
// Every call ended explicitly, within its time limit; every answer is whole and its own.
void CheckCallsEnded(const std::vector<FinishedCall>& calls);
// No key ran twice; what was refused as not run did not run.
void CheckRuns(const TestCluster& cluster, const std::vector<FinishedCall>& calls);

}  // namespace hingespan::failure

#endif  // HINGESPAN_TESTS_FAILURE_TEST_CLUSTER_H_
