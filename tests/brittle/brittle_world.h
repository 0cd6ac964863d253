// Test fixture: many nodes before workers that fall over once all nodes together make them reject
// too many requests.
#ifndef TESTS_BRITTLE_BRITTLE_WORLD_H_
#define TESTS_BRITTLE_BRITTLE_WORLD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/quarantine/restarting_workers.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {

// Time after workers have said that they are brittle at which their queues shrink; a third of what
// the users' platform grants.
inline constexpr absl::Duration kNoticeTime = absl::Seconds(1);
// Load meanwhile, in parts of the capacity.
inline constexpr double kNoticeLoad = 0.3;

struct BrittleOptions {
  int nodes = 12;
  // Nodes that have a row in the store but do not run, as if all had just been killed.
  int gone_nodes = 0;
  int workers = 6;
  int slots = 4;
  // Number of requests that wait at a worker, before and while it is brittle.
  int queue = 12;
  int brittle_queue = 0;
  int survived_rejections = 3;
  absl::Duration run_time = absl::Milliseconds(100);
  // "plain" or "models".
  std::string service = "plain";
};

struct BrittleWorld : GatewayFixture {
  explicit BrittleWorld(BrittleOptions world_options);

  // Tells all nodes by their answers that the workers are brittle, then shortens the queues.
  void BeginBrittle();
  // Starts a node that gets requests like the others. `reader` replaces its reader of rows.
  void StartNode(const DeploymentReader* reader = nullptr);
  // Requests a second that the workers can serve.
  double Capacity() const;
  // Sends requests to random nodes for a while. `load` is their rate, in parts of the capacity.
  void SendFor(absl::Duration time, double load);
  // Sends one request to the node.
  void SendRequest(std::size_t node);
  bool AllEnded() const;

  // Workers that have fallen, and how many may.
  int falls() const { return static_cast<int>(restarting.crashes().size()); }
  int allowed_falls() const { return 2 + options.workers / 10; }
  int Rejections() const;
  // Numbers of requests sent since `first`, by status.
  std::map<int, int> Statuses(std::size_t first) const;
  double ServedShare(std::size_t first) const;
  std::string Outcomes(std::size_t first) const;
  // How nodes saw the workers that rejected their attempts, from their logs.
  std::string ViewsAtRejections() const;

  emulator::PlatformWorkerOptions WorkerOptions() const;

  BrittleOptions options;
  RestartingWorkers restarting;
  struct Call {
    absl::Time sent;
    std::size_t node = 0;
    std::unique_ptr<TestCall> call;
  };
  std::vector<Call> calls;
  bool brittle = false;
  bool short_queues = false;
  // State of Draw.
  std::uint64_t random = 88172645463325252ULL;
  std::uint64_t Draw();
};

}  // namespace hingespan::gateway

#endif  // TESTS_BRITTLE_BRITTLE_WORLD_H_
