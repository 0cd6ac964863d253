// A small deployment for the cases of the second review: the users' store and workers are the
// project's own stand-ins in this process, and the gateways are the deployed program in processes
// of their own, on loopback addresses and the real clock.
#ifndef REVIEW_STANDIN_2_WORLD_H_
#define REVIEW_STANDIN_2_WORLD_H_

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "emulator/platform_store.h"
#include "emulator/platform_worker.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "tests/soak/fault_proxy.h"

namespace hingespan::review {

using Json = nlohmann::json;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// The bounds of the deployment, as in the users' settings.
constexpr absl::Duration kContact = absl::Seconds(3);
constexpr absl::Duration kConfigApply = absl::Seconds(2);

// Writes what was sent, answered and run, with the seconds since the start.
class Record {
 public:
  Record(gateway::EventLoop* loop, const std::string& file)
      : loop_(loop), began_(loop->Now()), file_(file) {}
  template <typename... Parts>
  void Line(const Parts&... parts) {
    const double at = absl::ToDoubleSeconds(loop_->Now() - began_);
    file_ << absl::StrFormat("%8.3f ", at) << absl::StrCat(parts...) << "\n" << std::flush;
  }

 private:
  gateway::EventLoop* loop_;
  absl::Time began_;
  std::ofstream file_;
};

// One gateway of the deployment; started again with the same settings if it ends by itself.
class GatewayProcess {
 public:
  GatewayProcess(std::string name, std::string zone, std::string store, std::string folder)
      : name_(std::move(name)), folder_(std::move(folder)) {
    std::ofstream(SettingsFile())
        << "[node]\nname = \"" << name_ << "\"\nzone = \"" << zone
        << "\"\nlink_mbps = 1000.0\nmemory_mb = 260\n\n[listen]\nrequests = \"127.0.0.1:0\"\n"
        << "status = \"127.0.0.1:0\"\nreadiness_path = \"/api/readiness\"\n"
        << "peers = \"127.0.0.1:0\"\nforwarded = \"127.0.0.1:0\"\nmax_connections = 2500\n\n"
        << "[store]\naddress = \"" << store << "\"\nrow_bytes = 65536\n\n"
        << "[placement]\nlease_ms = 3000\nworkers_check_tokens = true\n\n[stop]\ntime_s = 8\n\n"
        << "[retries]\nratio = 0.2\nextra = 52\nwindow_s = 10\n";
  }
  ~GatewayProcess() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void Launch() {
    ++incarnation_;
    requests_.clear();
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(LogFile().c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0644);
      if (getppid() != parent || log < 0) {
        _exit(kNotRun);
      }
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      close_range(STDERR_FILENO + 1, ~0U, 0);
      setenv("HINGESPAN_SETTINGS", SettingsFile().c_str(), 1);
      execl("target/hingespan-gateway", "target/hingespan-gateway", nullptr);
      _exit(kNotRun);
    }
    pid_ = child;
  }
  // Returns true once the process has applied a configuration and knows the workers.
  bool Serves() {
    if (pid_ <= 0) {
      return false;
    }
    if (!requests_.empty()) {
      return true;
    }
    std::ifstream log(LogFile());
    std::string address;
    bool configured = false;
    bool has_workers = false;
    for (std::string line; std::getline(log, line);) {
      configured = configured || absl::StrContains(line, "\"configuration_applied\"");
      has_workers = has_workers || absl::StrContains(line, "\"worker_changed\"");
      if (absl::StrContains(line, "\"event\":\"started\"")) {
        const Json json = Json::parse(line, nullptr, false);
        address = json.is_object() ? json.value("requests", "") : "";
      }
    }
    if (configured && has_workers) {
      requests_ = address;
    }
    return !requests_.empty();
  }
  void Signal(int signal) {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }
  // Returns true once after the process has ended.
  bool Reap(int* wait_status) {
    if (pid_ <= 0 || waitpid(pid_, wait_status, WNOHANG) != pid_) {
      return false;
    }
    pid_ = -1;
    requests_.clear();
    return true;
  }
  const std::string& name() const { return name_; }
  // Empty while the process doesn't serve.
  const std::string& requests() const { return requests_; }
  int incarnation() const { return incarnation_; }
  // Returns whether the process has logged this event.
  bool HasLogged(const std::string& event) const {
    std::ifstream log(LogFile());
    for (std::string line; std::getline(log, line);) {
      if (absl::StrContains(line, absl::StrCat("\"event\":\"", event, "\""))) {
        return true;
      }
    }
    return false;
  }
  std::string LogFile() const { return absl::StrCat(folder_, "/", name_, "-", incarnation_); }

 private:
  std::string SettingsFile() const { return absl::StrCat(folder_, "/", name_, ".toml"); }

  std::string name_;
  std::string folder_;
  std::string requests_;
  pid_t pid_ = -1;
  int incarnation_ = 0;
};

