// The HTTP paths for callers: chat and text completions, the list of models, health and metrics.
#ifndef HINGESPAN_NODE_CALLER_FRONT_END_H_
#define HINGESPAN_NODE_CALLER_FRONT_END_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/node/caller_request.h"
#include "hingespan/node/request_session.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace hingespan {

struct CallerFrontEndOptions {
  NodeId node;
  NodeIncarnation incarnation;
  // Callers' "Authorization: Bearer ..."; empty: not asked for.
  std::string caller_key;
  std::string cluster_key;
  std::size_t maximum_body_bytes = 1 << 20;
  // Longest wait for a model whose row is not known.
  absl::Duration default_wait = absl::Seconds(30);
  absl::Duration idle_limit = absl::Seconds(30);
};

// Thread-safe.
class CallerFrontEnd {
 public:
  CallerFrontEnd(CallerFrontEndOptions options, SessionParts parts, NodeMetricsSources sources);

  // This must outlive the server.
  void AddRoutes(httplib::Server* server);
  // /readyz says 503 from now on.
  void SetStopping() { stopping_ = true; }

 private:
  void ServeCompletion(CallKind kind, const httplib::Request& request, httplib::Response* response);
  void ServeModels(const httplib::Request& request, httplib::Response* response) const;
  void ServeModel(const httplib::Request& request, httplib::Response* response) const;
  void ServeReady(httplib::Response* response) const;
  // Fills a refusal and returns false when the caller may not call.
  bool Authorize(const httplib::Request& request, bool forwarded,
                 httplib::Response* response) const;
  // A valid token of another node.
  bool IsForwarded(const httplib::Request& request) const;
  RequestId NextRequestId(const std::string& caller_request_id);
  absl::Duration WaitLimit(const CallerRequest& request) const;

  const CallerFrontEndOptions options_;
  const SessionParts parts_;
  const NodeMetricsSources sources_;
  std::atomic<std::uint64_t> next_request_ = 1;
  std::atomic<bool> stopping_ = false;
};

}  // namespace hingespan

#endif  // HINGESPAN_NODE_CALLER_FRONT_END_H_
