#include "tests/brittle/brittle_world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace hingespan::gateway {
namespace {

constexpr absl::Duration kRestartTime = absl::Milliseconds(1500);
constexpr int kEvents = 6;
constexpr int kDeadlineMs = 2000;

}  // namespace

BrittleWorld::BrittleWorld(BrittleOptions world_options)
    : options(std::move(world_options)),
      restarting(this, kRestartTime, [this] { return WorkerOptions(); }) {
  for (int number = 0; number < options.workers; ++number) {
    restarting.Start();
  }
  for (int number = 0; number < options.gone_nodes; ++number) {
    const std::string name = absl::StrCat("gone", number);
    // Nothing listens there.
    const nlohmann::json row{{"address", "127.0.0.1:1"}, {"zone", "zone-a"}, {"incarnation", 1}};
    store.Put("hingespan", absl::StrCat("node/", name), row.dump());
  }
  for (int number = 0; number < options.nodes; ++number) {
    AddNode(absl::StrCat("n", number));
  }
  for (const auto& node : nodes) {
    REQUIRE(Wait([&] { return node->gateway.fleet_size() == options.nodes + options.gone_nodes; }));
  }
}

emulator::PlatformWorkerOptions BrittleWorld::WorkerOptions() const {
  emulator::PlatformWorkerOptions worker;
  worker.service = options.service;
  worker.slots = options.slots;
  worker.queue = short_queues ? options.brittle_queue : options.queue;
  worker.run_time = options.run_time;
  worker.events = kEvents;
  worker.event_interval = options.run_time / kEvents;
  if (options.service == "models") {
    worker.models["m1"];
  }
  if (brittle) {
    worker.survived_rejections = options.survived_rejections;
  }
  return worker;
}

void BrittleWorld::StartNode(const DeploymentReader* reader) {
  AddNode(absl::StrCat("n", nodes.size()), "", reader);
}

void BrittleWorld::BeginBrittle() {
  brittle = true;
  for (const auto& worker : workers) {
    worker->SetBrittle(options.survived_rejections);
  }
  // Workers must have rejected nothing before their queues are short.
  SendFor(kNoticeTime, kNoticeLoad);
  short_queues = true;
  for (const auto& worker : workers) {
    worker->SetQueue(options.brittle_queue);
  }
}

double BrittleWorld::Capacity() const {
  return options.workers * options.slots / absl::ToDoubleSeconds(options.run_time);
}

std::uint64_t BrittleWorld::Draw() {
  random ^= random << 13;
  random ^= random >> 7;
  random ^= random << 17;
  return random;
}

void BrittleWorld::SendFor(absl::Duration time, double load) {
  const absl::Duration interval = absl::Seconds(1) / (Capacity() * load);
  const absl::Time end = loop.Now() + time;
  absl::Time next = loop.Now();
  REQUIRE(Wait([&] {
    for (; loop.Now() >= next && next < end; next += interval) {
      SendRequest(Draw() % nodes.size());
    }
    return loop.Now() >= end;
  }));
  REQUIRE(Wait([&] { return AllEnded(); }));
}

void BrittleWorld::SendRequest(std::size_t node) {
  const std::string id = absl::StrCat("r", calls.size());
  TestRequest request;
  request.target = calls.size() % 2 == 0 ? "/safe/x" : "/plain/x";
  if (options.service == "models") {
    request = StreamRequest("/stream/x", "m1");
    request.fields.back().value = absl::StrCat("aa:5,", id, ":5");
  }
  request.id = id;
  request.body = absl::StrCat("body of ", id);
  request.deadline_ms = kDeadlineMs;
  calls.push_back({loop.Now(), node, Send(nodes[node].get(), request)});
}

bool BrittleWorld::AllEnded() const {
  return std::all_of(calls.begin(), calls.end(), [](const Call& call) { return call.call->ended; });
}

int BrittleWorld::Rejections() const {
  int count = 0;
  for (const auto& worker : workers) {
    count += worker->room().rejections();
  }
  return count;
}

std::map<int, int> BrittleWorld::Statuses(std::size_t first) const {
  std::map<int, int> statuses;
  for (std::size_t call = first; call < calls.size(); ++call) {
    ++statuses[calls[call].call->head.status];
  }
  return statuses;
}

double BrittleWorld::ServedShare(std::size_t first) const {
  const std::map<int, int> statuses = Statuses(first);
  const auto served = statuses.find(200);
  return served == statuses.end()
             ? 0.0
             : static_cast<double>(served->second) / static_cast<double>(calls.size() - first);
}

std::string BrittleWorld::ViewsAtRejections() const {
  int all = 0;
  int with_room = 0;
  int repeats = 0;
  for (const auto& node : nodes) {
    for (const std::string& line : node->LogLines()) {
      const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
      if (json.value("event", "") != "worker_rejected") {
        continue;
      }
      const auto number = [&json](const char* key) {
        int value = 0;
        (void)absl::SimpleAtoi(json.value(key, ""), &value);
        return value;
      };
      ++all;
      with_room += number("running") + number("peers_running") <= number("slots") ? 1 : 0;
      repeats += number("attempt") > 1 ? 1 : 0;
    }
  }
  return absl::StrCat("rejections logged ", all, ", with room in the node's view ", with_room,
                      ", of repeats ", repeats);
}

std::string BrittleWorld::Outcomes(std::size_t first) const {
  return absl::StrCat("falls ", falls(), ", rejections ", Rejections(), ", statuses ",
                      absl::StrJoin(Statuses(first), " ", absl::PairFormatter(":")), ", ",
                      ViewsAtRejections());
}

}  // namespace hingespan::gateway
