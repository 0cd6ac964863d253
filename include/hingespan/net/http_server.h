// HTTP/1.1 server (plain or TLS) based on cpp-httplib, with limits on connections, threads, memory
// per request, and the time in which a complete request must arrive.
#ifndef HINGESPAN_NET_HTTP_SERVER_H_
#define HINGESPAN_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "hingespan/common/result.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace hingespan {

class DeadlineStream;

// A connection is closed after this many requests.
inline constexpr int kMaximumRequestsPerConnection = 10000;

struct HttpServerOptions {
  std::size_t maximum_connections = 256;
  std::size_t maximum_refusals = 16;
  std::size_t maximum_body_bytes = 1 << 20;
  // Time from the first byte of a request to its last.
  absl::Duration receive_timeout = absl::Seconds(5);
  absl::Duration keep_alive_timeout = absl::Seconds(2);
  absl::Duration send_timeout = absl::Seconds(10);
  // PEM files. Without a certificate the server speaks plain HTTP.
  std::string certificate_file;
  std::string key_file;
  // PEM file of the authority that must have signed client certificates; empty to request none.
  std::string client_ca_file;
  // Makes the body of the answer to a request that is refused before it reaches a handler.
  std::function<std::string(int status, std::string_view problem)> error_body;
  // Body for callers whose request won't be read, as the server is stopping; default: `error_body`.
  std::function<std::string(std::string_view problem)> stopping_body;
};

struct HttpServerCounters {
  std::uint64_t connections = 0;
  // Connections answered 503 because too many were open.
  std::uint64_t refused = 0;
  // TLS connections closed unanswered because too many refused ones were in a handshake.
  std::uint64_t closed = 0;
  // Requests that were not received completely in time.
  std::uint64_t receive_timeouts = 0;
  std::uint64_t open = 0;
};

class HttpServer {
 public:
  explicit HttpServer(HttpServerOptions options);
  // Calls Stop.
  ~HttpServer();

  // Routes to which handlers are added before Start. Handlers run on their connection's thread.
  httplib::Server& routes();
  // Binds "ip:port" and returns it with the port that the kernel picked. Errors: kInvalidArgument
  // (bad address or certificate), kUnavailable (address in use).
  Result<std::string> Bind(const std::string& address);
  // Starts to accept connections, on a separate thread.
  void Start();
  // Closes idle connections, and the others after their current request, so that clients reconnect,
  // preferably to other nodes.
  void BeginDrain();
  // Stops accepting, closes idle connections, and waits up to `grace` for the others before closing
  // them. Returns false if any were cut off.
  bool Stop(absl::Duration grace);

  HttpServerCounters counters() const;

  // Returns the stream of the connection whose handler runs on the calling thread; null elsewhere.
  static DeadlineStream* CurrentStream();

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_HTTP_SERVER_H_
