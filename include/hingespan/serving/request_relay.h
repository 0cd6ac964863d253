// Handles one caller's request: queues it, sends it to one or more workers and relays the answer.
//
// States: finding (the source of a stream that the caller takes up), waiting (in the queue),
// running (an attempt is in flight), ended. An attempt goes to a worker, or to a peer if this node
// can't reach the workers but another node may. A stream goes on only at its source, the workers of
// the service and software version that began it. A request that may have been executed is sent
// again only if its route allows it. A request that was certainly not executed is refused with 503,
// which guarantees this; all other failures end with 502 or 504, which don't.
#ifndef HINGESPAN_SERVING_REQUEST_RELAY_H_
#define HINGESPAN_SERVING_REQUEST_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "hingespan/http/http_server.h"
#include "hingespan/http/memory_budget.h"
#include "hingespan/serving/crashing_requests.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/event_splitter.h"
#include "hingespan/serving/forwarding.h"
#include "hingespan/serving/peer_directory.h"
#include "hingespan/serving/prompt_quarantine.h"
#include "hingespan/serving/request_dialect.h"
#include "hingespan/serving/request_queue.h"
#include "hingespan/serving/retry_budget.h"
#include "hingespan/serving/route_table.h"
#include "hingespan/serving/stream_source.h"
#include "hingespan/serving/worker_directory.h"
#include "hingespan/serving/worker_path.h"

namespace hingespan::gateway {

class QuarantineExchange;
class SlotExchange;
struct GatewayMetrics;

// Interface of the gateway to its requests.
class RelayHost {
 public:
  virtual ~RelayHost() = default;
  virtual void Enqueue(const QueuePlace& place, std::shared_ptr<RequestRelay> request) = 0;
  virtual void Dequeue(const QueuePlace& place) = 0;
  // Schedules another attempt to dispatch waiting requests, as a worker may have room again.
  // Nothing is dispatched within this call.
  virtual void ScheduleDispatch() = 0;
  virtual void RunningChanged(const std::string& service, const ModelKey& model, int change) = 0;
  // Time at which a replica is expected to be ready; InfiniteFuture if nothing is known. An empty
  // software version stands for any.
  virtual absl::Time ExpectedReady(const ModelKey& model,
                                   const std::string& software_version) const = 0;
  // Called when a caller was refused and asked to retry at `at`; there is still demand for the
  // model.
  virtual void ExpectReturn(const std::string& service, const ModelKey& model,
                            const std::string& software_version, absl::Time at) = 0;
  // Time by which this node must have answered all requests; InfiniteFuture unless it is stopping.
  virtual absl::Time StopLimit() const = 0;
  // Records the source of a stream that its caller may take up for `lifetime`.
  virtual void RecordStream(const std::string& id, const StreamSource& source,
                            absl::Duration lifetime) = 0;
  // Finds the source of the stream that began with request `id`. `service` is empty if the stream
  // may have begun at several services. May call `done` within this call.
  virtual void FindStream(const std::string& id, const std::string& service,
                          std::function<void(std::optional<StreamSource>)> done) = 0;
  // This node's path to the workers of a service; valid as long as the host.
  virtual WorkerPath* PathOf(const std::string& service) = 0;
  // Called when an attempt's connection to the worker ended before its answer showed that the
  // worker survives the prompt.
  virtual void OnAttemptBroken(const std::string& worker_id, const std::string& service) = 0;
  // Called when a worker or another node has sent anything for a request.
  virtual void OnHeard(const std::string& service, const std::string& recipient) = 0;
  // Called when an attempt has shown something about that path.
  virtual void OnPathEvent(const std::string& service) = 0;
  // The host keeps a request alive from Start until it ends.
  virtual void OnRequestStarted(std::shared_ptr<RequestRelay> request) = 0;
  virtual void OnRequestEnded(std::uint64_t number) = 0;
};

// Objects shared by all requests of a node.
struct RelayContext {
  EventLoop* loop = nullptr;
  const RequestDialect* dialect = nullptr;
  HttpClient* client = nullptr;
  WorkerDirectory* workers = nullptr;
  PeerDirectory* peers = nullptr;
  RetryBudget* budget = nullptr;
  QuarantineExchange* quarantine = nullptr;
  SlotExchange* slots = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
  RelayHost* host = nullptr;
  // Memory of answers that are not passed on yet.
  MemoryBudget* answer_memory = nullptr;
  // True if callers whose answers would be late are asked to retry later.
  bool return_when_late = true;
};

// Not thread-safe; used only on the event loop of its context.
class RequestRelay : public AnswerReceiver, public std::enable_shared_from_this<RequestRelay> {
 public:
  RequestRelay(const RelayContext* context, std::shared_ptr<ServerExchange> exchange,
               RequestFacts facts, RequestOrigin origin, std::shared_ptr<const RouteTable> routes,
               const Route* route, std::uint64_t number);

