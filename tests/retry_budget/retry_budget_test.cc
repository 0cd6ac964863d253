// Tests of the retry budget on a simulated fleet whose nodes start, are killed, stop and fail to
// read the fleet table. The retries of all nodes together are counted the way the users count them.
#include "hingespan/serving/retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

constexpr char kService[] = "s";
constexpr char kPausedWorker[] = "w";
const RetryBudgetLimits kLimits{0.2, 24, absl::Seconds(10)};
constexpr int kNodes = 6;
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kStep = 0.1;
// Times in seconds at which disturbances may begin and at which the run ends.
constexpr double kUndisturbed = 45;
constexpr double kEnd = 100;
constexpr double kStopTime = 8;
constexpr double kLongestReadInterval = 7.5;
constexpr double kOldestCopy = 2;
constexpr double kRequestsEachSecond = 20;

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

enum class EventKind { kKill, kStop, kReadOutage, kFailures, kMoveLoad, kPauseWorkers };

// Disturbance that affects `count` nodes, starting with `node`.
struct Event {
  EventKind kind = EventKind::kKill;
  double at = 0;
  int node = 0;
  int count = 1;
  double seconds = 0;
};

void showValue(const Event& event, std::ostream& out) {
  out << "kind " << static_cast<int>(event.kind) << " at " << event.at << " node " << event.node
      << " count " << event.count << " seconds " << event.seconds;
}

rc::Gen<std::vector<Event>> EventsOf(const std::vector<EventKind>& kinds) {
  return rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::elementOf(kinds)),
      rc::gen::set(&Event::at,
                   rc::gen::map(rc::gen::inRange(static_cast<int>(kUndisturbed * 10), 900),
                                [](int tenths) { return tenths / 10.0; })),
      rc::gen::set(&Event::node, rc::gen::inRange(0, kNodes)),
      rc::gen::set(&Event::count, rc::gen::inRange(1, kNodes + 1)),
      rc::gen::set(&Event::seconds, rc::gen::map(rc::gen::inRange(1, 25), [](int seconds) {
        return static_cast<double>(seconds);
      }))));
}

