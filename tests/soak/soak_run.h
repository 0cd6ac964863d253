// One soak run: gateway processes, an emulated platform behind loopback proxies, callers, an
// operator and planned faults.
#ifndef TESTS_SOAK_SOAK_RUN_H_
#define TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "emulator/platform_store.h"
#include "emulator/platform_worker.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "tests/soak/fault_plan.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/kept_caller.h"
#include "tests/soak/promises.h"
#include "tests/soak/soak_records.h"
#include "tests/soak/worker_process.h"

namespace hingespan::soak {

// Time from SIGTERM to SIGKILL.
constexpr int kStopSeconds = 6;

// Part of prompts that crashes workers, and the model that all requests with prompts name.
constexpr const char* kCrashingPart = "bad";
constexpr const char* kPromptModel = "m1";
// Time after the first request at which prompts with the crashing part begin.
constexpr absl::Duration kPromptsBegin = absl::Seconds(4);

constexpr int kModels = 4;
constexpr const char* kHost = "soak.example";
constexpr const char* kLargeStreamTarget = "/resumable/large";
constexpr const char* kLargeOnceTarget = "/once/large";
constexpr int kLargeStreamEvents = 200;
constexpr std::size_t kLargeStreamPadding = 1500;

// Text in the bodies of requests that end workers.
constexpr const char* kCrashingBody = "ends workers";

// Requests that wait at a worker with limited room unless it is brittle.
constexpr int kQueue = 24;

enum class Style {
  // Single faults, drawn from all kinds.
  kSingle,
  // Single faults, and series of signals, changes, kills and failures.
  kMixed,
  // Series of operator work only.
  kPlanned,
  // Faults that break streams off, with little else.
  kStreams,
  // Prompts with a part that crashes workers, beside sound ones; gateways are killed and stopped.
  kPrompts,
  // Workers that fall over when they reject much, under more requests than they can serve; gateways
  // are killed and stopped.
  kBrittle,
  // Workers that are processes of their own and are paused; gateways are killed and stopped.
  kPaused,
  // Single requests that end each worker which runs them, whose callers try again at other
  // gateways;
  // gateways are killed and stopped.
  kRequests,
};

const char* StyleName(Style style);

struct SoakOptions {
  std::uint64_t seed = 1;
  absl::Duration length = absl::Seconds(20);
  std::size_t gateways = 4;
  Style style = Style::kSingle;
  std::string program;
  // Program of workers that are processes of their own.
  std::string worker_program;
  // Folder for settings and logs.
  std::string folder;
};

// Not thread-safe; everything except the gateways runs on one event loop in this process.
class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);
  ~SoakRun();

  // Returns the style of a seed that is played without an explicit one.
  static Style DefaultStyle(std::uint64_t seed);
  // Plays the run and returns the broken promises.
  std::vector<BrokenPromise> Play();
  // Returns the numbers of requests by status, for the report.
  std::string Summary() const;
  const std::vector<PlannedFault>& plan() const { return plan_; }

 private:
  struct Gateway {
    std::unique_ptr<FaultProxy> store_link;
    std::unique_ptr<GatewayProcess> process;
    bool paused = false;
    bool stopping = false;
    bool stop_when_started = false;
    // Earliest time of the next restart.
    absl::Time down_until;
    absl::Time listens_by = absl::InfiniteFuture();
  };
  struct Worker {
    std::string id;
    std::string service;
    std::unique_ptr<emulator::PlatformWorker> worker;
    std::unique_ptr<FaultProxy> link;
    std::string software_version;
    // True until the worker crashes or leaves for good.
    bool present = true;
  };

  void AddWorker(const std::string& service, const std::string& model,
                 const std::string& software_version);
  // Returns the software version of the worker that replaces one of this version: the same, or one
  // that no worker has had before.
  std::string VersionOfReplacement(const std::string& software_version);
  std::string NewVersion();
  // Replaces the model workers one after the other by workers of a new software version.
  void BeginUpgrade();
  void UpgradeNext(const std::string& software_version);
  // Takes up streams whose answer ended early.
  void TakeUpStreams();
  void TakeUp(const RequestRecord& record);
  // Starts the workers that are processes of their own and writes their rows. Returns whether all
  // listen in time.
  bool StartProcessWorkers();
  void SendToProcesses();
  void PauseWorker(const PlannedFault& fault);
  void SendPrompt();
  // Lets the workers be brittle from now on.
  void BeginBrittle();
  void EndBrittle();
  void SetRoom(Worker* worker);
  // Sends more requests than brittle workers have room for.
  void Press();
  void FallOver(Worker* worker);
  // Sends a new request that ends workers.
  void SendCrashing();
  // Sends the next try of each such request whose last one has failed.
  void RetryCrashing();
  void SendCrashingTry(RequestRecord* record);
  void CrashByRequest(Worker* worker);
  void PutConfiguration();
  void Every(absl::Duration interval, std::function<void()> task);
  void At(absl::Duration after, std::function<void()> task);
  void SendRequest();
  void SendProbes();
  void Send(std::size_t gateway, RequestKind kind, const std::string& target);
  RequestRecord* AddRecord(std::size_t gateway, RequestKind kind);
  // Draws the model of a new stream with `random`.
  std::string RequestBytes(RequestRecord* record, std::mt19937_64* random);
  void AddKeepAliveCallers();
  RequestRecord* NextKeepAliveRequest(std::size_t gateway, bool slow, std::string* bytes);
  void KeepGatewaysRunning();
  void AwaitStart(std::size_t index);
  void InjectFault(const PlannedFault& fault);
  void InjectGatewayFault(const PlannedFault& fault);
  void InjectStoreFault(const PlannedFault& fault);
  void InjectWorkerFault(const PlannedFault& fault);
  void RunSeriesStep(const PlannedFault& fault);
  void InjectServiceFault(const PlannedFault& fault);
  void StopGateway(std::size_t index);
  // Signals the gateway if it serves; returns whether it does.
  bool SignalAsOperator(std::size_t index, int signal);
  std::vector<Worker*> PresentWorkers();
  // Lets a worker that is about to answer a prompt with the crashing part crash.
  void CrashByPrompt(Worker* worker);
  void RemoveWorker(Worker* worker, bool announced);
  void RecordDisturbance(Disturbance::Component component, std::size_t target,
                         absl::Duration duration);
  // Returns whether workers reject orders with an outdated fencing token. Where they don't, a late
  // order with an older token is carried out, which breaks a promise.
  bool WorkersCheckTokens() const;

  SoakOptions options_;
  gateway::EventLoop loop_;
  std::mt19937_64 random_;
  emulator::PlatformStore store_;
  gateway::HttpClient client_;
  std::vector<Gateway> gateways_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<WorkerProcess>> process_workers_;
  // Pauses of each of them that have not ended.
  std::vector<int> open_pauses_;
  // Views of all workers that there were; filled at the end of the run.
  std::vector<SoakWorkerView> views_;
  std::vector<PlannedFault> plan_;
  std::vector<std::unique_ptr<gateway::LoopTimer>> timers_;
  SoakRecords records_;
  std::mt19937_64 keep_alive_random_;
  std::vector<std::unique_ptr<KeepAliveCaller>> keep_alive_callers_;
  // Draws that are apart, so that they don't change those of the other callers and faults.
  std::mt19937_64 version_random_;
  std::mt19937_64 prompt_random_;
  std::mt19937_64 press_random_;
  // Requests whose streams may still have to be taken up.
  std::vector<RequestRecord*> open_streams_;
  // The last tries of requests that end workers.
  std::vector<RequestRecord*> open_crashing_;
  int newest_version_ = 2;
  int next_request_ = 0;
  int next_worker_ = 0;
  int version_ = 0;
  bool brittle_ = false;
  bool short_queues_ = false;
  bool finished_ = false;
  bool sending_ = true;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_SOAK_RUN_H_
