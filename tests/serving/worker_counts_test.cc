// Tests of the directory's counts for workers whose rows disappear and reappear.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Seconds(1000);

WorkerRecord RecordOf(const std::string& id, int slots) {
  WorkerRecord record;
  record.id = id;
  record.service = "s";
  record.slots = slots;
  return record;
}

Configuration OneService() {
  Configuration configuration;
  configuration.services.push_back({"s", 10, std::nullopt});
  return configuration;
}

WorkerDemand DemandOf(int prompt_tokens) {
  WorkerDemand demand;
  demand.service = "s";
  demand.model = ModelKey{"", ""};
  demand.prompt_tokens = prompt_tokens;
  return demand;
}

// Guards against sending a worker more requests than it has slots after its row disappeared for a
// while, e.g. during an outage of the store, because requests in flight are no longer counted.
TEST_CASE("attempts in flight are counted when the row of their worker reappears") {
  const Configuration configuration = OneService();
  WorkerDirectory workers("n", "z");
  workers.Update(RecordOf("w1", 2), 1, kNow);
  const WorkerDemand demand = DemandOf(30);
  workers.AttemptStarted(workers.Find("w1"), demand, kNow);
  workers.AttemptStarted(workers.Find("w1"), demand, kNow);
  SUBCASE("removed by a change") { workers.Remove("w1", 2); }
  SUBCASE("not among the rows of a snapshot") { workers.RetainOnly({}, 2); }
  REQUIRE(workers.Find("w1") == nullptr);
  workers.AttemptEnded("w1", "", 30, AttemptOutcome::kServed, kNow);
  workers.Update(RecordOf("w1", 2), 3, kNow);
  CHECK(workers.Find("w1")->running == 1);
  CHECK(workers.Find("w1")->unread_tokens == 30);
  workers.AttemptStarted(workers.Find("w1"), demand, kNow);
  CHECK(workers.Choose(demand, configuration, kNow).problem == ChoiceProblem::kAllBusy);
  workers.AttemptEnded("w1", "", 30, AttemptOutcome::kServed, kNow);
  workers.AttemptEnded("w1", "", 30, AttemptOutcome::kServed, kNow);
  CHECK(workers.Find("w1")->running == 0);
  CHECK(workers.Find("w1")->running_by_model.empty());
}

// Guards against a worker that counts as full for as long as this node gets no reports, e.g. while
// the lease holder and the store are unreachable.
TEST_CASE("the other nodes' loads expire when they are no longer reported") {
  const Configuration configuration = OneService();
  WorkerDirectory workers("n", "z");
  workers.Update(RecordOf("w1", 2), 1, kNow);
  workers.SetPeersLoads({{"w1", {2, 30}}}, kNow);
  const WorkerDemand demand = DemandOf(30);
  // The loads are kept during a takeover of the lease.
  CHECK(workers.Choose(demand, configuration, kNow + absl::Seconds(8)).problem ==
        ChoiceProblem::kAllBusy);
  CHECK(workers.Choose(demand, configuration, kNow + absl::Minutes(1)).worker != nullptr);
}

// Guards against counts that drift, so that a worker looks busy or free forever.
TEST_CASE("property: the running count equals the attempts that started and have not ended") {
  CHECK(rc::check("rows and attempts in any order", [] {
    WorkerDirectory workers("n", "z");
    struct Attempt {
      std::string worker;
      std::string model;
      int tokens = 0;
      bool began = false;
    };
    std::vector<Attempt> attempts;
    std::uint64_t version = 0;
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      const std::string id = *rc::gen::element<std::string>("w1", "w2");
      WorkerState* const worker = workers.Find(id);
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          workers.Update(RecordOf(id, 4), ++version, kNow);
          break;
        case 1:
          workers.Remove(id, ++version);
          break;
        case 2:
          workers.RetainOnly({id}, ++version);
          break;
        case 3:
          if (worker != nullptr) {
            Attempt attempt{id, *rc::gen::element<std::string>("", "m"), *rc::gen::inRange(0, 9)};
            WorkerDemand demand = DemandOf(attempt.tokens);
            demand.model.model = attempt.model;
            workers.AttemptStarted(worker, demand, kNow);
            attempts.push_back(attempt);
          }
          break;
        case 4:
          if (!attempts.empty() && !attempts.back().began) {
            attempts.back().began = true;
            workers.AnswerStarted(attempts.back().worker, attempts.back().tokens,
                                  absl::Milliseconds(1), kNow);
          }
          break;
        default:
          if (!attempts.empty()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, attempts.size());
            const Attempt& attempt = attempts[at];
            workers.AttemptEnded(attempt.worker, attempt.model, attempt.began ? 0 : attempt.tokens,
                                 *rc::gen::element(AttemptOutcome::kServed, AttemptOutcome::kFailed,
                                                   AttemptOutcome::kCancelled),
                                 kNow);
            attempts.erase(attempts.begin() + static_cast<std::ptrdiff_t>(at));
          }
          break;
      }
      for (const auto& [name, state] : workers.workers()) {
        int running = 0;
        int tokens = 0;
        std::map<std::string, int> by_model;
        for (const Attempt& attempt : attempts) {
          if (attempt.worker == name) {
            ++running;
            tokens += attempt.began ? 0 : attempt.tokens;
            ++by_model[attempt.model];
          }
        }
        RC_ASSERT(state.running == running);
        RC_ASSERT(state.unread_tokens == tokens);
        RC_ASSERT(state.running_by_model == by_model);
      }
    }
  }));
}

}  // namespace
}  // namespace hingespan::gateway