  // Adds the request to the queue, after finding the source of a stream that it takes up.
  void Start();
  // Sends the request to a worker if one has room. Returns whether the request left the queue.
  bool TryDispatch(absl::Time now);

  // Reason why the last choice found no worker for the request.
  ChoiceProblem problem() const { return last_problem_; }
  // Records that another request with the same demand found no worker for this reason.
  void NoteProblem(ChoiceProblem problem);
  // Called when the expected readiness of a replica has changed.
  void OnExpectedReadyChanged() {
    if (state_ == State::kWaiting) {
      SetTimer(context_->loop->Now());
    }
  }
  // Called when this node has lost its path to the service's workers: an attempt that may be
  // repeated, whose worker was silent and whose caller has received nothing goes elsewhere at once.
  void OnPathLost();
  // Called when a quarantine was imposed: a request under it that no worker has begun to answer
  // ends. One whose answer has begun would be cut without sparing its worker.
  void OnQuarantine();
  // Called when the node begins to stop: requests that can't end in time are answered early.
  void OnStopping() { SetTimer(context_->loop->Now()); }
  // Called just before the node ends: performs due work even if its timer has not run yet.
  void OnStopLimit() { OnTimer(); }

  std::uint64_t number() const { return place_.number; }
  const std::string& service() const { return service_; }
  const ModelKey& model() const { return model_; }
  // Software version that the request is bound to; empty if it may run at any.
  std::string software_version() const {
    return source_.has_value() ? source_->software_version : std::string();
  }
  int prompt_tokens() const { return facts_.prompt_tokens; }
  // Parts of the prompt that other requests may share: all but the last.
  const PromptPartIds& shared_parts() const { return shared_parts_; }
  // True if the request was sent to this worker and its answer doesn't show yet that the worker
  // survives the prompt.
  bool MayCrash(const std::string& worker_id) const {
    return state_ == State::kRunning && peer_.empty() && worker_id_ == worker_id &&
           !answer_survived_;
  }
  bool waiting() const { return state_ == State::kWaiting; }
  // True before the first attempt. Such requests with an equal demand wait for the same workers.
  bool first_attempt() const { return excluded_workers_.empty(); }

  bool OnHead(const AnswerHead& head) override;
  void OnBody(absl::string_view piece) override;
  void OnEnd(ExchangeResult result) override;

 private:
  enum class State { kFinding, kWaiting, kRunning, kEnded };
  // Outcome of a request for which no worker could be reached.
  static constexpr const char* kUnreachable = "unreachable";
  // Outcomes of a request that takes up a stream: no node knows the stream, its service has no
  // worker of its software version, or the route doesn't lead to its service any more.
  static constexpr const char* kUnknownStream = "unknown_stream";
  static constexpr const char* kVersionAbsent = "version_absent";
  static constexpr const char* kOtherService = "other_service";
  // Outcome of a request whose prompt has parts that crash workers.
  static constexpr const char* kQuarantined = "quarantined";
  // Outcome of a request under which several workers have ended.
  static constexpr const char* kEndsWorkers = "ends_workers";
  static constexpr const char* kRetryAfter = "Retry-After";

