// HTTP/1.1 exchanges with other machines on an event loop, over kept connections.
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

// How an exchange ended.
enum class ExchangeResult {
  // The whole answer was received.
  kComplete,
  // No byte of the request was taken by the other side's machine: it has not been seen there.
  kNotSent,
  // The connection ended before the answer was whole; the request may have been seen.
  kBroken,
  // What came is no answer in the protocol.
  kMalformed,
};

// Receives the answer. Calls come from the loop, never from within ClientExchange's functions.
class AnswerReceiver {
 public:
  virtual ~AnswerReceiver() = default;
  // False: the answer isn't wanted; the connection is closed and `OnEnd` gets kMalformed.
  virtual bool OnHead(const AnswerHead& head) = 0;
  virtual void OnBody(absl::string_view piece) = 0;
  // The last call. Not made after Cancel.
  virtual void OnEnd(ExchangeResult result) = 0;
};

// A running exchange. Destroying it cancels it.
class ClientExchange {
 public:
  virtual ~ClientExchange() = default;
  // Closes the connection at once; the receiver is not called again.
  virtual void Cancel() = 0;
  // Cancel, by a reset: bytes that a slow or cut link still holds up are thrown away.
  virtual void Discard() = 0;
  // Stops and restarts reading, for a reader that can't keep up.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

struct ClientLimits {
  absl::Duration connect_timeout = absl::Milliseconds(400);
  // Kept connections are closed after this, and earlier where the other side says so.
  absl::Duration idle_timeout = absl::Seconds(20);
  // Bytes sent but not confirmed for so long end the connection (TCP_USER_TIMEOUT).
  absl::Duration unacknowledged_timeout = absl::Seconds(3);
};

// Connections to any number of addresses. Not thread-safe; lives on its loop.
class HttpClient {
 public:
  HttpClient(EventLoop* loop, const ClientLimits& limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `message` is the whole request as bytes. `receiver` must outlive the exchange.
  std::unique_ptr<ClientExchange> Send(const std::string& address, std::string message,
                                       AnswerReceiver* receiver);
  // Connections to `address`, busy and kept ones.
  std::size_t connections(const std::string& address) const;
  std::size_t kept_connections(const std::string& address) const;
  // Closes all kept connections to an address whose owner is gone.
  void Forget(const std::string& address);

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

// The text of a request: request line, `fields`, and a body of known length.
std::string RequestText(absl::string_view method, absl::string_view target, absl::string_view host,
                        const HeaderFields& fields, absl::string_view body);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_HTTP_CLIENT_H_
