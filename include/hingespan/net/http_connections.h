// The life of an HttpServer's connections: TLS handshake, requests one after another, refusals,
// end.
//
// Includes httplib: for .cc files only.
#ifndef HINGESPAN_NET_HTTP_CONNECTIONS_H_
#define HINGESPAN_NET_HTTP_CONNECTIONS_H_

#include <httplib.h>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/net/connection_limiter.h"
#include "hingespan/net/deadline_stream.h"
#include "hingespan/net/http_server.h"
#include "hingespan/net/socket_linger.h"

namespace hingespan {

// Thread-safe.
class HttpConnections {
 public:
  // Handles one request on the stream; sets `closed` when the connection is to end. False: failed.
  using ProcessRequest =
      std::function<bool(DeadlineStream& stream, SSL* ssl, bool close, bool* closed)>;

  explicit HttpConnections(const HttpServerOptions& options) : options_(options) {}

  // For cpp-httplib, which owns the result.
  ConnectionLimiter* NewLimiter();
  // Serves, refuses or closes the connection, as its fate says; returns when it has ended.
  bool Serve(int socket, SSL_CTX* context, const ProcessRequest& process)
      ABSL_LOCKS_EXCLUDED(mutex_);
  // Gives an error answer of cpp-httplib its final status and body.
  void FillError(httplib::Response& response);
  // Says "Connection: close" where the request did not arrive whole.
  static void MarkEnd(httplib::Response& response);
  // As BeginStop, but connections that come are still served, for one request each.
  void BeginDrain() { draining_ = true; }
  // Idle connections end; others end after their present request.
  void BeginStop() ABSL_LOCKS_EXCLUDED(mutex_);
  // Waits up to `grace` for all to end, then breaks those that are left.
  bool EndAll(absl::Duration grace) ABSL_LOCKS_EXCLUDED(mutex_);

  HttpServerCounters counters() const ABSL_LOCKS_EXCLUDED(mutex_);
  static DeadlineStream* CurrentStream();

 private:
  void ServeRequests(DeadlineStream* stream, SSL* ssl, const ProcessRequest& process);
  // One request. False when the connection is to end.
  bool ServeRequest(DeadlineStream* stream, SSL* ssl, bool close, const ProcessRequest& process);
  bool ServeOpen(int socket, SSL_CTX* context, const ProcessRequest& process)
      ABSL_LOCKS_EXCLUDED(mutex_);
  // Answers 503 and hands the socket on; waits for nothing but a TLS handshake.
  bool RefuseConnection(int socket, SSL_CTX* context);
  bool ShouldEndIdle() const;
  std::string ErrorText(int status, std::string_view problem) const;
  static std::string ErrorAnswer(int status, const std::string& body);
  // The connection is to end after these.
  static void WriteAnswer(DeadlineStream* stream, const std::string& answer);
  void WriteError(DeadlineStream* stream, int status, std::string_view problem);
  void WriteStopping(DeadlineStream* stream);

  const HttpServerOptions& options_;
  std::atomic<ConnectionLimiter*> limiter_ = nullptr;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::uint64_t> connections_ = 0;
  std::atomic<std::uint64_t> refused_ = 0;
  std::atomic<std::uint64_t> closed_ = 0;
  std::atomic<std::uint64_t> receive_timeouts_ = 0;
  // Refused connections, until their callers have read the answer.
  SocketLinger linger_{kMaximumLingeringSockets};
  mutable absl::Mutex mutex_;
  // Open sockets.
  absl::flat_hash_map<int, bool> open_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_HTTP_CONNECTIONS_H_
