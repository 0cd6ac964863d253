// One run of the soak: gateways as processes of their own, a stand-in of the platform behind
// loopback proxies, callers, an operator, and faults by plan.
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

namespace hingespan::soak {

// From SIGTERM to SIGKILL.
constexpr int kStopSeconds = 6;

constexpr int kModels = 4;
constexpr const char* kHost = "soak.example";
constexpr const char* kLargeStreamTarget = "/resumable/large";
constexpr const char* kLargeOnceTarget = "/once/large";
constexpr int kLargeStreamEvents = 200;
constexpr std::size_t kLargeStreamPadding = 1500;

enum class Style {
  // One fault after the other, drawn from all kinds.
  kSingle,
  // Those, and series of signals, changes, kills and failures.
  kMixed,
  // Series of the operator's work alone.
  kPlanned,
};

const char* StyleName(Style style);

struct SoakOptions {
  std::uint64_t seed = 1;
  absl::Duration length = absl::Seconds(20);
  std::size_t gateways = 4;
  Style style = Style::kSingle;
  std::string program;
  // For settings and logs.
  std::string folder;
};

// Not thread-safe; everything runs on one loop in this process, but for the gateways.
class SoakRun {
 public:
  explicit SoakRun(SoakOptions options);
  ~SoakRun();

  // Of a seed that is played without one.
  static Style StyleOf(std::uint64_t seed);
  // Plays the run and checks what was seen. Empty: no promise was broken.
  std::vector<BrokenPromise> Play();
  // For the report: requests sent, by status and result.
  std::string Summary() const;
  const std::vector<PlannedFault>& plan() const { return plan_; }

 private:
  struct Gateway {
    std::unique_ptr<FaultProxy> store_link;
    std::unique_ptr<GatewayProcess> process;
    bool paused = false;
    bool stopping = false;
    bool stop_when_started = false;
    // Restarts are held back until then.
    absl::Time down_until;
    absl::Time listens_by = absl::InfiniteFuture();
  };
  struct Worker {
    std::string id;
    std::string service;
    std::unique_ptr<emulator::PlatformWorker> worker;
    std::unique_ptr<FaultProxy> link;
    // It takes requests, or will again when its fault ends.
    bool present = true;
  };

  void AddWorker(const std::string& service, const std::string& model);
  void PutConfiguration();
  void Every(absl::Duration interval, std::function<void()> task);
  void At(absl::Duration after, std::function<void()> task);
  void SendRequest();
  void SendProbes();
  void Send(std::size_t gateway, RequestKind kind, const std::string& target);
  RequestRecord* AddRecord(std::size_t gateway, RequestKind kind);
  std::string RequestBytes(const RequestRecord& record, const std::string& target,
                           std::mt19937_64* random);
  void AddKeptCallers();
  RequestRecord* NextKeptRequest(std::size_t gateway, bool slow, std::string* bytes);
  void KeepGatewaysRunning();
  void AwaitStart(std::size_t index);
  void Begin(const PlannedFault& fault);
  void HarmGateway(const PlannedFault& fault);
  void HarmStore(const PlannedFault& fault);
  void HarmWorker(const PlannedFault& fault);
  void TakeStep(const PlannedFault& fault);
  void HarmService(const PlannedFault& fault);
  void StopGateway(std::size_t index);
  // To one that serves; false when there is none.
  bool SignalAsOperator(std::size_t index, int signal);
  void TakeWorkerAway(Worker* worker, bool announced, absl::Duration duration);
  void Note(Disturbance::Of of, std::size_t target, absl::Duration duration);
  // Where they don't, a late order with an older token is carried out, and breaks a promise.
  bool WorkersCheckTokens() const;

  SoakOptions options_;
  gateway::EventLoop loop_;
  std::mt19937_64 random_;
  emulator::PlatformStore store_;
  gateway::HttpClient client_;
  std::vector<Gateway> gateways_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<PlannedFault> plan_;
  std::vector<std::unique_ptr<gateway::LoopTimer>> timers_;
  SoakRecords records_;
  std::mt19937_64 kept_random_;
  std::vector<std::unique_ptr<KeptCaller>> kept_callers_;
  int next_request_ = 0;
  int next_worker_ = 0;
  int version_ = 0;
  bool over_ = false;
  bool sending_ = true;
};

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_SOAK_RUN_H_
