// One machine is partitioned from the store for some seconds; the operator moves a route to another
// service and moves it back meanwhile. The other machines reach the store all the time.
#include "standin-2/world.h"

namespace hingespan::review {
namespace {

constexpr int kGateways = 8;
constexpr int kRounds = 9;
constexpr absl::Duration kRound = absl::Milliseconds(10500);
constexpr absl::Duration kCut = absl::Seconds(5);
// Time from the beginning of the cut until the change.
constexpr absl::Duration kChangeAfter = absl::Milliseconds(100);
constexpr absl::Duration kInterval = absl::Milliseconds(6);

emulator::PlatformWorkerOptions PlainWorker(const std::string& service) {
  emulator::PlatformWorkerOptions options;
  options.service = service;
  options.run_time = absl::Milliseconds(20);
  return options;
}

// Version `version` leads the route to the first service if it is odd, else to the second one.
std::string Configuration(int version) {
  Json json = ConfigurationJson(version);
  const char* const service = version % 2 == 1 ? "gate-desk" : "gate-desk-2";
  json["routes"] = Json::array({RouteJson("/read/", "idempotent", service, 2, false)});
  json["services"].push_back(
      {{"name", "gate-desk-2"}, {"health_path", "/health"}, {"max_connections", 110}});
  return json.dump();
}

struct Change {
  absl::Time acknowledged;
  int version = 0;
};

int Run() {
  World world;
  std::vector<std::unique_ptr<soak::FaultProxy>> links;
  world.store()->Put("op", "config", Configuration(1));
  for (int number = 1; number <= 3; ++number) {
    world.AddWorker(absl::StrCat("a", number), absl::Seconds(2),
                    [] { return PlainWorker("gate-desk"); });
    world.AddWorker(absl::StrCat("b", number), absl::Seconds(2),
                    [] { return PlainWorker("gate-desk-2"); });
  }
  const auto link = [&] {
    links.push_back(std::make_unique<soak::FaultProxy>(world.loop(), world.store()->address()));
    return links.back()->address();
  };
  if (!world.StartGateways(kGateways, 1, link)) {
    world.record().Line("the gateways did not start");
    return kNotRun;
  }
  world.RunFor(absl::Seconds(10));
  // All machines but the one that reads the store for the others log that they do not.
  std::size_t reader = 0;
  int readers = 0;
  for (std::size_t index = 0; index < world.gateways().size(); ++index) {
    if (!world.gateways()[index]->HasLogged("store_reader_no_more")) {
      reader = index;
      ++readers;
    }
  }
  world.record().Line("machines that read the store themselves: ", readers);
  const absl::Time begin = world.Now();
  const absl::Time end = begin + kRounds * kRound;
  world.Every(begin, end, kInterval, [&](int turn) {
    world.Send(static_cast<std::size_t>(turn % kGateways), "read", absl::StrCat("7b", turn), "GET",
               "/read/berth", {{"Deadline-Ms", "1000"}}, "");
  });
  std::vector<Change> changes = {{begin, 1}};
  for (int round = 0; round < kRounds; ++round) {
    world.RunUntil(begin + round * kRound + absl::Seconds(4));
    if (World::Trouble()) {
      links[reader]->SetFault(soak::LinkFault::kSilent);
      world.record().Line(world.gateways()[reader]->name(), " is partitioned from the store");
    }
    world.RunFor(kChangeAfter);
    const int version = changes.back().version + 1;
    world.store()->Put("op", "config", Configuration(version));
    changes.push_back({world.Now(), version});
    world.record().Line("version ", version, " is acknowledged");
    world.RunFor(kCut - kChangeAfter);
    links[reader]->SetFault(soak::LinkFault::kNone);
    world.record().Line("the partition has ended");
  }
  world.RunUntil(end + absl::Seconds(2));
  std::map<std::string, std::string> service_of;
  for (const auto& worker : world.workers()) {
    for (const auto& life : worker->lives()) {
      for (const auto& run : life->runs()) {
        service_of[run.id] = absl::StrContains(worker->name(), "a") ? "gate-desk" : "gate-desk-2";
      }
    }
  }
  int late = 0;
  for (const Try& each : world.tries()) {
    const auto run = service_of.find(each.id);
    // The newest version whose time to be applied had passed when the request was sent.
    int must_be = 0;
    int may_be = 0;
    for (const Change& change : changes) {
      must_be = change.acknowledged + kConfigApply < each.sent ? change.version : must_be;
      may_be = change.acknowledged <= each.sent + absl::Seconds(1) ? change.version : may_be;
    }
    if (run == service_of.end() || each.gateway == reader || must_be != may_be) {
      continue;
    }
    const std::string allowed = must_be % 2 == 1 ? "gate-desk" : "gate-desk-2";
    if (run->second != allowed) {
      ++late;
      world.record().Line(each.id, " at ", world.gateways()[each.gateway]->name(), " was sent ",
                          absl::ToInt64Milliseconds(each.sent - changes[must_be - 1].acknowledged),
                          " ms after version ", must_be, " and run by ", run->second);
    }
  }
  world.record().Line("requests sent later than config_apply_ms and run by the old service: ",
                      late);
  const bool broken = late > 0;
  world.record().Line(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace hingespan::review

int main() { return hingespan::review::Run(); }