// Simulates nodes with a fleet table in virtual time. Requests arrive at a steady rate; while
// workers fail, every node sends all retries that its budget allows.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(unsigned seed) : random_(seed) {
    for (int node = 0; node < kNodes; ++node) {
      processes_.push_back(StartProcess(node));
    }
  }

  void Run(std::vector<Event> events) {
    std::stable_sort(events.begin(), events.end(),
                     [](const Event& left, const Event& right) { return left.at < right.at; });
    auto next = events.begin();
    for (; now_ < kEnd; now_ += kStep) {
      for (; next != events.end() && next->at <= now_; ++next) {
        ApplyEvent(*next);
      }
      Step();
    }
  }

  // Returns the largest excess of retries over the users' limit in any window; at most 0 if the
  // limit is never exceeded.
  double WorstExcess() const {
    double worst = -kNever;
    const double window = absl::ToDoubleSeconds(kLimits.window);
    for (const double end : repeats_) {
      // The users count the requests of the same window, or of a window that lies half a window or
      // one window earlier.
      const int most = std::max({Count(requests_, end - window, end),
                                 Count(requests_, end - 1.5 * window, end - 0.5 * window),
                                 Count(requests_, end - 2 * window, end - window)});
      worst = std::max(worst,
                       Count(repeats_, end - window, end) - (kLimits.ratio * most + kLimits.extra));
    }
    return worst;
  }
  int repeats_after(double begin) const { return Count(repeats_, begin, kNever); }

 private:
  struct Process {
    RetryBudget budget;
    double ends = kNever;
    double next_read = 0;
    double reads_fail_until = 0;
  };

  static std::string NameOf(int node) { return absl::StrCat("n", node); }

  static int Count(const std::vector<double>& sorted, double begin, double end) {
    return static_cast<int>(std::upper_bound(sorted.begin(), sorted.end(), end) -
                            std::upper_bound(sorted.begin(), sorted.end(), begin));
  }

  double Uniform(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }

  Process StartProcess(int node) {
    table_.insert(NameOf(node));
    tables_[now_] = table_;
    return {RetryBudget(kLimits, FleetShare(NameOf(node)), At(now_)), kNever, now_ + Uniform(0, 2),
            0};
  }

  void ApplyEvent(const Event& event) {
    for (int number = 0; number < event.count; ++number) {
      const int node = (event.node + number) % kNodes;
      Process& process = processes_[node];
      switch (event.kind) {
        case EventKind::kKill:
          process = StartProcess(node);
          break;
        case EventKind::kStop:
          if (process.ends == kNever) {
            process.ends = now_ + Uniform(3, kStopTime);
            table_.erase(NameOf(node));
            tables_[now_] = table_;
          }
          break;
        case EventKind::kReadOutage:
          process.reads_fail_until = now_ + event.seconds;
          break;
        case EventKind::kFailures:
          failing_until_ = now_ + event.seconds;
          break;
        case EventKind::kMoveLoad:
          busiest_ = node;
          break;
        case EventKind::kPauseWorkers:
          paused_until_ = std::max(paused_until_, now_ + event.seconds);
          break;
      }
    }
  }

  // Half of the workers read nothing while they are paused, and all at once when they go on.
  void ReadLate() {
    if (now_ < paused_until_ || unread_ == 0) {
      return;
    }
    repeats_.insert(repeats_.end(), unread_, now_);
    unread_ = 0;
    for (Process& process : processes_) {
      process.budget.unread()->OnHeard(kPausedWorker, At(now_));
    }
  }

  void SendRetry(RetryBudget* budget) {
    if (now_ >= paused_until_ || Uniform(0, 1) < 0.5) {
      repeats_.push_back(now_);
      return;
    }
    ++unread_;
    budget->unread()->CountAsRetry(budget->unread()->Add(kService, kPausedWorker, At(now_)));
  }

  void Step() {
    ReadLate();
    for (int node = 0; node < kNodes; ++node) {
      Process& process = processes_[node];
      if (process.ends <= now_) {
        process = StartProcess(node);
      }
      if (process.next_read <= now_ && process.reads_fail_until <= now_) {
        Read(&process);
      }
    }
    const double expected = kRequestsEachSecond * kStep;
    for (int number = 0; number < static_cast<int>(expected); ++number) {
      // The busiest node, if there is one, receives most of the load.
      const int node =
          busiest_ >= 0 && Uniform(0, 1) < 0.9 ? busiest_ : static_cast<int>(Uniform(0, kNodes));
      processes_[node].budget.RecordRequest(kService, At(now_));
      requests_.push_back(now_);
    }
    if (now_ < failing_until_) {
      for (Process& process : processes_) {
        while (process.budget.TryAcquire(kService, At(now_))) {
          SendRetry(&process.budget);
        }
      }
    }
  }

  // Gives the process a slightly outdated copy of the table.
  void Read(Process* process) {
    process->next_read = now_ + Uniform(1, kLongestReadInterval);
    const double copied_at = std::max(0.0, now_ - Uniform(0, kOldestCopy));
    const std::set<std::string>& copy = std::prev(tables_.upper_bound(copied_at))->second;
    process->budget.SetNodes({copy.begin(), copy.end()}, At(now_), At(now_));
  }

  std::mt19937 random_;
  double now_ = 0;
  std::set<std::string> table_;
  // States of the table by the time at which each became current.
  std::map<double, std::set<std::string>> tables_;
  std::vector<Process> processes_;
  double failing_until_ = 0;
  double paused_until_ = 0;
  // Retries that paused workers will read.
  int unread_ = 0;
  int busiest_ = -1;
  std::vector<double> requests_;
  std::vector<double> repeats_;
};

// Runs a fleet with events of these kinds and failing workers, and checks the budget.
void CheckBudget(std::vector<EventKind> kinds) {
  kinds.push_back(EventKind::kFailures);
  const std::vector<Event> events = *EventsOf(kinds);
  SimulatedFleet fleet(*rc::gen::arbitrary<unsigned>());
  fleet.Run(events);
  RC_ASSERT(fleet.WorstExcess() <= 0);
}

