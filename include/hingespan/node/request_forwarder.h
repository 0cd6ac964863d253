// Forwards a caller's request to a node of another zone and streams its answer back.
#ifndef HINGESPAN_NODE_REQUEST_FORWARDER_H_
#define HINGESPAN_NODE_REQUEST_FORWARDER_H_

#include <functional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "hingespan/common/refusal.h"
#include "hingespan/net/http_exchange.h"
#include "hingespan/node/caller_answer.h"
#include "hingespan/node/caller_request.h"
#include "hingespan/routing/request_router.h"

namespace hingespan {

struct RequestForwarderOptions {
  std::string cluster_key;
  // Key sent as the caller's key; empty if none is sent.
  std::string caller_key;
  // Maximum time between two events of a stream that has begun.
  absl::Duration idle_limit = absl::Seconds(30);
  HttpClientOptions http;
};

struct ForwardedRequest {
  std::string address;
  RequestId request;
  // Deadline as a time of Clock::Now. For streams it applies to the first event.
  absl::Time deadline;
};

struct ForwardResult {
  AttemptOutcome outcome = AttemptOutcome::kNotRun;
  // Refusal received from the other node; set only for kRefusedElsewhere.
  Refusal refusal;
};

class EventStreamEnd;

// Thread-safe.
class RequestForwarder {
 public:
  explicit RequestForwarder(RequestForwarderOptions options);

  // Forwards the request and blocks until the answer has ended. Does not complete or refuse
  // `answer`; the caller of this function does.
  ForwardResult Forward(const ForwardedRequest& forwarded, const CallerRequest& request,
                        CallerAnswer* answer);

 private:
  AttemptOutcome OutcomeOf(const HttpAnswer& got, const EventStreamEnd& events, bool stream,
                           CallerAnswer* answer) const;

  const RequestForwarderOptions options_;
  HttpClientPool pool_;
};

// Scans an event stream to determine how it ended. Not thread-safe.
class EventStreamEnd {
 public:
  void Add(std::string_view piece);
  // Returns true if the latest complete event is the one that ends a complete answer.
  bool whole() const;
  // Returns true if the latest complete event is an error.
  bool failed() const;

 private:
  // Prefix of the latest complete event, and of the event that is still incomplete. Only the bytes
  // needed to distinguish events are stored.
  std::string latest_;
  std::string partial_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_REQUEST_FORWARDER_H_
