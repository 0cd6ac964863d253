#include "hingespan/fleet/fleet_placer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace hingespan::gateway {
namespace {

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

// Placer with simulated workers that carry out orders like the platform's engines, without sockets.
class PlacerFixture {
 public:
  explicit PlacerFixture(int workers, double load_seconds = 1.0) : placer(FleetPlacerSettings{}) {
    Service service;
    service.name = "s";
    service.engine.emplace();
    service.engine->slots = 8;
    service.engine->memory_mb = 200;
    service.engine->adapter_slots = 2;
    service.engine->loads_per_second = 2;
    for (const char* const name : {"m1", "m2", "m3", "m4"}) {
      const absl::Duration load = absl::Seconds(load_seconds);
      service.engine->models[name] = {name, 90, load, load, load, 4, 5};
    }
    configuration.services.push_back(service);
    for (int number = 0; number < workers; ++number) {
      WorkerState worker;
      worker.record.id = "w" + std::to_string(number);
      worker.record.service = "s";
      worker.record.address = "127.0.0.1:1";
      worker.record.slots = 8;
      worker.row_version = 1;
      this->workers[worker.record.id] = worker;
    }
    placer.Begin({}, At(0));
  }

  void Hold(const std::string& worker, const std::string& model) {
    workers[worker].record.models[model];
  }

  void Demand(double now, const std::string& model, const std::string& adapter, int waiting,
              int running, int arrived) {
    DemandReport report;
    report.node = "n1";
    report.number = ++number;
    report.demands.push_back({"s", model, adapter, waiting, running, arrived, arrived * 1000});
    placer.OnReport(report, At(now));
  }

  // Delivers the worker reports that the placer requests.
  void Reports(double now) {
    for (const std::string& id : placer.WorkersToPoll(At(now))) {
      WorkerReport report;
      report.models = workers[id].record.models;
      report.order_sequence = sequences[id];
      report.busy = busy[id];
      placer.OnWorkerReport(id, report, At(now));
    }
  }

  std::vector<PlannedOrder> Plan(double now) {
    std::vector<PlannedOrder> orders = placer.Plan(configuration, workers, At(now));
    Reports(now);
    for (PlannedOrder& order : placer.Plan(configuration, workers, At(now))) {
      orders.push_back(std::move(order));
    }
    return orders;
  }

  // The worker accepts the order; a model load completes immediately.
  void Accept(const WorkerOrder& order, double now) {
    auto& models = workers[order.worker_id].record.models;
    ++sequences[order.worker_id];
    OrderOutcome outcome = OrderOutcome::kAccepted;
    if (order.adapter.empty()) {
      if (order.kind == OrderKind::kLoad) {
        models[order.model];
      } else {
        models.erase(order.model);
      }
    } else if (order.kind == OrderKind::kLoad) {
      models[order.model].insert(order.adapter);
    } else {
      models[order.model].erase(order.adapter);
      outcome = OrderOutcome::kDone;
    }
    placer.OnOutcome(order, outcome, At(now));
  }

