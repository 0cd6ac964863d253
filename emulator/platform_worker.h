// Emulates a worker of a users' platform: plain and streaming requests, orders, reports and faults.
// Runs on the event loop of the test that uses it.
#ifndef EMULATOR_PLATFORM_WORKER_H_
#define EMULATOR_PLATFORM_WORKER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "emulator/platform_store.h"
#include "emulator/worker_room.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_server.h"

namespace hingespan::emulator {

enum class WorkerFault {
  kNone,
  // Runs the request, then answers 500.
  kFails,
  // Accepts the request and never answers.
  kSilent,
  // Answers 503, marked as not run.
  kRejects,
  // Answers with the answer to another request.
  kOtherRequest,
  // Encodes the body although the request did not accept an encoding.
  kEncodes,
  // Runs the request, then closes the connection without an answer.
  kLosesAnswer,
  // Breaks a stream off inside the event that follows `events_before_break`. The connection of an
  // unframed stream is closed in the usual way, as by the kernel of a process that has crashed.
  kBreaksStream,
  // Resets the connection inside the body of a plain answer.
  kResetsAnswer,
  // Finishes a stream like a complete one, but inside the event that follows `events_before_break`.
  kFinishesInsideEvent,
};

// Shape of a stream.
struct StreamShape {
  int events = 6;
  absl::Duration interval = absl::Milliseconds(2);
  // Additional bytes in each event.
  std::size_t padding = 0;
};

// A request that reached a worker, whether rejected or not.
struct WorkerArrival {
  std::string id;
  absl::Time at;
};

struct PlatformWorkerOptions {
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  // Version of the worker's software. What workers of different versions write doesn't fit
  // together, and a worker doesn't check which version began a stream.
  std::string software_version = "v1";
  int slots = 6;
  // Number of requests that wait while all slots are taken; more are rejected. Absent if the worker
  // runs all requests at once, whatever its slots.
  std::optional<int> queue;
  // Number of rejections within a second that the worker survives; absent unless it is brittle.
  std::optional<int> survived_rejections;
  // Time that a plain request takes.
  absl::Duration run_time = absl::ZeroDuration();
  std::map<std::string, std::set<std::string>> models;
  // Events of a stream and the interval between them.
  int events = 6;
  absl::Duration event_interval = absl::Milliseconds(2);
  // Time from a stream's head to its first event.
  absl::Duration prompt_time = absl::ZeroDuration();
  // Shapes of streams by the prefix of their target.
  std::map<std::string, StreamShape> shapes;
  absl::Duration load_time = absl::Milliseconds(30);
  int events_before_break = 3;
  // Id of a prompt part: the worker crashes as it answers a prompt that has it, unless as its last
  // part. Empty for none.
  std::string crashing_part;
  // Text in the body of requests that crash the worker as it runs them; empty for none.
  std::string crashing_body;
  // A stream crashes the worker after so many events of its run.
  int events_before_crash = 0;
  // Share of plain requests that the worker runs and answers 500, chosen by its and their ids.
  double failing_share = 0;
  // Called with each request that reaches the worker.
  std::function<void(const WorkerArrival&)> on_arrival;
  // Called when the worker crashes or falls. Whoever owns it ends its connections and removes its
  // row.
  std::function<void()> on_crash;
  // True if streams have neither a length nor chunks and end with their connection.
  bool unframed_streams = false;
  // True if answers and events name the request they belong to.
  bool includes_request_id = false;
  // False if events have no ids, so that a stream can't go on elsewhere.
  bool includes_event_ids = true;
  // True if events name the version of the software that wrote them.
  bool includes_software_version = false;
  // True if the worker writes its row when it is constructed.
  bool writes_row_at_start = true;
  // Interval at which a changed row is written again; 0 writes it only when models are loaded or
  // unloaded.
  absl::Duration heartbeat = absl::ZeroDuration();
  // Memory per model and memory of the worker; 0 disables the check.
  double model_memory_mb = 0;
  double memory_mb = 0;
  // True if the worker rejects an order whose token is lower than one it has seen.
  bool checks_tokens = true;
};

class PlatformWorker {
 public:
  // Constructs the worker, which writes its own row to the store.
  PlatformWorker(gateway::EventLoop* loop, PlatformStore* store, PlatformWorkerOptions options);

  // A received request; rejected ones are not included.
  struct Run {
    std::string id;
    std::string target;
    std::string body;
    std::string deadline_ms;
    std::string last_event_id;
    // Id of the request that began the stream, as the caller names it; empty for a new stream.
    std::string resumed_id;
    absl::Time began;
    bool ended = false;
    bool caller_disconnected = false;
    absl::Time caller_disconnected_at = absl::InfiniteFuture();
    // Key of the request's slot; absent if it has none any more, or needs none.
    std::optional<std::uint64_t> slot;
  };
  using Arrival = WorkerArrival;
  struct Order {
    std::string operation;
    std::string model;
    std::string adapter;
    std::uint64_t token = 0;
    int status = 0;
    std::string holder;
  };

