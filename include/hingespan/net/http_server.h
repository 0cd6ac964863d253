// An HTTP/1.1 server over cpp-httplib that bounds what callers can take: connections, threads,
// memory of a request, and the time in which a whole request must arrive. Plain or TLS.
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

// A connection ends after this many requests.
inline constexpr int kMaximumRequestsPerConnection = 10000;

struct HttpServerOptions {
  std::size_t maximum_connections = 256;
  std::size_t maximum_refusals = 16;
  std::size_t maximum_body_bytes = 1 << 20;
  // From the first byte of a request until its last.
  absl::Duration receive_timeout = absl::Seconds(5);
  absl::Duration keep_alive_timeout = absl::Seconds(2);
  absl::Duration send_timeout = absl::Seconds(10);
  // PEM files; empty certificate: plain HTTP.
  std::string certificate_file;
  std::string key_file;
  // Clients must show a certificate that this one signed; empty: none is asked for.
  std::string client_ca_file;
  // Text of the answer to a request that is refused before any handler sees it.
  std::function<std::string(int status, std::string_view problem)> error_body;
  // Text for a caller whose request won't be read, since the server stops; unset: error_body's.
  std::function<std::string(std::string_view problem)> stopping_body;
};

struct HttpServerCounters {
  std::uint64_t connections = 0;
  // Answered 503, since too many were open.
  std::uint64_t refused = 0;
  // Closed without an answer: TLS connections, while too many handshakes of refused ones ran.
  std::uint64_t closed = 0;
  // Requests that did not arrive whole in time.
  std::uint64_t receive_timeouts = 0;
  std::uint64_t open = 0;
};

class HttpServer {
 public:
  explicit HttpServer(HttpServerOptions options);
  // Calls Stop.
  ~HttpServer();

  // Handlers are added here before Start. They run on a connection's thread.
  httplib::Server& routes();
  // Binds "ip:port" and returns the same with the port that the kernel picked. Errors:
  // kInvalidArgument (address, certificate), kUnavailable (address taken).
  Result<std::string> Bind(const std::string& address);
  // Accepts connections on a thread of its own.
  void Start();
  // From now on idle connections end, and others after their present request: clients make new
  // ones, elsewhere if they can.
  void BeginDrain();
  // Accepts no more, ends idle connections, gives others `grace` to end, then ends all. False: some
  // were cut off.
  bool Stop(absl::Duration grace);

  HttpServerCounters counters() const;

  // The stream of the connection whose handler runs on this thread; null outside of handlers.
  static DeadlineStream* CurrentStream();

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_HTTP_SERVER_H_