  Configuration configuration;
  std::map<std::string, WorkerState> workers;
  std::map<std::string, std::uint64_t> sequences;
  std::map<std::string, bool> busy;
  FleetPlacer placer;
  std::uint64_t number = 0;
};

// Guards against refusing a stream that is taken up, as its model is loaded only at workers of
// another software version, and that there counts as enough.
TEST_CASE("a stream that is bound to a version gets its model at a worker of that version") {
  PlacerFixture fixture(4);
  for (const char* const id : {"w0", "w1"}) {
    fixture.workers[id].record.software_version = "v2";
  }
  fixture.workers["w2"].record.software_version = "v1";
  fixture.workers["w3"].record.software_version = "v1";
  fixture.Hold("w2", "m1");
  DemandReport report;
  report.node = "n1";
  report.number = 1;
  report.demands.push_back({"s", "m1", "a1", 1, 0, 1, 100});
  report.bound.push_back({"s", "v2", "m1", "a1", 1});
  fixture.placer.OnReport(report, At(5));
  const auto of_model = [](const std::vector<PlannedOrder>& orders, bool adapter) {
    std::vector<std::string> ids;
    for (const PlannedOrder& planned : orders) {
      if (planned.order.kind == OrderKind::kLoad && planned.order.adapter.empty() != adapter) {
        ids.push_back(planned.order.worker_id);
      }
    }
    return ids;
  };
  const std::vector<PlannedOrder> orders = fixture.Plan(5);
  const std::vector<std::string> loads = of_model(orders, false);
  REQUIRE(loads.size() == 1);
  CHECK((loads[0] == "w0" || loads[0] == "w1"));
  for (const PlannedOrder& planned : orders) {
    fixture.Accept(planned.order, 5.1);
  }
  fixture.Reports(6.3);
  ++report.number;
  fixture.placer.OnReport(report, At(6.3));
  // The adapter, too, is needed at that worker, though another one has it.
  const std::vector<std::string> adapters = of_model(fixture.Plan(6.3), true);
  CHECK(adapters == loads);
}

TEST_CASE("nothing is ordered at a worker before a report shows its sequence") {
  PlacerFixture fixture(1);
  fixture.Demand(5, "m1", "", 1, 0, 1);
  CHECK(fixture.placer.Plan(fixture.configuration, fixture.workers, At(5)).empty());
  fixture.sequences["w0"] = 4;
  fixture.Reports(5);
  const auto orders = fixture.placer.Plan(fixture.configuration, fixture.workers, At(5));
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].order.expected_sequence == 4);
  CHECK(orders[0].order.kind == OrderKind::kLoad);
}

TEST_CASE("a worker busy with an unknown order gets no order until that one has ended") {
  PlacerFixture fixture(1);
  fixture.busy["w0"] = true;
  fixture.Demand(5, "m1", "", 1, 0, 1);
  CHECK(fixture.Plan(5).empty());
  fixture.busy["w0"] = false;
  fixture.Demand(6, "m1", "", 1, 0, 1);
  CHECK(fixture.Plan(6).size() == 1);
}

TEST_CASE("one load serves all requests that wait for a model") {
  PlacerFixture fixture(3);
  fixture.Demand(5, "m1", "", 6, 0, 6);
  const auto orders = fixture.Plan(5);
  REQUIRE(orders.size() == 1);
  fixture.Demand(5.1, "m1", "", 6, 0, 0);
  CHECK(fixture.Plan(5.1).empty());
}

TEST_CASE("room is made by unloading the model with the least demand") {
  PlacerFixture fixture(1);
  fixture.Hold("w0", "m1");
  fixture.Hold("w0", "m2");
  fixture.Demand(4, "m1", "", 0, 1, 6);
  fixture.Demand(5, "m3", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].order.kind == OrderKind::kUnload);
  CHECK(orders[0].order.model == "m2");
}