  // Returns whether the caller goes on with a stream of an earlier request.
  bool TakesUpStream() const;
  void FindSource();
  void OnSource(std::optional<StreamSource> source);
  // Keeps the source of a stream whose first event is about to be passed on.
  void RecordSource();
  // Returns whether another attempt could go on with what the caller has received.
  bool CanGoOn() const;
  void BeginWaiting();
  // Refuses the request if its prompt is under quarantine. Returns whether it has done so.
  bool RefuseIfQuarantined();
  // Returns whether requests like this one are not sent to workers any more.
  bool IsQuarantined();
  // Returns whether too many workers have ended under this request, at any node.
  bool HasEndedWorkers() const;
  // Records that the attempt has ended as if its worker had.
  void NoteInterrupted();
  // Clears the prompt's parts if the answer has gone on for long enough after its first event.
  void NoteAnswerGoesOn(absl::Time now);
  // Clears the prompt's parts, as the worker has survived them.
  void NoteAnswerSurvived();
  // Records that the attempt's connection has ended, which may be a crash by the prompt.
  void NoteConnectionEnded();
  // Chooses a worker that has room. If the service's workers are brittle, the choice comes with a
  // slot of the worker.
  WorkerChoice ChooseWorker(const WorkerDemand& demand, absl::Time now);
  WorkerChoice ChooseWithSlot(WorkerDemand demand, absl::Time now);
  // Tokens of the prompt and the longest answer.
  double Tokens() const { return facts_.prompt_tokens + facts_.max_output_tokens; }
  // Gives the slot of an attempt that has ended back.
  void ReturnSlot(AttemptOutcome outcome);
  // Gives a slot back for which no attempt was sent.
  void ReturnUnusedSlot();
  void Dispatch(WorkerState* worker, const WorkerDemand& demand, absl::Time now);
  // Sets the state that a new attempt begins with. `recipient` is a worker's id or a peer's name.
  void BeginAttempt(const std::string& recipient, absl::Time now);
  // Sends the attempt's message; `extra` is added to the fields of the dialect.
  void SendAttempt(const std::string& address, const AttemptFacts& attempt,
                   const HeaderFields& extra);
  // Returns whether a peer should rather be tried than a further worker.
  bool PrefersForward() const;
  bool MayForward() const;
  // Forwards the request if a peer may take it. Returns whether the request left the queue.
  bool TryForward(absl::Time now);
  // Takes a token if an earlier attempt may have arrived at a worker. Returns false after giving
  // the request up for want of one.
  bool AcquireRepeat(absl::Time now);
  // Records that the attempt's recipient has answered, or closed the connection.
  void NoteRead(absl::Time now);
  // Reads from the worker again after a pause for a slow caller.
  void ResumeReading();
  // Counts the request in the retry budget, once in all nodes.
  void CountInBudget();
  void OnPeerVerdict(PeerVerdict verdict);
  // Passes a peer's refusal on to the caller.
  void RelayRefusal();
  void EndForward(AttemptOutcome outcome, absl::Time now);
  void SetTimer(absl::Time now);
  void OnTimer();
  // The earliest of the caller's and the route's deadline and a stopping node's limit.
  absl::Time Deadline() const;
  absl::Time WaitLimit() const;
  // Time for which the caller of a stream waits for its next event.
  absl::Duration EventTimeout() const;
  // Returns whether the request should be held until its model is ready, instead of asking the
  // caller to retry then.
  bool MayWaitFor(absl::Time expected, absl::Time latest) const;
  // Time at which an attempt at a silent worker may be abandoned, and the first such time.
  absl::Time StallLimit() const;
  absl::Time FirstStallLimit() const;
  bool AnotherWorkerIsFree(absl::Time now) const;
  // Returns whether what the caller has, and what is known of the prompt, allow another attempt.
  bool MayRepeat() const;
  // Returns whether the request could go on at another worker if its attempt were abandoned now.
  bool CanGoOnElsewhere(absl::Time now);
  // Attempts that count towards the route's limit.
  int AttemptsCounted() const { return static_cast<int>(tried_workers_.size()) + lost_forwards_; }
  bool MayTryAnother(absl::Time now) const;
  // Like MayTryAnother; also records a retry that the budget denies.
  bool MayTryAnotherOrRecordDenial(absl::Time now) const;
  void LogRepeat(absl::string_view event, absl::Time now) const;
  void EndAttempt(AttemptOutcome outcome);
  void OnNotExecuted();
  // Logs a rejection with the worker's load as known here, this attempt included.
  void LogRejection();
  void OnNotSent();
  void NoteAnswerStarted(absl::Time now);
  void OnWholeAnswer();
  // Returns whether a stream whose answer has ended was broken off: inside an event, or before its
  // first event if nothing but the end of the connection marks its end.
  bool EndsInsideStream() const;
  void OnFailedAttempt(absl::string_view how);
  // Reserves the memory of what is kept of the answer, for so many bytes more. Returns whether it
  // may be kept.
  bool ReserveAnswer(std::size_t more);
  // Releases what is kept of the answer.
  void DropAnswer();
  void ForwardEvents(const std::string& events);
  // Sends the head of a stream to the caller.
  void StartStream();
  void SendWholeAnswer();
  // Ends a request that is not served: a stream that has started is broken off, a request that may
  // have been executed gets `unknown_status`, any other is refused as not executed.
  void GiveUp(int unknown_status, absl::string_view why);
  void Refuse(absl::string_view why);
  void FailUnknown(int status, absl::string_view why);
  void AbortStream(absl::string_view why);
  void OnCallerGone();
  void Finish(int status, absl::string_view why);
  WorkerDemand Demand() const;
  // Returns an empty string if the worker or its version is not known.
  std::string SoftwareVersionOf(const std::string& worker_id) const;

