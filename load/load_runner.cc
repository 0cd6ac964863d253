#include "load/load_runner.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hingespan/common/clock.h"
#include "load/residency.h"
#include "load/schedule.h"
#include "load/small_stack_threads.h"

namespace hingespan::load {
namespace {

// Delay between the start of the threads and the first planned instant.
constexpr absl::Duration kStartDelay = absl::Milliseconds(100);

void SleepUntil(absl::Time instant) { absl::SleepFor(instant - SystemClock().Now()); }

// One run. A fixed number of threads takes the requests in order, and each waits for the planned
// instant of its request. A request starts late only while all threads wait for answers.
class Run {
 public:
  Run(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario), options_(options), schedule_(BuildSchedule(scenario)) {}

  RunRecord Execute() {
    const std::optional<Totals> before = ReadTotals();
    const int threads = std::min<int>(scenario_.maximum_in_flight, ScheduleSize());
    requests_.resize(schedule_.size());
    start_ = SystemClock().Now() + kStartDelay;
    wall_start_ = SystemClock().WallTime() + kStartDelay;
    std::thread fault_thread([this] { InjectFaults(); });
    SmallStackThreads senders(threads, [this] { SendRequests(); });
    senders.Join();
    SleepUntil(start_ + scenario_.duration);
    fault_thread.join();
    return MakeRecord(before);
  }

 private:
  int ScheduleSize() const { return static_cast<int>(schedule_.size()); }

  void SendRequests() {
    while (true) {
      const std::size_t index = next_.fetch_add(1);
      if (index >= schedule_.size()) {
        return;
      }
      SleepUntil(start_ + schedule_[index].at);
      requests_[index] = Send(schedule_[index]);
    }
  }

  RequestRecord Send(const PlannedRequest& planned) const {
    const RequestClass& request_class = scenario_.classes[planned.class_index];
    const std::string& node = options_.nodes[planned.router % options_.nodes.size()];
    const CallerRequest request = MakeRequest(planned, request_class);
    const absl::Duration late = SystemClock().Now() - (start_ + planned.at);
    const CallerResult result = CallerClient(node).Send(request);
    RequestRecord record;
    record.number = planned.number;
    record.planned = planned.at;
    record.request_class = request_class.name;
    record.model = planned.model;
    record.node = node;
    record.repeatable = request_class.repeatable;
    record.tag = request.tag;
    record.outcome = result.outcome;
    record.http_status = result.http_status;
    record.code = result.code;
    record.attempt = result.attempt;
    record.key = result.key;
    record.late = std::max(late, absl::ZeroDuration());
    record.first_token = result.first_token + record.late;
    record.total = result.total + record.late;
    record.wrong = result.wrong;
    record.retry_after = result.retry_after;
    record.tokens = result.tokens;
    record.answered_request = result.answered_request;
    return record;
  }

  CallerRequest MakeRequest(const PlannedRequest& planned,
                            const RequestClass& request_class) const {
    CallerRequest request;
    request.model = planned.model;
    request.prompt = absl::StrCat(request_class.name, " ", planned.number);
    request.max_tokens = request_class.max_tokens;
    request.stream = request_class.stream;
    request.repeatable = request_class.repeatable;
    request.tag = MakeUuidV7(wall_start_ + planned.at, planned.key_bits);
    request.priority = request_class.priority;
    request.time_limit = request_class.time_limit;
    if (!request_class.repeatable) {
      request.idempotency_key = request.tag;
    }
    return request;
  }

  void InjectFaults() {
    if (options_.admin.empty()) {
      return;
    }
    std::vector<TimedFault> faults = scenario_.faults;
    std::stable_sort(
        faults.begin(), faults.end(),
        [](const TimedFault& left, const TimedFault& right) { return left.at < right.at; });
    const AdminClient admin(options_.admin);
    for (const TimedFault& fault : faults) {
      SleepUntil(start_ + fault.at);
      if (admin.PostFault(fault.json)) {
        ++failed_faults_;
      }
    }
  }

  std::optional<Totals> ReadTotals() const {
    if (options_.admin.empty()) {
      return std::nullopt;
    }
    Result<Totals> totals = AdminClient(options_.admin).ReadTotals();
    if (!totals) {
      return std::nullopt;
    }
    return std::move(*totals);
  }

  std::vector<LogEntry> ReadLog() const {
    std::vector<LogEntry> log;
    if (options_.admin.empty()) {
      return log;
    }
    const AdminClient admin(options_.admin);
    std::uint64_t after = 0;
    while (true) {
      const Result<std::vector<LogEntry>> entries = admin.Log(after);
      if (!entries || entries->empty()) {
        return log;
      }
      log.insert(log.end(), entries->begin(), entries->end());
      after = entries->back().sequence;
    }
  }

  ResidencyChange ToChange(const LogEntry& entry) const {
    ResidencyChange change;
    change.at = absl::Milliseconds(entry.at_ms) - (wall_start_ - absl::UnixEpoch());
    change.event = entry.event;
    change.worker = entry.worker;
    change.model = entry.model;
    change.memory_used_mib = entry.memory_used_mib;
    change.replicas_of_model = entry.replicas_of_model;
    return change;
  }

  RunRecord MakeRecord(const std::optional<Totals>& before) {
    RunRecord record;
    record.header.scenario = scenario_.name;
    record.header.label = options_.label;
    record.header.seed = scenario_.seed;
    record.header.duration = scenario_.duration;
    record.header.time_compression = scenario_.time_compression;
    record.header.accelerator_mib = scenario_.accelerator_mib;
    record.header.started_unix_ms = absl::ToUnixMillis(wall_start_);
    record.header.nodes = options_.nodes;
    record.requests = std::move(requests_);
    record.end.late_starts = static_cast<std::size_t>(
        std::count_if(record.requests.begin(), record.requests.end(),
                      [](const RequestRecord& request) { return request.late > kLateStart; }));
    record.end.failed_faults = failed_faults_;
    record.end.totals = ReadTotals();
    if (record.end.totals.has_value() && before.has_value()) {
      record.end.totals->loads_begun -= before->loads_begun;
      record.end.totals->idle_mib_seconds -= before->idle_mib_seconds;
      record.end.totals->busy_mib_seconds -= before->busy_mib_seconds;
    }
    const std::vector<LogEntry> log = ReadLog();
    for (const LogEntry& entry : log) {
      if (IsResidencyEvent(entry.event)) {
        record.end.residency.push_back(ToChange(entry));
      }
    }
    MarkColdRequests(record.end.residency, &record.requests);
    MarkForeignAnswers(log, &record.requests);
    return record;
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  const std::vector<PlannedRequest> schedule_;
  absl::Time start_;
  absl::Time wall_start_;
  std::atomic<std::size_t> next_{0};
  // Each element is written only by the thread that took its index.
  std::vector<RequestRecord> requests_;
  // Written by the fault thread and read after it has been joined.
  std::size_t failed_faults_ = 0;
};

}  // namespace

RunRecord RunScenario(const Scenario& scenario, const RunOptions& options) {
  return Run(scenario, options).Execute();
}

}  // namespace hingespan::load