TEST_CASE("the memory of an unloaded model is free only when the worker is no longer busy") {
  PlacerFixture fixture(1);
  fixture.Hold("w0", "m1");
  fixture.Hold("w0", "m2");
  fixture.Demand(4, "m1", "", 0, 1, 6);
  fixture.Demand(5, "m3", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(orders.size() == 1);
  fixture.Accept(orders[0].order, 5.01);
  fixture.workers["w0"].row_version = 2;
  fixture.busy["w0"] = true;
  fixture.Demand(6, "m3", "", 1, 0, 0);
  CHECK(fixture.Plan(6).empty());
  fixture.busy["w0"] = false;
  fixture.Demand(7, "m3", "", 1, 0, 0);
  CHECK(fixture.Plan(7).size() == 1);
}

TEST_CASE("a record from before an outage of the store does not undo a load") {
  PlacerFixture fixture(1);
  fixture.Hold("w0", "m1");
  fixture.Demand(5, "m2", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(orders.size() == 1);
  fixture.Accept(orders[0].order, 5.01);
  fixture.Demand(7, "m3", "", 1, 0, 1);
  fixture.Reports(7);
  auto stale = fixture.workers;
  stale["w0"].record.models.erase("m2");
  stale["w0"].row_version = 9;
  // There is no memory for m3 in addition to m1 and m2.
  for (const PlannedOrder& planned : fixture.placer.Plan(fixture.configuration, stale, At(12))) {
    CHECK(planned.order.kind == OrderKind::kUnload);
  }
}

TEST_CASE("an order without an answer blocks the worker until its sequence shows the outcome") {
  PlacerFixture fixture(1);
  fixture.Demand(5, "m1", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(orders.size() == 1);
  fixture.placer.OnOutcome(orders[0].order, OrderOutcome::kUnknown, At(5.7));
  fixture.Demand(5.8, "m1", "", 1, 0, 0);
  CHECK(fixture.placer.Plan(fixture.configuration, fixture.workers, At(5.8)).empty());
  // The order was accepted after all, as the report's sequence shows.
  fixture.sequences["w0"] = 1;
  fixture.busy["w0"] = true;
  fixture.Demand(6.5, "m1", "", 1, 0, 0);
  CHECK(fixture.Plan(6.5).empty());
}

TEST_CASE("adapters replace idle ones when the slots are full") {
  PlacerFixture fixture(1);
  fixture.Hold("w0", "m1");
  fixture.workers["w0"].record.models["m1"] = {"a1", "a2"};
  fixture.Demand(5, "m1", "a3", 1, 0, 1);
  auto orders = fixture.Plan(5);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].order.kind == OrderKind::kUnload);
  CHECK(!orders[0].order.adapter.empty());
  fixture.Accept(orders[0].order, 5.01);
  orders = fixture.Plan(5.02);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].order.kind == OrderKind::kLoad);
  CHECK(orders[0].order.adapter == "a3");
}

TEST_CASE("a draining worker gets no orders and its replicas do not count") {
  PlacerFixture fixture(2);
  fixture.Hold("w0", "m1");
  fixture.workers["w0"].record.draining = true;
  fixture.Demand(5, "m1", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].order.worker_id == "w1");
}

TEST_CASE("property: room, adapter slots and the store's rate are never exceeded") {
  CHECK(rc::check("random demand and outcomes", [] {
    PlacerFixture fixture(4, 0.3);
    std::vector<double> loads;
    double now = 3;
    const int steps = *rc::gen::inRange(20, 120);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::element(0.02, 0.1, 0.3, 0.7);
      const std::string model = *rc::gen::element<std::string>("m1", "m2", "m3", "m4");
      const std::string adapter = *rc::gen::element<std::string>("", "", "a1", "a2", "a3");
      fixture.Demand(now, model, adapter, *rc::gen::inRange(0, 12), *rc::gen::inRange(0, 20),
                     *rc::gen::inRange(0, 5));
      for (const PlannedOrder& planned : fixture.Plan(now)) {
        const WorkerOrder& order = planned.order;
        RC_ASSERT(order.expected_sequence == fixture.sequences[order.worker_id]);
        if (order.kind == OrderKind::kLoad && order.adapter.empty()) {
          loads.push_back(now);
        }
        switch (*rc::gen::inRange(0, 4)) {
          case 0:  // Not accepted, and no answer.
            fixture.placer.OnOutcome(order, OrderOutcome::kUnknown, At(now));
            break;
          case 1:  // Accepted, and no answer.
            fixture.Accept(order, now);
            fixture.placer.OnOutcome(order, OrderOutcome::kUnknown, At(now));
            break;
          default:
            fixture.Accept(order, now);
        }
        const auto& models = fixture.workers[order.worker_id].record.models;
        double used = 0;
        std::size_t slots = 0;
        for (const auto& [held, adapters] : models) {
          used += 90 + 5.0 * static_cast<double>(adapters.size());
          slots += adapters.size();
        }
        RC_ASSERT(used <= 200);
        RC_ASSERT(slots <= 2U);
      }
    }
    for (const double begin : loads) {
      int count = 0;
      for (const double load : loads) {
        count += load >= begin && load < begin + 5.0 ? 1 : 0;
      }
      RC_ASSERT(count <= 2 * 5 + 3);
    }
  }));
}