// One try of a client.
struct Try : public gateway::AnswerReceiver {
  bool OnHead(const gateway::AnswerHead& answer) override {
    head = answer;
    return true;
  }
  void OnBody(absl::string_view piece) override { body.append(piece.data(), piece.size()); }
  void OnEnd(gateway::ExchangeResult end) override {
    result = end;
    ended_at = loop->Now();
    exchange.reset();
    if (on_end) {
      on_end(*this);
    }
  }
  bool ended() const { return ended_at != absl::InfiniteFuture(); }
  bool complete() const { return ended() && result == gateway::ExchangeResult::kComplete; }

  gateway::EventLoop* loop = nullptr;
  std::string id;
  std::string kind;
  std::size_t gateway = 0;
  bool kept = false;
  absl::Time sent;
  absl::Time ended_at = absl::InfiniteFuture();
  gateway::AnswerHead head;
  std::string body;
  gateway::ExchangeResult result = gateway::ExchangeResult::kNotSent;
  std::unique_ptr<gateway::ClientExchange> exchange;
  std::function<void(const Try&)> on_end;
};

// A worker behind an address of its own, which is back under a new id some time after a crash.
class Worker {
 public:
  using Options = std::function<emulator::PlatformWorkerOptions()>;

  Worker(gateway::EventLoop* loop, emulator::PlatformStore* store, Record* record, std::string name,
         absl::Duration restart, Options options)
      : loop_(loop),
        store_(store),
        record_(record),
        name_(std::move(name)),
        restart_(restart),
        options_(std::move(options)) {
    Start();
  }

  const std::string& name() const { return name_; }
  const std::vector<absl::Time>& crashes() const { return crashes_; }
  // The stand-ins of all lives of this worker.
  const std::vector<std::unique_ptr<emulator::PlatformWorker>>& lives() const { return lives_; }
  emulator::PlatformWorker* current() { return lives_.back().get(); }

 private:
  std::string Id() const { return absl::StrCat("i-", name_, "-", lives_.size()); }
  void Start() {
    emulator::PlatformWorkerOptions options = options_();
    id_ = Id();
    options.id = id_;
    options.writes_row_at_start = false;
    options.on_crash = [this] { Crash(); };
    lives_.push_back(std::make_unique<emulator::PlatformWorker>(loop_, store_, std::move(options)));
    links_.push_back(std::make_unique<soak::FaultProxy>(loop_, lives_.back()->address()));
    lives_.back()->Announce(links_.back()->address());
  }
  void Crash() {
    crashes_.push_back(loop_->Now());
    record_->Line("worker ", id_, " has crashed under ", lives_.back()->crashed_by());
    links_.back()->SetFault(soak::LinkFault::kReset);
    timers_.push_back(loop_->MakeTimer());
    timers_.back()->Set(loop_->Now() + restart_, [this] {
      store_->Remove("servers", id_);
      Start();
    });
  }

  gateway::EventLoop* loop_;
  emulator::PlatformStore* store_;
  Record* record_;
  std::string name_;
  absl::Duration restart_;
  Options options_;
  std::string id_;
  std::vector<std::unique_ptr<emulator::PlatformWorker>> lives_;
  std::vector<std::unique_ptr<soak::FaultProxy>> links_;
  std::vector<std::unique_ptr<gateway::LoopTimer>> timers_;
  std::vector<absl::Time> crashes_;
};

class World {
 public:
  World()
      : folder_(MakeFolder()),
        store_(&loop_),
        record_(&loop_, std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD")) {
    signal(SIGPIPE, SIG_IGN);
  }
  ~World() {
    gateways_.clear();
    // The folder holds the settings and the logs of the gateways.
    if (std::getenv("KEEP") == nullptr) {
      (void)!std::system(absl::StrCat("rm -rf '", folder_, "'").c_str());
    }
  }

  // True unless the case runs without its disruption.
  static bool Trouble() {
    const char* const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
  }

  gateway::EventLoop* loop() { return &loop_; }
  emulator::PlatformStore* store() { return &store_; }
  Record& record() { return record_; }
  absl::Time Now() const { return loop_.Now(); }
  std::vector<std::unique_ptr<GatewayProcess>>& gateways() { return gateways_; }
  std::list<Try>& tries() { return tries_; }

  Worker* AddWorker(const std::string& name, absl::Duration restart, Worker::Options options) {
    workers_.push_back(
        std::make_unique<Worker>(&loop_, &store_, &record_, name, restart, std::move(options)));
    return workers_.back().get();
  }
  const std::vector<std::unique_ptr<Worker>>& workers() const { return workers_; }

  // Starts the gateways, each in one of so many zones, and waits until all of them serve. `link`
  // returns the address at which the next one reaches the store. Returns false if they don't serve.
  bool StartGateways(int count, int zones = 2, const std::function<std::string()>& link = nullptr) {
    for (int number = 1; number <= count; ++number) {
      gateways_.push_back(std::make_unique<GatewayProcess>(
          absl::StrCat("frontend-", number), absl::StrCat("zone-", number % zones),
          link ? link() : store_.address(), folder_));
      gateways_.back()->Launch();
    }
    return AwaitGateways(absl::Seconds(10));
  }
  bool AwaitGateways(absl::Duration limit) {
    return loop_.RunUntil(
        [this] {
          return std::all_of(gateways_.begin(), gateways_.end(),
                             [](const auto& gateway) { return gateway->Serves(); });
        },
        limit);
  }
  void RunFor(absl::Duration time) {
    loop_.RunUntil([] { return false; }, time);
  }
  void RunUntil(absl::Time time) { RunFor(std::max(absl::ZeroDuration(), time - Now())); }

