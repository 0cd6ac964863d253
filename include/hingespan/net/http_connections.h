// Lifecycle of the connections of an HttpServer: TLS handshake, requests in sequence, refusals and
// closing.
//
// Includes httplib, so include this header only from .cc files.
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
  // Handles one request; sets `closed` if the connection must be closed. Returns false on failure.
  using ProcessRequest =
      std::function<bool(DeadlineStream& stream, SSL* ssl, bool close, bool* closed)>;

  explicit HttpConnections(const HttpServerOptions& options) : options_(options) {}

  // Creates the task queue for cpp-httplib, which takes ownership.
  ConnectionLimiter* NewLimiter();
  // Serves, refuses or closes the connection as ConnectionLimiter decided; blocks until its end.
  bool Serve(int socket, SSL_CTX* context, const ProcessRequest& process)
      ABSL_LOCKS_EXCLUDED(mutex_);
  // Sets the final status and body of an error answer made by cpp-httplib.
  void FillError(httplib::Response& response);
  // Adds "Connection: close" to the answer to a request that was not received completely.
  static void AddConnectionClose(httplib::Response& response);
  // Like BeginStop, but new connections are still served, for one request each.
  void BeginDrain() { draining_ = true; }
  // Closes idle connections, and the others after their current request.
  void BeginStop() ABSL_LOCKS_EXCLUDED(mutex_);
  // Waits up to `grace` for all connections to end; false if it had to cut off the rest.
  bool EndAll(absl::Duration grace) ABSL_LOCKS_EXCLUDED(mutex_);

  HttpServerCounters counters() const ABSL_LOCKS_EXCLUDED(mutex_);
  static DeadlineStream* CurrentStream();

 private:
  void ServeRequests(DeadlineStream* stream, SSL* ssl, const ProcessRequest& process);
  // Serves one request. Returns false if the connection must be closed.
  bool ServeRequest(DeadlineStream* stream, SSL* ssl, bool close, const ProcessRequest& process);
  bool ServeOpen(int socket, SSL_CTX* context, const ProcessRequest& process)
      ABSL_LOCKS_EXCLUDED(mutex_);
  // Answers 503 and hands the socket to `linger_`; blocks only for a TLS handshake.
  bool RefuseConnection(int socket, SSL_CTX* context);
  bool ShouldEndIdle() const;
  std::string ErrorText(int status, std::string_view problem) const;
  static std::string ErrorAnswer(int status, const std::string& body);
  // The connection must be closed after these writes.
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
  // Holds refused connections until their callers have read the answer.
  SocketLinger linger_{kMaximumLingeringSockets};
  mutable absl::Mutex mutex_;
  // Sockets of open connections; the value is always true.
  absl::flat_hash_map<int, bool> open_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_HTTP_CONNECTIONS_H_
