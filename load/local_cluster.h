// Local cluster of an emulator and the nodes of several zones as child processes on loopback, for
// experiments and for tests with real processes.
//
//   LocalClusterOptions options;
//   options.program_directory = HINGESPAN_PROGRAM_DIRECTORY;
//   options.zones = {{ZoneId("z1"), 2}, {ZoneId("z2"), 2}};
//   LocalCluster cluster(options);
//   const ClusterStatus status = cluster.Start();
//   REQUIRE_MESSAGE(status.ok(), status.detail);
//   cluster.Kill(NodeId("z1-n1"));
//   cluster.RestartNode(NodeId("z1-n1"));
#ifndef HINGESPAN_LOAD_LOCAL_CLUSTER_H_
#define HINGESPAN_LOAD_LOCAL_CLUSTER_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/result.h"
#include "hingespan/settings/node_settings.h"
#include "load/child_process.h"

namespace hingespan::load {

struct ZoneNodes {
  ZoneId zone;
  int nodes = 1;
};

struct LocalClusterOptions {
  // Directory that contains hingespand and hingespan-emulator.
  std::string program_directory;
  // Settings files; none if empty.
  std::string emulator_settings;
  std::string node_settings;
  // Overrides passed as --set KEY=VALUE flags.
  std::vector<SettingOverride> emulator_overrides;
  std::vector<SettingOverride> node_overrides;
  // Nodes are named <zone>-n1, <zone>-n2 and so on.
  std::vector<ZoneNodes> zones;
  // Timeouts for each process to listen and for each node to become ready.
  absl::Duration start_timeout = absl::Seconds(20);
  absl::Duration ready_timeout = absl::Seconds(30);
};

// An error with its description, which includes the last lines of the process's standard error.
struct ClusterStatus {
  std::error_code error;
  std::string detail;
  bool ok() const { return !error; }
};

// A node's process, with the addresses it reported on standard output.
struct RunningNode {
  NodeId node;
  ZoneId zone;
  std::string http_address;
  std::string control_address;
  pid_t pid = 0;
};

// Not thread-safe. Each wait has a timeout and ends on an event. The destructor kills all children
// by pid; they also die with this process.
class LocalCluster {
 public:
  explicit LocalCluster(LocalClusterOptions options);
  ~LocalCluster();
  LocalCluster(const LocalCluster&) = delete;
  LocalCluster& operator=(const LocalCluster&) = delete;

  // Starts the emulator and all nodes, and waits until every node is ready.
  ClusterStatus Start();
  // The two steps of Start, for use when something must be done between them, e.g. importing the
  // table.
  ClusterStatus StartEmulator();
  ClusterStatus StartNodes();
  // Starts an additional node, or one that has ended, and waits until it listens but not until it
  // is ready.
  ClusterStatus StartNode(const NodeId& node, const ZoneId& zone);
  ClusterStatus WaitUntilReady(const NodeId& node, absl::Duration timeout);

  // Sends SIGKILL and waits for the process to end.
  ClusterStatus Kill(const NodeId& node);
  // Sends SIGTERM and waits for the process to end; `exit` receives the exit status.
  ClusterStatus Stop(const NodeId& node, absl::Duration timeout, ExitStatus* exit);
  // Sends SIGTERM without waiting; WaitForExit waits for the end.
  ClusterStatus BeginStop(const NodeId& node);
  ClusterStatus WaitForExit(const NodeId& node, absl::Duration timeout, ExitStatus* exit);
  // Send SIGSTOP and SIGCONT.
  ClusterStatus Pause(const NodeId& node);
  ClusterStatus Continue(const NodeId& node);
  // Kills the node if it runs, starts it with the same name and zone on new ports, as a new
  // incarnation, and waits until it is ready.
  ClusterStatus RestartNode(const NodeId& node);

  // Returns the nodes whose process runs, in the order of their first start.
  std::vector<RunningNode> Nodes() const;
  // Returns kNotFound if no such node runs.
  Result<RunningNode> Node(const NodeId& node) const;
  std::vector<std::string> HttpAddresses() const;
  // Addresses ("ip:port") of the emulator's admin and platform services.
  const std::string& admin_address() const { return admin_address_; }
  std::string PlatformAddress(const ZoneId& zone) const;
  pid_t emulator_pid() const;
  // Returns the last part of a node's standard error; for an empty name, the emulator's.
  std::string ErrorTail(const NodeId& node) const;

 private:
  struct NodeProcess;
  struct ZoneAddress;

  NodeProcess* Find(const NodeId& node);
  const NodeProcess* Find(const NodeId& node) const;
  std::vector<std::string> NodeArguments(const NodeId& node, const ZoneId& zone) const;
  std::string ZoneNames() const;
  ClusterStatus Send(const NodeId& node, int signal);

  LocalClusterOptions options_;
  std::unique_ptr<ChildProcess> emulator_;
  std::string admin_address_;
  std::string platform_address_;
  std::vector<ZoneAddress> platform_by_zone_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_LOCAL_CLUSTER_H_