  // Calls `action` every `interval` from `begin` until `end`.
  void Every(absl::Time begin, absl::Time end, absl::Duration interval,
             std::function<void(int number)> action) {
    timers_.push_back(loop_.MakeTimer());
    Tick(timers_.back().get(), begin, end, interval, 0,
         std::make_shared<std::function<void(int)>>(std::move(action)));
  }

  // Sends a request; on one of the client's kept connections if `client` is given, else on a new
  // one.
  Try* Send(std::size_t gateway, const std::string& kind, const std::string& id,
            const std::string& method, const std::string& target,
            const gateway::HeaderFields& fields, const std::string& body,
            gateway::HttpClient* client = nullptr) {
    const std::string address = gateways_.at(gateway)->requests();
    if (address.empty()) {
      return nullptr;
    }
    tries_.emplace_back();
    Try* const sent = &tries_.back();
    sent->loop = &loop_;
    sent->id = id;
    sent->kind = kind;
    sent->gateway = gateway;
    sent->kept = client != nullptr && client->idle_connections(address) > 0;
    sent->sent = Now();
    gateway::HeaderFields all = {{"Attempt-Id", id}};
    all.insert(all.end(), fields.begin(), fields.end());
    const std::string message = gateway::RequestText(method, target, "desk.example", all, body);
    sent->exchange = client == nullptr ? clients_.SendOnNewConnection(address, message, sent)
                                       : client->Send(address, message, sent);
    record_.Line("sent ", kind, " ", Printable(id), " to ", gateways_[gateway]->name());
    sent->on_end = [this](const Try& ended) {
      record_.Line("answered ", ended.kind, " ", Printable(ended.id), " ",
                   ended.complete() ? absl::StrCat(ended.head.status) : "without a whole answer");
    };
    return sent;
  }

  // Bytes that are no printable ASCII are shown in hex.
  static std::string Printable(const std::string& text) {
    std::string shown;
    for (const char each : text) {
      const auto byte = static_cast<unsigned char>(each);
      shown +=
          byte >= 0x21 && byte < 0x7f ? std::string(1, each) : absl::StrFormat("\\x%02x", byte);
    }
    return shown;
  }

 private:
  static std::string MakeFolder() {
    std::string folder = "/tmp/review-2-XXXXXX";
    return mkdtemp(folder.data()) == nullptr ? std::string("/tmp") : folder;
  }
  void Tick(gateway::LoopTimer* timer, absl::Time due, absl::Time end, absl::Duration interval,
            int number, const std::shared_ptr<std::function<void(int)>>& action) {
    if (due >= end) {
      return;
    }
    timer->Set(due, [=, this] {
      (*action)(number);
      Tick(timer, due + interval, end, interval, number + 1, action);
    });
  }

  std::string folder_;
  gateway::EventLoop loop_;
  emulator::PlatformStore store_;
  Record record_;
  gateway::HttpClient clients_{&loop_, gateway::ClientLimits{}};
  std::list<Try> tries_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<gateway::LoopTimer>> timers_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
};

// A route of the configuration, as the users write it.
inline Json RouteJson(const std::string& prefix, const std::string& kind,
                      const std::string& service, int attempts, bool resumable) {
  return Json{{"name", absl::StrCat("r", prefix)},
              {"host", "desk.example"},
              {"path_prefix", prefix},
              {"kind", kind},
              {"timeout_ms", 15000},
              {"target_latency_ms", 600},
              {"priority", 1},
              {"service", service},
              {"max_attempts", attempts},
              {"resumable", resumable},
              {"gap_target_ms", 300}};
}

// The configuration of a deployment with a plain service and a model service.
inline Json ConfigurationJson(int version, int max_body_bytes = 4194304) {
  const Json engine{{"slots", 64},
                    {"kv_capacity_tokens", 130679},
                    {"weights_mb", 200000},
                    {"adapter_slots", 8},
                    {"loads_per_s", 2.2},
                    {"models", Json::array({Json{{"name", "daka510000"},
                                                 {"weights_mb", 72700},
                                                 {"load_s", 4.3},
                                                 {"adapters", 0},
                                                 {"adapter_mb", 66}}})}};
  return Json{{"version", version},
              {"routes",
               {RouteJson("/act/", "non_idempotent", "gate-desk", 1, false),
                RouteJson("/read/", "idempotent", "gate-desk", 2, false),
                RouteJson("/stream/", "streaming", "slot-writer", 2, true)}},
              {"services",
               {Json{{"name", "gate-desk"}, {"health_path", "/health"}, {"max_connections", 110}},
                Json{{"name", "slot-writer"},
                     {"health_path", "/health"},
                     {"max_connections", 370},
                     {"engine", engine}}}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", max_body_bytes},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}};
}

}  // namespace hingespan::review

#endif  // REVIEW_STANDIN_2_WORLD_H_
