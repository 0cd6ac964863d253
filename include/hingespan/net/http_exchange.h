// Blocking HTTP client with pooled keep-alive connections of cpp-httplib's client. One deadline
// covers connecting, sending and receiving. Thread-safe.
#ifndef HINGESPAN_NET_HTTP_EXCHANGE_H_
#define HINGESPAN_NET_HTTP_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace hingespan {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpExchange {
  // "ip:port".
  std::string address;
  std::string method = "GET";
  std::string path = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  // Content type of the body; empty if there is none.
  std::string content_type;
  // Time (of Clock::Now) by which the exchange has ended. Each received piece may extend it, see
  // `idle_limit`.
  absl::Time deadline;
  // If finite, the deadline is this long after the latest piece, from the body's first piece on.
  absl::Duration idle_limit = absl::InfiniteDuration();
  // Called with each piece of the body of a 200 answer as it arrives; returning false ends the
  // exchange. If null, the body is collected.
  std::function<bool(std::string_view piece)> on_piece;
  // Called before waiting for more data, each time everything received was passed to `on_piece`.
  // May be null.
  std::function<void()> before_wait;
  // Polled while waiting for data; returning true ends the exchange.
  std::function<bool()> cancelled;
};

enum class ExchangeEnd {
  // The complete answer was received.
  kComplete,
  // No connection could be made, so nothing was sent.
  kNotSent,
  // The connection broke.
  kBroken,
  kTimeout,
  // Ended by `cancelled` or `on_piece`.
  kCancelled,
};

struct HttpAnswer {
  ExchangeEnd end = ExchangeEnd::kNotSent;
  // HTTP status; 0 if no head of an answer was received.
  int status = 0;
  std::string content_type;
  // Header fields; filled only for answers other than 200.
  std::vector<HttpHeader> headers;
  // Body, unless it was passed to `on_piece`.
  std::string body;
};

struct HttpClientOptions {
  absl::Duration connect_timeout = absl::Seconds(1);
  // Connections idle for longer are not reused, because the peer may close them just as a request
  // is sent.
  absl::Duration maximum_idle = absl::Seconds(1);
  // Limit of idle connections per address.
  std::size_t maximum_idle_connections = 16;
  // Use TLS. If `ca_file` is set, the peer's certificate must be signed by it.
  bool tls = false;
  std::string ca_file;
  std::string certificate_file;
  std::string key_file;
};

class HttpClientPool {
 public:
  explicit HttpClientPool(HttpClientOptions options);
  ~HttpClientPool();

  HttpAnswer Exchange(const HttpExchange& exchange);
  // Number of connections established so far.
  std::size_t connections_made() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hingespan

#endif  // HINGESPAN_NET_HTTP_EXCHANGE_H_
