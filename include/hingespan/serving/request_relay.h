// One caller's request on its way: waiting for a worker, running at one, perhaps at a second,
// answered.
//
// States: waiting (in the queue), running (an attempt is under way), ended. A request that may have
// run is sent again only where its route allows it; one that has certainly not run is refused with
// 503, which promises so; all others that fail end with 502 or 504, which promise nothing.
#ifndef HINGESPAN_SERVING_REQUEST_RELAY_H_
#define HINGESPAN_SERVING_REQUEST_RELAY_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/http_client.h"
#include "hingespan/http/http_server.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/event_splitter.h"
#include "hingespan/serving/request_dialect.h"
#include "hingespan/serving/request_queue.h"
#include "hingespan/serving/retry_budget.h"
#include "hingespan/serving/route_table.h"
#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {

struct GatewayMetrics;

// What a request uses of its gateway.
class RelayHost {
 public:
  virtual ~RelayHost() = default;
  virtual void Enqueue(const QueuePlace& place, std::shared_ptr<RequestRelay> request) = 0;
  virtual void Dequeue(const QueuePlace& place) = 0;
  // A worker may have room again; not within this call.
  virtual void PumpSoon() = 0;
  virtual void RunningChanged(const std::string& service, const ModelKey& model, int change) = 0;
  // When a replica is expected to be ready; InfiniteFuture: nothing is known.
  virtual absl::Time ExpectedReady(const ModelKey& model) const = 0;
  // A caller was refused and told to come back then: the model is still asked for.
  virtual void ToldToReturn(const std::string& service, const ModelKey& model, absl::Time at) = 0;
  // When this node, which stops, must have answered everything; InfiniteFuture: it does not stop.
  virtual absl::Time StopLimit() const = 0;
  // The host keeps a request alive from Start until its end.
  virtual void Begun(std::shared_ptr<RequestRelay> request) = 0;
  virtual void Ended(std::uint64_t number) = 0;
};

// Shared by all requests of a node.
struct RelayContext {
  EventLoop* loop = nullptr;
  const RequestDialect* dialect = nullptr;
  HttpClient* client = nullptr;
  WorkerDirectory* workers = nullptr;
  RetryBudget* budget = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
  RelayHost* host = nullptr;
  // Policy: whether callers whose answers would be late are told to come back.
  bool return_when_late = true;
};

class RequestRelay : public AnswerReceiver, public std::enable_shared_from_this<RequestRelay> {
 public:
  RequestRelay(const RelayContext* context, std::shared_ptr<ServerExchange> exchange,
               RequestFacts facts, std::shared_ptr<const RouteTable> routes, const Route* route,
               std::uint64_t number);

  // Puts the request into the queue.
  void Start();
  // Sends it to a worker when one has room. Returns whether it left the queue.
  bool TryDispatch(absl::Time now);

  // Why no worker could take it when that was last looked at.
  ChoiceProblem problem() const { return last_problem_; }
  // Another request that asks for the same found no worker for this reason.
  void NoteProblem(ChoiceProblem problem);
  // What is expected of a replica has changed.
  void OnNews() {
    if (state_ == State::kWaiting) {
      SetTimer(context_->loop->Now());
    }
  }
  // The node stops: what can't end in time gets its answer before.
  void OnStopping() { SetTimer(context_->loop->Now()); }
  // The node is about to end: what is due is done now, also if its timer has not run yet.
  void OnStopLimit() { OnTimer(); }

  std::uint64_t number() const { return place_.number; }
  const std::string& service() const { return service_; }
  const ModelKey& model() const { return model_; }
  int prompt_tokens() const { return facts_.prompt_tokens; }
  bool waiting() const { return state_ == State::kWaiting; }
  // Requests with an equal demand and no attempt yet wait for the same workers.
  bool first_attempt() const { return tried_.empty(); }

  bool OnHead(const AnswerHead& head) override;
  void OnBody(absl::string_view piece) override;
  void OnEnd(ExchangeResult result) override;

 private:
  enum class State { kWaiting, kRunning, kEnded };

  void BeginWaiting();
  void Dispatch(WorkerState* worker, const WorkerDemand& demand, absl::Time now);
  void SetTimer(absl::Time now);
  void OnTimer();
  // The caller's, the route's or a stopping node's, whichever is earliest.
  absl::Time Deadline() const;
  absl::Time WaitLimit() const;
  // How long the caller waits for the first event.
  absl::Duration Patience() const;
  // Whether the request is better held until its model is there than told to come back then.
  bool MayWaitFor(absl::Time expected, absl::Time latest) const;
  // When a silent worker is given up, and when that is looked at first.
  absl::Time StallLimit() const;
  absl::Time FirstStallLimit() const;
  bool AnotherWorkerIsFree(absl::Time now) const;
  bool MayTryAnother(absl::Time now) const;
  // The same, counting a repeat that is denied for want of budget.
  bool TakesAnother(absl::Time now) const;
  void LogRepeat(absl::string_view event, absl::Time now) const;
  void EndAttempt(AttemptOutcome outcome);
  void OnNotExecuted();
  void OnWholeAnswer();
  void OnFailedAttempt(absl::string_view how);
  void ForwardEvents(const std::string& events);
  void SendWholeAnswer();
  // The final answer to a request that is not served: a stream that has begun is broken off, one
  // that may have run gets `unknown_status`, else it is refused as not run.
  void GiveUp(int unknown_status, absl::string_view why);
  void Refuse(absl::string_view why);
  void FailUnknown(int status, absl::string_view why);
  void AbortStream(absl::string_view why);
  void OnCallerGone();
  void Finish(int status, absl::string_view why);
  WorkerDemand Demand() const;

  const RelayContext* context_;
  std::shared_ptr<ServerExchange> exchange_;
  RequestFacts facts_;
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_;
  std::string service_;
  ModelKey model_;
  QueuePlace place_;
  absl::Time arrived_;
  // The caller's or the route's, whichever is earlier.
  absl::Time deadline_;
  std::unique_ptr<LoopTimer> timer_;
  State state_ = State::kWaiting;

  // Workers that were sent the request.
  std::set<std::string> tried_;
  int attempts_ = 0;
  bool may_have_run_ = false;
  ChoiceProblem last_problem_ = ChoiceProblem::kNone;
  std::string last_failure_;

  // The attempt under way.
  std::unique_ptr<ClientExchange> upstream_;
  std::string worker_id_;
  absl::Time attempt_started_;
  absl::Time last_progress_;
  absl::Time stall_checked_ = absl::InfinitePast();
  bool attempt_began_ = false;
  AnswerHead answer_head_;
  AnswerFacts answer_facts_;
  bool passing_events_ = false;
  std::string answer_body_;
  EventSplitter events_;
  // The head of a stream has gone to the caller.
  bool stream_started_ = false;
  absl::Time first_byte_at_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_REQUEST_RELAY_H_