// Guards against a restarted process that spends the share of the budget that its predecessor
// already used.
TEST_CASE("a restarted process does not spend its predecessor's retries again") {
  CHECK(rc::check("nodes are killed", [] { CheckBudget({EventKind::kKill}); }));
}

// Guards against dividing the budget by fewer nodes than still send retries.
TEST_CASE("slowly stopping nodes stay within the shares that the others leave them") {
  CHECK(rc::check("nodes stop", [] { CheckBudget({EventKind::kStop}); }));
}

// Guards against a node that uses an outdated number of nodes, or none.
TEST_CASE("a node that can't read the table does not use a share that others may use") {
  CHECK(rc::check("nodes can't read the table", [] {
    CheckBudget({EventKind::kReadOutage, EventKind::kStop, EventKind::kKill});
  }));
}

// Guards against nodes that earn retries in turn, each from the requests of a different window.
TEST_CASE("load that moves from node to node earns its retries only once") {
  CHECK(rc::check("load moves", [] { CheckBudget({EventKind::kMoveLoad}); }));
}

// Guards against retries that are charged when they are sent, and read in a later window.
TEST_CASE("retries that paused workers read late stay within the budget") {
  CHECK(rc::check("workers are paused", [] { CheckBudget({EventKind::kPauseWorkers}); }));
}

// Guards against any combination of these failures.
TEST_CASE("property: a fleet with failures stays within the budget in any window") {
  CHECK(rc::check("all together", [] {
    CheckBudget({EventKind::kKill, EventKind::kStop, EventKind::kReadOutage, EventKind::kMoveLoad});
  }));
}

// Guards against nodes whose counts, taken at different times, add up to more than the limit.
TEST_CASE("property: all nodes together stay within the budget in any window") {
  CHECK(rc::check("retries of several nodes", [] {
    const RetryBudgetLimits limits{0.2, 12, absl::Seconds(10)};
    const int nodes = *rc::gen::inRange(1, 5);
    std::vector<std::string> names;
    names.reserve(nodes);
    for (int node = 0; node < nodes; ++node) {
      names.push_back(absl::StrCat("n", node));
    }
    std::vector<RetryBudget> budgets;
    budgets.reserve(nodes);
    for (const std::string& name : names) {
      budgets.emplace_back(limits, FleetShare(name), At(-30));
      // This read lies far enough in the past for each node to have its share from the first
      // request on.
      budgets.back().SetNodes(names, At(-30), At(-30));
    }
    std::vector<double> requests;
    std::vector<double> repeats;
    double now = 0;
    for (int step = 0; step < 400; ++step) {
      now += 0.05;
      for (RetryBudget& each : budgets) {
        each.SetNodes(names, At(now), At(now));
      }
      RetryBudget& budget = budgets[*rc::gen::inRange(0, nodes)];
      if (*rc::gen::inRange(0, 3) == 0) {
        budget.RecordRequest("s", At(now));
        requests.push_back(now);
      } else if (budget.TryAcquire("s", At(now))) {
        repeats.push_back(now);
      }
    }
    const auto count = [](const std::vector<double>& times, double begin, double end) {
      int sum = 0;
      for (const double time : times) {
        sum += time > begin && time <= end ? 1 : 0;
      }
      return sum;
    };
    for (const double end : repeats) {
      // The users count the requests of the same window, or of a window that lies half a window or
      // one window earlier.
      const int most = std::max({count(requests, end - 10, end), count(requests, end - 15, end - 5),
                                 count(requests, end - 20, end - 10)});
      RC_ASSERT(count(repeats, end - 10, end) <= 0.2 * most + 12);
    }
  }));
}

// Guards against a budget that is met by sending no retries at all.
TEST_CASE("an undisturbed fleet may send most of its budget") {
  SimulatedFleet fleet(1);
  fleet.Run({{EventKind::kFailures, kUndisturbed, 0, 1, 10}});
  const double allowed = kLimits.ratio * kRequestsEachSecond * 10 + kLimits.extra;
  CHECK(fleet.repeats_after(kUndisturbed - kStep) >= 0.7 * allowed);
  CHECK(fleet.WorstExcess() <= 0);
}

}  // namespace
}  // namespace hingespan::gateway
