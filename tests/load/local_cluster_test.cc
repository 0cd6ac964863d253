#include "load/local_cluster.h"

#include <doctest/doctest.h>
#include <signal.h>

#include "absl/strings/match.h"
#include "hingespan/common/error.h"
#include "tests/load/fake_programs.h"

namespace hingespan::load {
namespace {

constexpr absl::Duration kBound = absl::Seconds(20);

constexpr char kEmulator[] =
    R"(echo '{"event":"listening","platform":"127.0.0.1:1","platform_by_zone":{"z2":"127.0.0.1:2"},"admin":"127.0.0.1:3"}'
exec sleep 60)";

// Prints its arguments to standard error, where a test can read them.
constexpr char kNode[] =
    R"(trap 'exit 0' TERM
echo "$@" >&2
echo '{"event":"listening","http":"127.0.0.1:4","control":"127.0.0.1:5"}'
echo '{"event":"ready"}'
while true; do sleep 0.02; done)";

LocalClusterOptions Options(const FakePrograms& programs) {
  LocalClusterOptions options;
  options.program_directory = programs.directory();
  options.zones = {{ZoneId("z1"), 2}, {ZoneId("z2"), 1}};
  options.node_overrides = {{"keep_warm.mode", "always"}};
  return options;
}

TEST_CASE("all nodes start with their identity, seeds and settings") {
  FakePrograms programs;
  programs.Write("hingespan-emulator", kEmulator);
  programs.Write("hingespand", kNode);
  LocalCluster cluster(Options(programs));
  const ClusterStatus status = cluster.Start();
  REQUIRE_MESSAGE(status.ok(), status.detail);

  CHECK(cluster.admin_address() == "127.0.0.1:3");
  CHECK(cluster.PlatformAddress(ZoneId("z1")) == "127.0.0.1:1");
  CHECK(cluster.PlatformAddress(ZoneId("z2")) == "127.0.0.1:2");
  REQUIRE(cluster.Nodes().size() == 3);
  CHECK(cluster.Nodes()[1].node == NodeId("z1-n2"));
  CHECK(cluster.Nodes()[1].http_address == "127.0.0.1:4");
  CHECK_FALSE(absl::StrContains(cluster.ErrorTail(NodeId("z1-n1")), "--seed"));
  CHECK(cluster.ErrorTail(NodeId("z1-n2")) ==
        "--node z1-n2 --zone z1 --zones z1,z2 --platform 127.0.0.1:1 --http-listen 127.0.0.1:0 "
        "--control-listen 127.0.0.1:0 --seed 127.0.0.1:5 --set keep_warm.mode=always\n");
}

TEST_CASE("nodes are killed, stopped and restarted by pid") {
  FakePrograms programs;
  programs.Write("hingespan-emulator", kEmulator);
  programs.Write("hingespand", kNode);
  LocalCluster cluster(Options(programs));
  REQUIRE(cluster.Start().ok());
  const NodeId first("z1-n1");
  const pid_t old_pid = cluster.Node(first)->pid;

  REQUIRE(cluster.Kill(first).ok());
  CHECK_FALSE(cluster.Node(first).ok());
  CHECK(cluster.Nodes().size() == 2);
  REQUIRE(cluster.RestartNode(first).ok());
  CHECK(cluster.Node(first)->pid != old_pid);

  REQUIRE(cluster.Pause(first).ok());
  CHECK(cluster.WaitForExit(first, absl::ZeroDuration(), nullptr).error == Error::kTimeout);
  REQUIRE(cluster.Continue(first).ok());
  ExitStatus exit;
  REQUIRE(cluster.Stop(first, kBound, &exit).ok());
  CHECK(exit.clean());
  CHECK(cluster.Kill(first).error == Error::kNotFound);
}

TEST_CASE("a node that ends at its start is reported with its standard error") {
  FakePrograms programs;
  programs.Write("hingespan-emulator", kEmulator);
  programs.Write("hingespand", "echo 'bad settings' >&2; exit 2");
  LocalCluster cluster(Options(programs));
  const ClusterStatus status = cluster.Start();
  CHECK(status.error == Error::kStopping);
  CHECK(absl::StrContains(status.detail, "bad settings"));
}

TEST_CASE("no process outlives the cluster") {
  FakePrograms programs;
  programs.Write("hingespan-emulator", kEmulator);
  programs.Write("hingespand", kNode);
  std::vector<pid_t> pids;
  {
    LocalCluster cluster(Options(programs));
    REQUIRE(cluster.Start().ok());
    pids.push_back(cluster.emulator_pid());
    for (const RunningNode& node : cluster.Nodes()) {
      pids.push_back(node.pid);
    }
  }
  for (const pid_t pid : pids) {
    CHECK(kill(pid, 0) != 0);
  }
}

}  // namespace
}  // namespace hingespan::load
