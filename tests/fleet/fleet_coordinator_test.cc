#include "hingespan/fleet/fleet_coordinator.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "hingespan/common/clock.h"
#include "tests/fleet/memory_store.h"
#include "tests/foreign_entries/odd_texts.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(10);

class NoControl : public WorkerControl {
 public:
  void SendOrder(const WorkerOrder&, std::function<void(OrderOutcome)>) override {}
  void ReadReport(const std::string&, const std::string&,
                  std::function<void(Result<WorkerReport>)>) override {}
  void Probe(const std::string&, std::function<void(bool answered)>) override {}
};

struct Fleet;

struct Node {
  Node(Fleet* fleet, const std::string& name, std::uint64_t incarnation);
  // Sets the number of requests that run at the only worker, "w".
  void Run(int count) {
    running = count;
    coordinator->DemandChanged();
  }
  void Receive(const std::string& datagram) {
    const std::optional<FleetMessage> message = DecodeFleetMessage(datagram);
    REQUIRE(message.has_value());
    if (const auto* const report = std::get_if<DemandReport>(&*message)) {
      coordinator->OnReport(*report);
    } else if (const auto* const probe = std::get_if<NodeProbe>(&*message)) {
      coordinator->OnProbe(*probe);
    } else if (const auto* const reply = std::get_if<NodeProbeReply>(&*message)) {
      coordinator->OnProbeReply(*reply);
    } else {
      coordinator->OnUpdate(std::get<PlacementUpdate>(*message));
    }
  }
  int peers_running() { return workers.Find("w")->peers_running; }

  int running = 0;
  // Nodes that have a row, as this one last read.
  std::set<std::string> known_nodes;
  WorkerDirectory workers;
  VersionRegistry versions;
  DecisionLog log{-1, &SystemClock(), DecisionLogLimits{}};
  GatewayMetrics metrics;
  NoControl control;
  NodeStore store;
  std::unique_ptr<FleetCoordinator> coordinator;
};

struct Fleet {
  // Starts a node; it replaces an earlier one of the same name.
  Node* Add(const std::string& name) {
    nodes[name] = std::make_unique<Node>(this, name, ++incarnation);
    nodes[name]->coordinator->Start();
    return nodes[name].get();
  }
  bool Wait(const std::function<bool()>& done) { return loop.RunUntil(done, kLimit); }
  // Cuts the node off from all others and from the store, as if its process had been killed.
  void Kill(const std::string& name) {
    nodes[name]->store.cut = true;
    ended.push_back(std::move(nodes[name]));
    nodes.erase(name);
  }

  std::uint64_t incarnation = 0;
  EventLoop loop;
  MemoryStore store{&loop};
  std::vector<std::unique_ptr<Node>> ended;
  // Nodes by name, which is also their address.
  std::map<std::string, std::unique_ptr<Node>> nodes;
  // Datagrams to this address are kept in `held`.
  std::string held_address;
  std::vector<std::string> held;
};

Node::Node(Fleet* fleet, const std::string& name, std::uint64_t incarnation)
    : workers(name, "zone"), store(&fleet->store) {
  WorkerRecord record;
  record.id = "w";
  record.service = "s";
  workers.Update(record, 1, fleet->loop.Now());
  FleetCoordinatorSettings settings;
  settings.node = name;
  settings.address = name;
  settings.incarnation = incarnation;
  settings.lease.incarnation = incarnation;
  settings.lease.node = name;
  settings.lease.address = name;
  settings.store_interval = absl::Milliseconds(50);
  settings.liveness.probe_after = absl::Milliseconds(200);
  settings.liveness.probe_interval = absl::Milliseconds(50);
  FleetCoordinatorParts parts;
  parts.loop = &fleet->loop;
  parts.store = &store;
  parts.control = &control;
  parts.workers = &workers;
  parts.versions = &versions;
  parts.log = &log;
  parts.metrics = &metrics;
  parts.reads_store = [] { return true; };
  parts.reads_for_others = [] { return true; };
  parts.send = [fleet](const std::string& address, absl::string_view bytes) {
    if (address == fleet->held_address) {
      fleet->held.emplace_back(bytes);
      return;
    }
    fleet->loop.Post([fleet, address, datagram = std::string(bytes)] {
      if (fleet->nodes.contains(address)) {
        fleet->nodes.at(address)->Receive(datagram);
      }
    });
  };
  parts.fill_report = [this](DemandReport* report) {
    if (running > 0) {
      report->loads.push_back({"w", running, 0, {}});
    }
  };
  parts.on_update = [] {};
  parts.on_table = [](const StoreRows&) {};
  parts.on_nodes = [this](const std::vector<FleetNode>& nodes, absl::Time) {
    known_nodes.clear();
    for (const FleetNode& node : nodes) {
      known_nodes.insert(node.name);
    }
  };
  coordinator = std::make_unique<FleetCoordinator>(std::move(settings), std::move(parts));
  coordinator->SetConfiguration(std::make_shared<const Configuration>());
}

