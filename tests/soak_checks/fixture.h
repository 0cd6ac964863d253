// Hand-made records of a soak run, and an emulated worker that receives real requests.
#ifndef TESTS_SOAK_CHECKS_FIXTURE_H_
#define TESTS_SOAK_CHECKS_FIXTURE_H_

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "emulator/platform_store.h"
#include "hingespan/common/clock.h"
#include "tests/soak/promises.h"

namespace hingespan::soak {

// Seconds after the start of the tests. The emulated worker stamps its runs with the same clock, so
// hand-made records and real runs have the same order on every machine.
inline absl::Time At(double seconds) {
  static const absl::Time start = SystemClock().Now();
  return start + absl::Seconds(seconds);
}

struct Fixture {
  Fixture() {
    options.id = "w1";
    options.service = "plain";
    options.includes_request_id = true;
    options.model_memory_mb = 100;
    options.memory_mb = 150;
    worker = std::make_unique<emulator::PlatformWorker>(&loop, &store, options);
    views.push_back({"w1", worker.get(), "plain"});
    records.traffic_began = At(0);
  }

  RequestRecord* Add(RequestKind kind, int status, const std::string& body) {
    auto record = std::make_unique<RequestRecord>();
    record->loop = &loop;
    record->id = absl::StrCat("r", records.requests.size());
    record->kind = kind;
    record->incarnation = 1;
    record->sent = At(1);
    record->deadline = absl::Seconds(1);
    record->ended_at = At(1.1);
    record->head.status = status;
    record->head.fields = {{"Attempt-Id", record->id},
                           {"Server-Seal", absl::StrCat("seal-", record->id)}};
    record->body = body;
    record->result = gateway::ExchangeResult::kComplete;
    records.requests.push_back(std::move(record));
    return records.requests.back().get();
  }

  // Moves a request to this time; its latency stays as it is.
  static void MoveTo(absl::Time sent, RequestRecord* request) {
    request->ended_at += sent - request->sent;
    request->sent = sent;
  }

  // Sends a request directly to the worker.
  void Run(const std::string& id, const std::string& target, const std::string& body) {
    RequestRecord call;
    call.loop = &loop;
    call.exchange =
        client.Send(worker->address(),
                    gateway::RequestText("POST", target, "h", {{"Attempt-Id", id}}, body), &call);
    REQUIRE(loop.RunUntil([&] { return call.ended(); }, absl::Seconds(10)));
  }

  std::vector<std::string> Broken() {
    std::vector<std::string> names;
    for (const BrokenPromise& broken : CheckPromises(records, views)) {
      names.push_back(broken.promise);
    }
    return names;
  }

  gateway::EventLoop loop;
  emulator::PlatformStore store{&loop};
  gateway::HttpClient client{&loop, gateway::ClientLimits{}};
  emulator::PlatformWorkerOptions options;
  std::unique_ptr<emulator::PlatformWorker> worker;
  std::vector<SoakWorkerView> views;
  SoakRecords records;
};

using Names = std::vector<std::string>;

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_CHECKS_FIXTURE_H_
