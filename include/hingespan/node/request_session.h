// Serves one caller's request from arrival to end: submits it to the router, executes the router's
// decisions, and ensures that the caller gets exactly one final result.
#ifndef HINGESPAN_NODE_REQUEST_SESSION_H_
#define HINGESPAN_NODE_REQUEST_SESSION_H_

#include <optional>
#include <string>

#include "absl/time/time.h"
#include "hingespan/engine/engine_client.h"
#include "hingespan/node/caller_answer.h"
#include "hingespan/node/caller_request.h"
#include "hingespan/node/core_driver.h"
#include "hingespan/node/node_metrics.h"
#include "hingespan/node/request_forwarder.h"

namespace hingespan {

// Dependencies of a session. All of them must outlive it.
struct SessionParts {
  CoreDriver* driver = nullptr;
  EngineClient* engines = nullptr;
  RequestForwarder* forwarder = nullptr;
  NodeMetrics* metrics = nullptr;
};

struct SessionRequest {
  CallerRequest caller;
  // Unique among all nodes.
  RequestId id;
  // Times of Clock::Now.
  absl::Time arrival;
  absl::Time deadline;
  bool forwarded = false;
  // Maximum time between two events of a stream that has begun.
  absl::Duration idle_limit = absl::Seconds(30);
};

// Not thread-safe: used only on the thread that serves the caller.
class RequestSession {
 public:
  RequestSession(const SessionParts& parts, const SessionRequest& request, CallerAnswer* answer)
      : parts_(parts), request_(request), answer_(answer) {}

  // Blocks until the caller has received its answer or has disconnected.
  void Run();

 private:
  // Executes a decision. Returns nullopt if the request has ended.
  std::optional<AttemptOutcome> Execute(const RouteDecision& decision);
  AttemptOutcome RunOnEngine(const RouteDecision& decision);
  AttemptOutcome Forward(const RouteDecision& decision);
  AttemptOutcome OutcomeOf(const GenerationResult& result) const;
  RouteRequest MakeRouteRequest() const;
  AnswerIdentity IdentityOf(const RequestId& attempt) const;
  // Ends the request at the router because no decision arrived in time or the caller disconnected.
  void GiveUp(PendingRequest* pending);
  // Passes on the final refusal of another node.
  void RelayRemoteRefusal();
  void Refuse(const Refusal& refusal);
  void End(std::string_view outcome);

  const SessionParts parts_;
  const SessionRequest& request_;
  CallerAnswer* const answer_;
  int attempts_ = 0;
  // True if a failed attempt may have run.
  bool may_have_run_ = false;
  // Refusal of the latest forward that ended with kRefusedElsewhere.
  Refusal remote_refusal_;
  bool first_chunk_seen_ = false;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_REQUEST_SESSION_H_