// Guards against a worker counting as full forever at a node: loads name only workers with load, so
// a worker whose last requests of other nodes have ended is no longer listed.
TEST_CASE("a worker without requests of other nodes has no load of theirs") {
  Fleet fleet;
  Node* const holder = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return holder->coordinator->holds_lease(); }));
  Node* const other = fleet.Add("n2");
  holder->Run(1);
  other->Run(3);
  REQUIRE(fleet.Wait([&] { return holder->peers_running() == 3 && other->peers_running() == 1; }));
  holder->Run(0);
  other->Run(0);
  CHECK(fleet.Wait([&] { return holder->peers_running() == 0 && other->peers_running() == 0; }));
}

// Guards against a node that takes most callers counting its own requests as those of others, and
// its workers as full, because some of them ended between its report and the holder's update.
TEST_CASE("a late update does not turn a node's own ended requests into load of others") {
  Fleet fleet;
  Node* const holder = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return holder->coordinator->holds_lease(); }));
  Node* const other = fleet.Add("n2");
  other->Run(6);
  REQUIRE(fleet.Wait([&] { return holder->peers_running() == 6; }));
  CHECK(other->peers_running() == 0);
  const auto carries_loads = [](const std::string& datagram) {
    const std::optional<FleetMessage> message = DecodeFleetMessage(datagram);
    const auto* const update = std::get_if<PlacementUpdate>(&*message);
    return update != nullptr && update->loads.has_value();
  };
  fleet.held_address = "n2";
  REQUIRE(
      fleet.Wait([&] { return std::any_of(fleet.held.begin(), fleet.held.end(), carries_loads); }));
  const std::string update = *std::find_if(fleet.held.begin(), fleet.held.end(), carries_loads);
  other->Run(2);
  REQUIRE(fleet.Wait([&] { return holder->peers_running() == 2; }));
  other->Receive(update);
  CHECK(other->peers_running() == 0);
}

// Guards against a new holder announcing zero load for all workers because no node has reported to
// it yet.
TEST_CASE("a node that becomes the holder keeps the loads it knows") {
  Fleet fleet;
  Node* const node = fleet.Add("n1");
  PlacementUpdate update;
  update.holder = "n0";
  update.address = "n1";
  update.token = 1;
  update.number = 1;
  update.loads = {{"w", 3, 0, {}}};
  node->coordinator->OnUpdate(update);
  REQUIRE(node->peers_running() == 3);
  REQUIRE(fleet.Wait([&] { return node->coordinator->holds_lease(); }));
  CHECK(node->peers_running() == 3);
  // No node reports any load.
  CHECK(fleet.Wait([&] { return node->peers_running() == 0; }));
}

// Guards against a node staying unknown to all others: the previous process's removal of its row
// got no answer and takes effect only after the node has restarted.
TEST_CASE("a late removal of a node's row does not remove the row of the next process") {
  Fleet fleet;
  Node* const earlier = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return earlier->coordinator->holds_lease(); }));
  fleet.store.unanswered = 1;
  earlier->coordinator->Stop();
  REQUIRE(fleet.Wait([&] { return fleet.store.late() == 1; }));
  // The new process starts before the removal takes effect.
  fleet.ended.push_back(std::move(fleet.nodes["n1"]));
  Node* const later = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return later->coordinator->holds_lease(); }));
  REQUIRE(fleet.store.Has("node/n1"));
  fleet.store.ApplyLate();
  CHECK(fleet.store.Has("node/n1"));
}

// Guards against a node staying unknown to all others after its row was removed.
TEST_CASE("a node whose row is gone announces itself again") {
  Fleet fleet;
  Node* const node = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return node->coordinator->holds_lease(); }));
  fleet.store.Commit({}, {{"hingespan", "node/n1", std::nullopt}}, [](Result<std::uint64_t>) {});
  REQUIRE(!fleet.store.Has("node/n1"));
  CHECK(fleet.Wait([&] { return fleet.store.Has("node/n1"); }));
}

// Guards against a node that was killed staying in the fleet for good: records, slots and trials
// were left to it, and shares of the retry budget kept for it (LOST).
TEST_CASE("the row of a node that was killed is removed for all nodes") {
  Fleet fleet;
  Node* const holder = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return holder->coordinator->holds_lease(); }));
  Node* const other = fleet.Add("n2");
  fleet.Add("n3");
  REQUIRE(fleet.Wait([&] { return other->known_nodes.size() == 3; }));
  fleet.Kill("n3");
  const std::set<std::string> left = {"n1", "n2"};
  CHECK(fleet.Wait([&] { return holder->known_nodes == left && other->known_nodes == left; }));
  CHECK(holder->metrics.nodes_lost == 1);
}

