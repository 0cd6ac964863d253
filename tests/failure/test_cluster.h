// Test cluster of an emulator and nodes as real processes, with operator writes, parallel callers
// and the checks that end every failure test. The checks use the engines' own log and the callers'
// counts.
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

// Timeout of every wait for an event, far above the time that any of them takes.
inline constexpr absl::Duration kWaitBound = absl::Seconds(30);

struct TestClusterOptions {
  int nodes_per_zone = 2;
  int zone_count = 3;
  std::vector<SettingOverride> node_overrides;
  std::vector<SettingOverride> emulator_overrides;
};

// A call and its result.
struct FinishedCall {
  load::CallerRequest request;
  load::CallerResult result;
};

// Calls that run in the background, each in its own thread. Not thread-safe.
class CallGroup {
 public:
  CallGroup() = default;
  ~CallGroup() { Join(); }
  CallGroup(const CallGroup&) = delete;
  CallGroup& operator=(const CallGroup&) = delete;

  void Add(const std::string& address, const load::CallerRequest& request);
  // Waits for all calls and returns them.
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

  // Writes the row (as the only operator) and waits until every running node knows it.
  void PutRow(const ModelRow& row);
  // Writes the row without waiting.
  TableRevision WriteRow(const ModelRow& row);
  void WaitForRow(const std::string& node, const ModelName& model);
  // Waits until the platform's grant record of the model satisfies `condition`.
  void WaitForGrant(const ModelName& model,
                    const std::function<bool(const GrantRecord&)>& condition);
  GrantRecord ReadGrant(const ModelName& model);
  // Returns the keeper of the worker; waits until the nodes of its zone agree on it.
  std::string KeeperOf(const std::string& worker);
  // Returns the number of the latest entry in the engines' log.
  std::uint64_t LogEnd() const;
  load::LogEntry WaitForLog(const load::LogFilter& filter) const;
  // Like WaitForLog, for an entry that doesn't occur in every run; empty if it is missing after
  // `bound`.
  std::optional<load::LogEntry> TryWaitForLog(const load::LogFilter& filter,
                                              absl::Duration bound) const;
  // Polls until `condition` holds; returns false after kWaitBound.
  static bool WaitUntil(const std::function<bool()>& condition);
  std::string Explain(const std::string& node, const ModelName& model) const;
  // Returns whether the node knows that the worker is leaving.
  bool KnowsLeave(const std::string& node, const std::string& worker) const;
  // Waits until `replicas` slots of the model are granted and every node knows them.
  void WaitForSlots(const std::string& model, std::size_t replicas);
  // Calls until the model answers; its first grant may not have arrived yet.
  void ServeOnce(const std::string& node, const std::string& model) const;

  load::CallerResult Call(const std::string& node, const load::CallerRequest& request) const;
  HttpTableService& table() { return *table_; }

 private:
  std::unique_ptr<load::LocalCluster> processes_;
  std::unique_ptr<load::AdminClient> admin_;
  std::unique_ptr<HttpTableService> table_;
};

// Returns a row of a 4 GiB model with a longest wait of 20 s.
ModelRow MakeRow(const std::string& name, std::uint32_t max_replicas);
// Returns a repeatable streaming request of 8 tokens.
load::CallerRequest MakeCall(const std::string& model);
// Returns a request that may run only once, with a new key that carries its time.
load::CallerRequest MakeOnceCall(const std::string& model);

// The checks below are doctest CHECKs.

// Checks that no engine ever exceeded its memory and no model the replicas that `limits` allows.
void CheckLimits(const TestCluster& cluster, const std::map<std::string, std::uint64_t>& limits);
// Checks that every call ended explicitly within its time limit, and that every answer is complete
// and belongs to its call.
void CheckCallsEnded(const std::vector<FinishedCall>& calls);
// Checks that no key ran twice and that no request that was refused as not run did run.
void CheckRuns(const TestCluster& cluster, const std::vector<FinishedCall>& calls);

}  // namespace hingespan::failure

#endif  // HINGESPAN_TESTS_FAILURE_TEST_CLUSTER_H_