  void SetFault(WorkerFault fault) { fault_ = fault; }
  void SetFailingShare(double share) { options_.failing_share = share; }
  // From now on plain answers have neither a length nor chunks and end with their connection.
  void AnswerUnframed() { unframed_answers_ = true; }
  void SetDraining();
  // Lets all answers say from now on that the worker falls once it rejects more than so many
  // requests within a second for want of room. Needs a queue.
  void SetBrittle(int survived_rejections);
  // Ends what SetBrittle began.
  void SetSturdy();
  void SetQueue(int queue) { room_.SetQueue(queue); }
  // Sends nothing for this long, then goes on. Connections stay open and requests are accepted.
  void FallSilent(absl::Duration duration);
  // Writes the worker's row with this address instead of its own, e.g. a relay's.
  void Announce(const std::string& address);
  // True if the worker was ordered to load more than its memory allows.
  bool exceeded_memory() const { return exceeded_memory_; }
  const std::list<Run>& runs() const { return runs_; }
  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  // Id of the request under which the worker has crashed or fallen; empty if it has not.
  const std::string& crashed_by() const { return crashed_by_; }
  const WorkerRoom& room() const { return room_; }
  // Requests that were rejected for want of room.
  const std::vector<Arrival>& rejected() const { return rejected_; }
  // True once the worker has fallen under the requests that it rejected.
  bool fallen() const { return fell_at_ != absl::InfiniteFuture(); }
  absl::Time fell_at() const { return fell_at_; }
  const std::vector<Order>& orders() const { return orders_; }
  bool Holds(const std::string& model) const { return options_.models.contains(model); }
  std::string address() const { return server_.address(); }
  const std::string& software_version() const { return options_.software_version; }
  // Simulates an order of another holder with this token.
  void SetHighestToken(std::uint64_t token) { highest_token_ = token; }

 private:
  struct Stream;
  void WriteRow();
  void OnRequest(const std::shared_ptr<gateway::ServerExchange>& exchange);
  void OnOrder(const std::shared_ptr<gateway::ServerExchange>& exchange);
  void OnReport(const std::shared_ptr<gateway::ServerExchange>& exchange);
  // Runs the request as soon as there is a slot, or rejects it.
  void AdmitRequest(const std::shared_ptr<gateway::ServerExchange>& exchange);
  void RejectRequest(gateway::ServerExchange* exchange);
  void RunRequest(const std::shared_ptr<gateway::ServerExchange>& exchange,
                  std::optional<std::uint64_t> slot);
  // Frees the slot of a request that has ended.
  void LeaveSlot(Run* run);
  void AnswerPlain(const std::shared_ptr<gateway::ServerExchange>& exchange, Run* run);
  // Adds what all answers say.
  gateway::HeaderFields WithNotices(gateway::HeaderFields fields) const;
  void StartStream(const std::shared_ptr<gateway::ServerExchange>& exchange, Run* run);
  StreamShape ShapeOf(const std::string& target) const;
  void NextEvent(const std::shared_ptr<Stream>& stream);
  bool CrashesOn(const gateway::ServerExchange& exchange) const;
  bool HasCrashingBody(const gateway::ServerExchange& exchange) const;
  // Returns whether the request is one of those that are answered 500.
  bool Fails(const std::string& id) const;
  // `id` is the request that the worker runs.
  void Crash(const std::string& id);
  // Sends a complete answer in the framing of the worker's options.
  void Answer(gateway::ServerExchange* exchange, int status, absl::string_view reason,
              const gateway::HeaderFields& fields, absl::string_view body) const;
  void SendHeartbeat();
  void CheckMemory(const std::string& model);
  int ApplyOrder(const std::string& operation, const std::string& model,
                 const std::string& adapter);

  gateway::EventLoop* loop_;
  PlatformStore* store_;
  PlatformWorkerOptions options_;
  gateway::HttpServer server_;
  std::unique_ptr<gateway::LoopTimer> load_timer_;
  std::unique_ptr<gateway::LoopTimer> heartbeat_timer_;
  WorkerRoom room_;
  std::list<Run> runs_;
  std::vector<Arrival> arrivals_;
  std::vector<Arrival> rejected_;
  std::vector<Order> orders_;
  std::list<std::shared_ptr<gateway::ServerExchange>> silent_;
  // Requests that are handled when the worker is no longer silent.
  std::vector<std::shared_ptr<gateway::ServerExchange>> delayed_;
  absl::Time silent_until_ = absl::InfinitePast();
  std::unique_ptr<gateway::LoopTimer> silence_timer_;
  WorkerFault fault_ = WorkerFault::kNone;
  std::uint64_t sequence_ = 0;
  std::uint64_t highest_token_ = 0;
  std::string announced_address_;
  bool exceeded_memory_ = false;
  bool adapters_changed_ = false;
  bool unframed_answers_ = false;
  bool draining_ = false;
  bool busy_ = false;
  bool crashed_ = false;
  std::string crashed_by_;
  absl::Time fell_at_ = absl::InfiniteFuture();
};

}  // namespace hingespan::emulator

#endif  // EMULATOR_PLATFORM_WORKER_H_