// Guards against lost nodes that stay because the lost holder alone would have removed them.
TEST_CASE("a node that takes the lease over removes the row of the holder that was killed") {
  Fleet fleet;
  Node* const holder = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return holder->coordinator->holds_lease(); }));
  Node* const other = fleet.Add("n2");
  REQUIRE(fleet.Wait([&] { return other->known_nodes.size() == 2; }));
  fleet.Kill("n1");
  CHECK(fleet.Wait([&] { return other->known_nodes == std::set<std::string>{"n2"}; }));
}

// Guards against a node that lives being shut out because the holder can't reach it.
TEST_CASE("a node that the holder can't reach puts its row back") {
  Fleet fleet;
  Node* const holder = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return holder->coordinator->holds_lease(); }));
  Node* const other = fleet.Add("n2");
  REQUIRE(fleet.Wait([&] { return other->known_nodes.size() == 2; }));
  fleet.held_address = "n2";
  REQUIRE(fleet.Wait([&] { return holder->metrics.nodes_lost == 1; }));
  REQUIRE(fleet.Wait([&] { return !fleet.store.Has("node/n2"); }));
  CHECK(fleet.Wait([&] { return fleet.store.Has("node/n2"); }));
}

// Guards against a stopped node staying in the fleet forever because the only removal of its row
// failed.
TEST_CASE("a node that stops removes its row although the first call fails") {
  Fleet fleet;
  Node* const node = fleet.Add("n1");
  REQUIRE(fleet.Wait([&] { return node->coordinator->holds_lease(); }));
  fleet.store.unanswered = 1;
  node->coordinator->Stop();
  CHECK(fleet.Wait([&] { return !fleet.store.Has("node/n1"); }));
}

// Guards against one row that another writer left ending all nodes, or the lease.
TEST_CASE("an odd row of the fleet's table costs itself only") {
  const std::string node = R"({"address":"x","zone":"z","incarnation":1})";
  const std::string lease = R"({"holder":"x","incarnation":1,"address":"x","token":1})";
  std::vector<std::pair<std::string, std::string>> rows;
  for (const char* const key :
       {"node/odd", "node/n1", "lease/placement", "versions/odd", "versions/s", "node/", "odd"}) {
    for (const std::string& value : foreign_entries::OddValues()) {
      rows.emplace_back(key, value);
    }
  }
  for (const char* const member :
       {"address", "zone", "incarnation", "link_mbps", "copies", "forward", "answers_probes"}) {
    for (const std::string& value : foreign_entries::WithOddMember(node, member)) {
      rows.emplace_back("node/odd", value);
    }
  }
  for (const char* const member : {"holder", "incarnation", "address", "token", "loads_at_once"}) {
    for (const std::string& value : foreign_entries::WithOddMember(lease, member)) {
      rows.emplace_back("lease/placement", value);
    }
  }
  Fleet fleet;
  const auto both_known = [&](const Node& node) {
    return node.known_nodes.contains("n1") && node.known_nodes.contains("n2");
  };
  Node* const first = fleet.Add("n1");
  Node* const second = fleet.Add("n2");
  const auto works = [&] {
    return both_known(*first) && both_known(*second) &&
           (first->coordinator->holds_lease() || second->coordinator->holds_lease());
  };
  REQUIRE(fleet.Wait(works));
  for (const auto& [key, value] : rows) {
    CAPTURE(key);
    CAPTURE(value.substr(0, 200));
    bool written = false;
    fleet.store.Commit({}, {{"hingespan", key, value}},
                       [&](const Result<std::uint64_t>& result) { written = result.ok(); });
    const int reads = fleet.store.reads;
    REQUIRE(fleet.Wait([&] { return written && fleet.store.reads > reads + 2; }));
    if (key != "lease/placement") {
      CHECK(fleet.Wait(works));
    }
  }
  // The lease has a holder again after whatever came last.
  CHECK(fleet.Wait(works));
}

TEST_CASE("a malformed lease has a holder again") {
  for (const char* const value : {"", "7", R"({"holder":7})", R"({"holder":"x"})"}) {
    CAPTURE(value);
    Fleet fleet;
    fleet.store.Commit({}, {{"hingespan", "lease/placement", value}},
                       [](const Result<std::uint64_t>&) {});
    Node* const node = fleet.Add("n1");
    CHECK(fleet.Wait([&] { return node->coordinator->holds_lease(); }));
  }
}

}  // namespace
}  // namespace hingespan::gateway
