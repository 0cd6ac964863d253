// Measures the overhead of a node on a warm request, compared with direct calls to the engine in
// the same run: time to first token, processor time and resident memory, with 1 and with 150 open
// streams. See README.md.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "hingespan/backing/http_machine_list.h"
#include "hingespan/backing/http_table_service.h"
#include "hingespan/common/clock.h"
#include "hingespan/engine/http_engine_client.h"
#include "hingespan/table/record_codec.h"
#include "hingespan/table/records.h"
#include "load/caller_client.h"
#include "load/local_cluster.h"
#include "load/small_stack_threads.h"
#include "load/summary.h"

namespace hingespan::load {
namespace {

constexpr char kZone[] = "z1";
constexpr char kNode[] = "z1-n1";
constexpr char kModel[] = "bench-model";
constexpr absl::Duration kCallTimeout = absl::Seconds(5);
constexpr absl::Duration kWarmUpTimeout = absl::Seconds(15);
constexpr absl::Duration kRequestTimeout = absl::Seconds(20);
constexpr absl::Duration kIdleTime = absl::Seconds(2);
constexpr absl::Duration kWarmUpRetry = absl::Milliseconds(100);

// One load: `streams` callers, each of which sends its next request when the previous one has
// ended.
struct Phase {
  int streams = 1;
  double token_interval_ms = 2;
  int max_tokens = 8;
  absl::Duration duration;
};

// Results seen by the callers, and the processor time that the node used meanwhile.
struct Measurement {
  std::vector<double> first_token_ms;
  std::size_t tokens = 0;
  std::size_t failures = 0;
  std::string first_problem;
  absl::Duration processor_time;
};

struct CallOutcome {
  bool complete = false;
  // Reason why the answer was incomplete or wrong.
  std::string problem;
  absl::Duration first_token;
  int tokens = 0;
};

using Call = std::function<CallOutcome(std::uint64_t number)>;

[[noreturn]] void Fail(const std::string& what) {
  std::cerr << "bench_overhead: " << what << std::endl;
  std::exit(EXIT_FAILURE);
}

// Returns the user and system time of a process: fields 14 and 15 of /proc/PID/stat.
absl::Duration ProcessorTime(pid_t pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return absl::Seconds((user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

// Returns a field of /proc/PID/status in KiB, e.g. "VmRSS:".
std::int64_t MemoryKib(pid_t pid, const std::string& field) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/status"));
  std::string name;
  while (file >> name) {
    if (name == field) {
      std::int64_t kib = 0;
      file >> kib;
      return kib;
    }
  }
  return 0;
}

// An emulated engine behind one node, with one warm replica.
class WarmCluster {
 public:
  explicit WarmCluster(double token_interval_ms) : cluster_(MakeOptions(token_interval_ms)) {
    RequireOk(cluster_.StartEmulator());
    WriteRow();
    RequireOk(cluster_.StartNodes());
    node_ = *cluster_.Node(NodeId(kNode));
    FindEngine();
    WarmUp();
  }

  pid_t node_pid() const { return node_.pid; }

  CallOutcome CallNode(int max_tokens) const {
    CallerRequest request;
    request.model = kModel;
    request.max_tokens = max_tokens;
    request.time_limit = kRequestTimeout;
    const CallerResult result = CallerClient(node_.http_address).Send(request);
    const bool complete = result.outcome == CallerOutcome::kAnswered && !result.wrong;
    const std::string problem = absl::StrCat(
        std::string(CallerOutcomeName(result.outcome)), " ", result.http_status, " ", result.code,
        " ", result.attempt, " ", result.detail, result.wrong ? " wrong tokens" : "");
    return CallOutcome{complete, problem, result.first_token, result.tokens};
  }

  CallOutcome CallEngine(std::uint64_t number, int max_tokens) {
    GenerationRequest request;
    request.request = RequestId(absl::StrCat("direct-", number));
    request.model = ModelName(kModel);
    request.kind = "chat";
    request.body = absl::StrCat(R"({"messages":[{"role":"user","content":"hello"}],"max_tokens":)",
                                max_tokens, "}");
    request.incarnation = incarnation_;
    const absl::Time start = SystemClock().Now();
    CallOutcome outcome;
    const GenerationResult result = engine_.Generate(
        engine_url_, request, start + kRequestTimeout, [&](const GenerationChunk& chunk) {
          if (!chunk.text.empty() && outcome.tokens++ == 0) {
            outcome.first_token = SystemClock().Now() - start;
          }
          return true;
        });
    outcome.complete =
        result.outcome == GenerationOutcome::kComplete && outcome.tokens == max_tokens;
    outcome.problem = result.error.message();
    return outcome;
  }

 private:
  static LocalClusterOptions MakeOptions(double token_interval_ms) {
    LocalClusterOptions options;
    options.program_directory = HINGESPAN_PROGRAM_DIRECTORY;
    options.emulator_settings =
        absl::StrCat(HINGESPAN_SOURCE_DIRECTORY, "/bench/overhead_emulator.toml");
    options.emulator_overrides = {{"engine.token_interval_ms", absl::StrCat(token_interval_ms)}};
    options.node_overrides = {{"keep_warm.mode", "always"}};
    options.zones = {{ZoneId(kZone), 1}};
    return options;
  }

  static void RequireOk(const ClusterStatus& status) {
    if (!status.ok()) {
      Fail(status.detail);
    }
  }

  void WriteRow() {
    ModelRow row;
    row.name = ModelName(kModel);
    row.memory_mib = 1024;
    row.max_queue = 1024;
    row.max_concurrency = 512;
    Transaction transaction;
    transaction.writes = {Write{RowKey(row.name), EncodeRecord(row)}};
    HttpTableService table(cluster_.PlatformAddress(ZoneId(kZone)));
    const Result<TransactionResult> result = table.Commit(transaction, kCallTimeout);
    if (!result || !result->committed) {
      Fail("writing the table row failed");
    }
  }

  void FindEngine() {
    HttpMachineList machines(cluster_.PlatformAddress(ZoneId(kZone)));
    const Result<MachineListing> listing = machines.Read(ZoneId(kZone), kCallTimeout);
    if (!listing || listing->workers.empty()) {
      Fail("no engine in the machine list");
    }
    engine_url_ = listing->workers.front().base_url;
    const Result<EngineStatus> status = engine_.Status(engine_url_, kCallTimeout);
    if (!status) {
      Fail("the engine tells no status");
    }
    incarnation_ = status->incarnation;
  }

  void WarmUp() const {
    const absl::Time end = SystemClock().Now() + kWarmUpTimeout;
    while (!CallNode(1).complete) {
      if (SystemClock().Now() > end) {
        Fail(absl::StrCat("the model did not become warm\n", cluster_.ErrorTail(NodeId(kNode))));
      }
      absl::SleepFor(kWarmUpRetry);
    }
  }

  LocalCluster cluster_;
  HttpEngineClient engine_{HttpEngineClientOptions()};
  RunningNode node_;
  std::string engine_url_;
  WorkerIncarnation incarnation_;
};

Measurement Measure(const Phase& phase, pid_t node_pid, const Call& call) {
  Measurement measurement;
  absl::Mutex mutex;
  std::atomic<std::uint64_t> next_number{1};
  const absl::Duration used_before = ProcessorTime(node_pid);
  const absl::Time start = SystemClock().Now();
  const absl::Time end = start + phase.duration;
  // Staggers the callers: as all requests take equally long, callers that started together would
  // otherwise stay synchronised.
  const absl::Duration request_time =
      absl::Milliseconds(phase.token_interval_ms * phase.max_tokens);
  std::atomic<int> next_caller{0};
  SmallStackThreads callers(phase.streams, [&] {
    const absl::Duration offset = request_time * next_caller.fetch_add(1) / phase.streams;
    absl::SleepFor(start + offset - SystemClock().Now());
    while (SystemClock().Now() < end) {
      const CallOutcome outcome = call(next_number.fetch_add(1));
      absl::MutexLock lock(&mutex);
      if (!outcome.complete) {
        if (measurement.failures++ == 0) {
          measurement.first_problem = outcome.problem;
        }
        continue;
      }
      measurement.first_token_ms.push_back(absl::ToDoubleMilliseconds(outcome.first_token));
      measurement.tokens += static_cast<std::size_t>(outcome.tokens);
    }
  });
  callers.Join();
  measurement.processor_time = ProcessorTime(node_pid) - used_before;
  return measurement;
}

// Returns the processor time of the node without requests, as a share of one core.
double IdleShare(pid_t node_pid) {
  const absl::Duration before = ProcessorTime(node_pid);
  absl::SleepFor(kIdleTime);
  return absl::FDivDuration(ProcessorTime(node_pid) - before, kIdleTime);
}

void PrintRow(const Phase& phase, const std::string& path, const Measurement& measurement) {
  const LatencySummary first_token = SummarizeLatencies(measurement.first_token_ms);
  std::cout << absl::StrFormat("%7d  %-10s %8d %8d %8d %10.2f %10.2f", phase.streams, path,
                               first_token.count, measurement.failures, measurement.tokens,
                               first_token.p50, first_token.p99);
  if (measurement.failures > 0) {
    std::cerr << "first failure of " << path << ": " << measurement.first_problem << std::endl;
  }
}

void PrintProcessor(const Measurement& measurement) {
  const double milliseconds = absl::ToDoubleMilliseconds(measurement.processor_time);
  const auto requests =
      static_cast<double>(std::max<std::size_t>(measurement.first_token_ms.size(), 1));
  const auto tokens = static_cast<double>(std::max<std::size_t>(measurement.tokens, 1));
  std::cout << absl::StrFormat(" %12.3f %12.1f", milliseconds / requests,
                               1000 * milliseconds / tokens);
}

// Measures direct calls to the engine first, then calls through the node.
void RunPhase(const Phase& phase) {
  WarmCluster cluster(phase.token_interval_ms);
  const pid_t pid = cluster.node_pid();
  const std::int64_t resident_idle = MemoryKib(pid, "VmRSS:");
  const double idle_share = IdleShare(pid);
  const Measurement direct = Measure(phase, pid, [&](std::uint64_t number) {
    return cluster.CallEngine(number, phase.max_tokens);
  });
  const Measurement node =
      Measure(phase, pid, [&](std::uint64_t) { return cluster.CallNode(phase.max_tokens); });
  PrintRow(phase, "engine", direct);
  std::cout << "\n";
  PrintRow(phase, "node", node);
  PrintProcessor(node);
  std::cout << "\n";
  const LatencySummary engine_latency = SummarizeLatencies(direct.first_token_ms);
  const LatencySummary node_latency = SummarizeLatencies(node.first_token_ms);
  std::cout << absl::StrFormat(
      "         added: median %.2f ms, p99 %.2f ms; node without requests: %.2f%% of a core, "
      "%.1f MiB; at most %.1f MiB\n",
      node_latency.p50 - engine_latency.p50, node_latency.p99 - engine_latency.p99,
      100 * idle_share, static_cast<double>(resident_idle) / 1024,
      static_cast<double>(MemoryKib(pid, "VmHWM:")) / 1024);
}

void PrintHead() {
  std::cout << absl::StrFormat("%7s  %-10s %8s %8s %8s %10s %10s %12s %12s\n", "streams", "path",
                               "requests", "failures", "tokens", "first p50", "first p99",
                               "CPU ms/req", "CPU us/token");
}

}  // namespace
}  // namespace hingespan::load

int main() {
  using hingespan::load::Phase;
  hingespan::load::PrintHead();
  hingespan::load::RunPhase(Phase{1, 2, 8, absl::Seconds(6)});
  hingespan::load::RunPhase(Phase{150, 50, 60, absl::Seconds(12)});
  return EXIT_SUCCESS;
}