// Guards against exceeding the store's rate when each new holder begins with a full token bucket.
TEST_CASE("property: the store's rate holds over changes of the holder") {
  CHECK(rc::check("holders in a row", [] {
    PlacerFixture fixture(8, 0.3);
    std::vector<double> loads;
    double now = 3;
    const int steps = *rc::gen::inRange(20, 120);
    for (int step = 0; step < steps; ++step) {
      now += *rc::gen::element(0.02, 0.1, 0.3, 0.7);
      if (*rc::gen::inRange(0, 3) == 0) {
        fixture.placer.Begin(fixture.placer.weight_store().estimate(), At(now));
      }
      const std::string model = *rc::gen::element<std::string>("m1", "m2", "m3", "m4");
      fixture.Demand(now, model, "", *rc::gen::inRange(0, 12), *rc::gen::inRange(0, 20),
                     *rc::gen::inRange(0, 5));
      for (const PlannedOrder& planned : fixture.Plan(now)) {
        if (planned.order.kind == OrderKind::kLoad) {
          loads.push_back(now);
        }
        fixture.Accept(planned.order, now);
      }
    }
    for (const double begin : loads) {
      int count = 0;
      for (const double load : loads) {
        count += load >= begin && load < begin + 5.0 ? 1 : 0;
      }
      RC_ASSERT(count <= 2 * 5 + 3);
    }
  }));
}