  const RelayContext* context_;
  std::shared_ptr<ServerExchange> exchange_;
  RequestFacts facts_;
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_;
  RequestOrigin origin_;
  std::string service_;
  WorkerPath* path_;
  ModelKey model_;
  PromptPartIds shared_parts_;
  // The same for all tries of the caller.
  RequestContent content_;
  QueuePlace place_;
  absl::Time arrived_;
  // The earlier of the caller's and the route's deadline.
  absl::Time deadline_;
  std::unique_ptr<LoopTimer> timer_;
  State state_ = State::kWaiting;

  // Workers that may have received the request, and workers to which no connection could be made.
  std::set<std::string> tried_workers_;
  std::set<std::string> unreachable_workers_;
  // The union of both.
  std::set<std::string> excluded_workers_;
  // Peers that couldn't take the request.
  std::set<std::string> declined_peers_;
  int attempts_ = 0;
  // All attempts so far; the last one is that in flight.
  std::vector<UnreadAttempts::Key> sent_attempts_;
  // Number of attempts that may have arrived at a worker.
  int arrivals_ = 0;
  // Number of attempts at peers whose workers are not known.
  int lost_forwards_ = 0;
  bool may_have_run_ = false;
  // True if the request was admitted to find out whether its prompt still crashes workers.
  bool is_trial_ = false;
  absl::Duration quarantine_retry_after_;
  // Set once the caller has events, of this request or of an earlier one.
  std::optional<StreamSource> source_;
  ChoiceProblem last_problem_ = ChoiceProblem::kNone;
  std::string last_failure_;

  // State of the attempt in flight.
  std::unique_ptr<ClientExchange> upstream_;
  // Worker or peer that the attempt was sent to.
  std::string recipient_;
  std::string worker_id_;
  std::string worker_address_;
  // Worker of which a slot was taken for the attempt; empty if none was.
  std::string slot_of_;
  // Peer to which the attempt was forwarded; empty if it was sent to a worker.
  std::string peer_;
  std::optional<PeerVerdict> verdict_;
  // Absent if a peer doesn't tell it.
  std::optional<StreamSource> attempt_source_;
  absl::Time attempt_started_;
  absl::Time last_progress_;
  absl::Time stall_checked_ = absl::InfinitePast();
  bool answer_started_ = false;
  absl::Time answer_started_at_;
  // True once the answer shows that the worker survives the prompt.
  bool answer_survived_ = false;
  // True while nothing is read from the worker, as the caller is slow.
  bool reading_paused_ = false;
  AnswerHead answer_head_;
  AnswerFacts answer_facts_;
  bool forwarding_events_ = false;
  std::string answer_body_;
  EventSplitter events_;
  // For `answer_body_` and what `events_` holds back.
  MemoryReservation answer_memory_;
  // True once the head of a stream was sent to the caller.
  bool stream_started_ = false;
  absl::Time first_byte_at_;
  // Time at which the caller was last sent events, of any attempt.
  absl::Time last_event_at_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_REQUEST_RELAY_H_
