// HTTP/1.1 client on an event loop, with a pool of keep-alive connections.
#ifndef HINGESPAN_HTTP_HTTP_CLIENT_H_
#define HINGESPAN_HTTP_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/message_head.h"

namespace hingespan::gateway {

// Outcome of an exchange.
enum class ExchangeResult {
  // The whole answer was received.
  kComplete,
  // No byte of the request was delivered to the peer, so the peer has not seen it.
  kNotSent,
  // The connection ended before the answer was complete; the peer may have seen the request.
  kBroken,
  // The received bytes are not a valid HTTP answer, or the receiver rejected its head.
  kMalformed,
};

// Receives the answer. Called from the loop, never from within a ClientExchange function.
class AnswerReceiver {
 public:
  virtual ~AnswerReceiver() = default;
  // Returns false to reject the answer: the connection is closed and `OnEnd` gets kMalformed.
  virtual bool OnHead(const AnswerHead& head) = 0;
  virtual void OnBody(absl::string_view piece) = 0;
  // The last call of an exchange. Not called after Cancel.
  virtual void OnEnd(ExchangeResult result) = 0;
};

// A running exchange. Destroying it cancels it.
class ClientExchange {
 public:
  virtual ~ClientExchange() = default;
  // Closes the connection immediately; the receiver is not called again.
  virtual void Cancel() = 0;
  // Cancels with a TCP reset, which discards bytes still held up by a slow or broken link.
  virtual void Discard() = 0;
  // Closes the connection once the answer is complete, instead of reusing it.
  virtual void CloseWhenComplete() = 0;
  // Pause and resume reading from the connection, for receivers that can't keep up.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

struct ClientLimits {
  absl::Duration connect_timeout = absl::Milliseconds(400);
  // Idle connections are closed after this time, or earlier if the peer's Keep-Alive field says so.
  absl::Duration idle_timeout = absl::Seconds(20);
  // A connection with bytes unacknowledged for this long is closed (TCP_USER_TIMEOUT).
  absl::Duration unacknowledged_timeout = absl::Seconds(3);
};

// Client for any number of addresses. Not thread-safe; must be used on the thread of its loop.
class HttpClient {
 public:
  HttpClient(EventLoop* loop, const ClientLimits& limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `message` is the serialized request up to `body`, which is shared instead of copied and may be
  // null. `receiver` must outlive the exchange.
  std::unique_ptr<ClientExchange> Send(const std::string& address, std::string message,
                                       AnswerReceiver* receiver, SharedBody body = nullptr);
  // Like Send, but makes a connection even if an idle one is there.
  std::unique_ptr<ClientExchange> SendOnNewConnection(const std::string& address,
                                                      std::string message, AnswerReceiver* receiver,
                                                      SharedBody body = nullptr);
  // Number of open connections to `address`, busy and idle.
  std::size_t connections(const std::string& address) const;
  std::size_t idle_connections(const std::string& address) const;
  // Closes all idle connections to an address that is no longer in use.
  void CloseIdleConnections(const std::string& address);

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

// Serializes a request: request line, `fields`, and a body with Content-Length.
std::string RequestText(absl::string_view method, absl::string_view target, absl::string_view host,
                        const HeaderFields& fields, absl::string_view body);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_HTTP_CLIENT_H_