TEST_CASE("a busy model without a replica comes before a rarely requested one") {
  PlacerFixture fixture(1);
  DemandReport report;
  report.node = "n2";
  report.number = 1;
  report.demands.push_back({"s", "m2", "", 1, 0, 60, 60000});
  fixture.placer.OnReport(report, At(5));
  fixture.Demand(5, "m1", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(!orders.empty());
  CHECK(orders.front().order.model == "m2");
}

TEST_CASE("a rarely requested model does not replace a replica that a busy one needs") {
  PlacerFixture fixture(2);
  fixture.Hold("w0", "m1");
  fixture.Hold("w0", "m2");
  fixture.Hold("w1", "m1");
  fixture.Hold("w1", "m3");
  // m1 needs both of its replicas; m2 and m3 are rarely requested.
  DemandReport report;
  report.node = "n2";
  report.number = 1;
  report.demands.push_back({"s", "m1", "", 0, 4, 100, 100000});
  report.demands.push_back({"s", "m2", "", 0, 0, 1, 1000});
  report.demands.push_back({"s", "m3", "", 0, 0, 1, 1000});
  fixture.placer.OnReport(report, At(5));
  fixture.Demand(5, "m4", "", 1, 0, 1);
  for (const PlannedOrder& planned : fixture.Plan(5)) {
    CHECK(planned.order.kind == OrderKind::kUnload);
    CHECK(planned.order.model != "m1");
  }
}

TEST_CASE("a replica whose requests run is not the first to make room") {
  PlacerFixture fixture(2);
  fixture.Hold("w0", "m1");
  fixture.Hold("w0", "m2");
  fixture.Hold("w1", "m1");
  fixture.Hold("w1", "m2");
  DemandReport report;
  report.node = "n2";
  report.number = 1;
  report.demands.push_back({"s", "m1", "", 0, 1, 1, 1000});
  report.demands.push_back({"s", "m2", "", 0, 1, 1, 1000});
  report.loads.push_back({"w0", 2, 0, {{"m1", 1}, {"m2", 1}}});
  fixture.placer.OnReport(report, At(5));
  fixture.Demand(5, "m4", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(!orders.empty());
  CHECK(orders.front().order.kind == OrderKind::kUnload);
  CHECK(orders.front().order.worker_id == "w1");
}

TEST_CASE("a load avoids a worker whose adapters are requested") {
  PlacerFixture fixture(2);
  fixture.Hold("w0", "m1");
  fixture.Hold("w1", "m2");
  DemandReport report;
  report.node = "n2";
  report.number = 1;
  report.demands.push_back({"s", "m1", "a1", 0, 0, 6, 6000});
  report.demands.push_back({"s", "m2", "", 0, 0, 6, 6000});
  fixture.placer.OnReport(report, At(5));
  fixture.Demand(5, "m3", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(!orders.empty());
  CHECK(orders.front().order.worker_id == "w1");
}

TEST_CASE("the update about an adapter is repeated while requests wait for it") {
  PlacerFixture fixture(1);
  fixture.Hold("w0", "m1");
  fixture.Demand(5, "m1", "a1", 1, 0, 1);
  for (const PlannedOrder& planned : fixture.Plan(5)) {
    fixture.Accept(planned.order, 5);
  }
  fixture.Plan(5.2);
  REQUIRE(!fixture.placer.TakeUpdates(At(5.2)).empty());
  fixture.Demand(5.3, "m1", "a1", 1, 0, 0);
  fixture.Plan(5.3);
  fixture.Demand(6.5, "m1", "a1", 1, 0, 0);
  fixture.placer.Plan(fixture.configuration, fixture.workers, At(6.5));
  const auto updates = fixture.placer.TakeUpdates(At(6.5));
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().adapter == "a1");
  CHECK(updates.front().state == ReplicaState::kReady);
}

TEST_CASE("reports of a node that restarts after its clock was set back are accepted") {
  PlacerFixture fixture(1);
  DemandReport report;
  report.node = "n1";
  report.incarnation = 2000;
  report.number = 50;
  fixture.placer.OnReport(report, At(5));
  report.incarnation = 1000;
  report.number = 1;
  report.demands.push_back({"s", "m1", "", 1, 0, 1, 1000});
  fixture.placer.OnReport(report, At(6));
  CHECK(fixture.Plan(6).size() == 1);
}

TEST_CASE("a load that runs far longer than expected keeps its memory reserved") {
  PlacerFixture fixture(1);
  fixture.Demand(5, "m1", "", 1, 0, 1);
  const auto orders = fixture.Plan(5);
  REQUIRE(orders.size() == 1);
  // The load was accepted and runs for half a minute because the store is slow.
  ++fixture.sequences["w0"];
  fixture.busy["w0"] = true;
  fixture.placer.OnOutcome(orders[0].order, OrderOutcome::kAccepted, At(5));
  for (double now = 6; now < 36; now += 0.5) {
    fixture.Demand(now, "m2", "", 1, 0, 1);
    fixture.Demand(now, "m3", "", 1, 0, 1);
    CHECK(fixture.Plan(now).empty());
  }
  // There is memory for one more of the two requested models.
  fixture.busy["w0"] = false;
  fixture.Hold("w0", "m1");
  fixture.workers["w0"].row_version = 2;
  int loads = 0;
  for (double now = 36; now < 40; now += 0.5) {
    fixture.Demand(now, "m2", "", 1, 0, 1);
    fixture.Demand(now, "m3", "", 1, 0, 1);
    for (const PlannedOrder& planned : fixture.Plan(now)) {
      loads += planned.order.kind == OrderKind::kLoad ? 1 : 0;
    }
  }
  CHECK(loads == 1);
}

TEST_CASE("no room is made for a load beyond the weight store's capacity") {
  PlacerFixture fixture(6, 6.0);
  for (int number = 0; number < 6; ++number) {
    const std::string id = "w" + std::to_string(number);
    fixture.Hold(id, "m3");
    fixture.Hold(id, "m4");
  }
  fixture.Demand(5, "m1", "", 9, 0, 9);
  fixture.Demand(5, "m2", "", 9, 0, 9);
  int unloads = 0;
  for (double now = 5; now < 7; now += 0.1) {
    fixture.Demand(now, "m1", "", 40, 0, 9);
    fixture.Demand(now, "m2", "", 40, 0, 9);
    for (const PlannedOrder& planned : fixture.Plan(now)) {
      unloads += planned.order.kind == OrderKind::kUnload ? 1 : 0;
    }
  }
  CHECK(unloads == 3);
}

// m2 waits for w0, which holds the only copy of it and is busy, and the weight store has no
// capacity for more loads. Then demand for m1 grows. Returns whether a further replica of m1 is
// loaded.
bool FurtherReplicaBesideWaitingCopy(bool yield) {
  FleetPlacerSettings settings;
  settings.policy.yield_to_copies = yield;
  settings.weight_store.first_limit = 2;
  PlacerFixture fixture(5, 6.0);
  fixture.placer = FleetPlacer(settings);
  fixture.placer.Begin({}, At(0));
  fixture.workers["w0"].record.copies_on_disk.insert("m2");
  fixture.busy["w0"] = true;
  fixture.Hold("w1", "m1");
  fixture.workers["w2"].record.copies_on_disk.insert("m1");
  bool further = false;
  for (double now = 5; now < 16; now += 0.25) {
    DemandReport report;
    report.node = "n1";
    report.number = ++fixture.number;
    report.demands.push_back({"s", "m3", "", 1, 0, 1, 1000});
    if (now > 5.5) {
      report.demands.push_back({"s", "m2", "", 1, 0, 1, 1000});
    }
    if (now > 14) {
      report.demands.push_back({"s", "m1", "", 0, 20, 5, 5000});
    }
    fixture.placer.OnReport(report, At(now));
    for (const PlannedOrder& planned : fixture.Plan(now)) {
      further = further || planned.reason == "further replica";
      ++fixture.sequences[planned.order.worker_id];
      fixture.busy[planned.order.worker_id] = true;
      fixture.placer.OnOutcome(planned.order, OrderOutcome::kAccepted, At(now));
    }
  }
  return further;
}

TEST_CASE("no further replicas are loaded while models wait for a worker with their copy") {
  CHECK(FurtherReplicaBesideWaitingCopy(false));
  CHECK(!FurtherReplicaBesideWaitingCopy(true));
}

TEST_CASE("loads from the weight store are limited to the given fraction") {
  WeightStoreLimitSettings settings;
  settings.first_limit = 4;
  WeightStoreLimit limit(settings);
  limit.LoadBegan("w1", absl::Seconds(6), true, At(0));
  CHECK(limit.MayBegin(0, 1, At(0)));
  CHECK(!limit.MayBegin(0, 0.3, At(0)));
  limit.LoadEnded("w1", At(6));
  // One load is always allowed.
  CHECK(limit.MayBegin(0, 0, At(6)));
}

TEST_CASE("the expected time is announced for models whose load can't begin yet") {
  PlacerFixture fixture(4, 6.0);
  // Three loads run at once; the fourth model follows after them.
  for (const char* const model : {"m1", "m2", "m3", "m4"}) {
    fixture.Demand(5, model, "", 1, 0, 1);
  }
  DemandReport report;
  report.node = "n2";
  report.number = 1;
  for (const char* const model : {"m1", "m2", "m3", "m4"}) {
    report.demands.push_back({"s", model, "", 1, 0, 1, 1000});
  }
  fixture.placer.OnReport(report, At(5));
  int loads = 0;
  for (double now = 5; now < 6; now += 0.1) {
    for (const PlannedOrder& planned : fixture.Plan(now)) {
      ++loads;
      ++fixture.sequences[planned.order.worker_id];
      fixture.busy[planned.order.worker_id] = true;
      fixture.placer.OnOutcome(planned.order, OrderOutcome::kAccepted, At(now));
    }
  }
  CHECK(loads == 3);
  std::map<std::string, int> expected_ms;
  for (const ReplicaUpdate& update : fixture.placer.TakeUpdates(At(6))) {
    expected_ms[update.model] = update.expected_in_ms;
  }
  REQUIRE(expected_ms.size() == 4);
  int later = 0;
  for (const auto& [model, expected] : expected_ms) {
    later += expected > 10000 ? 1 : 0;
  }
  CHECK(later == 1);
}

}  // namespace
}  // namespace hingespan::gateway
