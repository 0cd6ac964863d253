// An HTTP/1.1 server on an event loop: one request at a time on a connection, kept connections,
// limits on heads, bodies and waits, and answers that are written in pieces.
#ifndef HINGESPAN_HTTP_HTTP_SERVER_H_
#define HINGESPAN_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/message_head.h"
#include "hingespan/http/message_parser.h"

namespace hingespan::gateway {

struct ServerLimits {
  MessageLimits message;
  // From the first byte of a request to the end of its head; also between pieces of its body.
  absl::Duration head_timeout = absl::Seconds(3);
  // A kept connection without a request is closed after this. While an answer is still being sent,
  // only if the caller has taken nothing of it for this long.
  absl::Duration idle_timeout = absl::Seconds(15);
  std::size_t max_connections = 3000;
};

// What a server's connections are at; each counts once. Bytes are of all of them together.
struct ServerActivity {
  // A whole request was read, and its answer isn't whole; or bytes read behind it are to be parsed.
  std::size_t answering = 0;
  // The last answer is whole, but not all of it has reached the caller's system: closing a socket
  // that has bytes unread drops what was not acknowledged.
  std::size_t sending = 0;
  // The last answer has left this process; its connection waits for the caller's end.
  std::size_t closing = 0;
  // All others: kept for a next request, or with part of one.
  std::size_t idle = 0;
  // In this process, or in the system and not acknowledged.
  std::size_t unsent_bytes = 0;
  // Received by the system or by this process, but not parsed.
  std::size_t unread_bytes = 0;

  // Connections whose caller would lose an answer, or its end, with this process.
  std::size_t unfinished() const { return answering + sending + closing; }
};

// One request and its answer. Kept alive by whoever answers. Once `Finish` or `Abort` was called,
// or the caller has gone, all further calls do nothing.
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;

  virtual const RequestHead& head() const = 0;
  virtual const std::string& body() const = 0;
  // When the first byte of the request came.
  virtual absl::Time received() const = 0;

  // Calls back once when the caller's connection ends before the answer is whole.
  virtual void OnCallerGone(std::function<void()> callback) = 0;
  // Calls back each time that what was written has left this process.
  virtual void OnDrained(std::function<void()> callback) = 0;
  // Bytes written here that have not left this process yet.
  virtual std::size_t pending_bytes() const = 0;

  // A whole answer with a body of known length.
  virtual void Answer(int status, absl::string_view reason, const HeaderFields& fields,
                      absl::string_view body) = 0;
  // The head of an answer whose body follows in chunks.
  virtual void StartChunked(int status, absl::string_view reason, const HeaderFields& fields) = 0;
  virtual void WriteChunk(absl::string_view bytes) = 0;
  virtual void FinishChunked() = 0;
  // Ends the connection so that the answer can't be taken for a whole one.
  virtual void Abort() = 0;
};

// Not thread-safe; lives on its loop.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  HttpServer(EventLoop* loop, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // `address` is "ip:port"; port 0 lets the kernel choose.
  std::error_code Listen(const std::string& address);
  // The address that is listened on; empty before Listen.
  std::string address() const;
  // Holds for messages that begin after this call.
  void SetLimits(const ServerLimits& limits);
  // From now on every answer asks the caller to close its connection, unless more of its requests
  // were read before.
  void AskToClose();
  std::size_t connections() const;
  ServerActivity activity() const;
  // Requests whose answer is not whole yet, or has not reached the caller's system.
  std::size_t open_exchanges() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_HTTP_SERVER_H_
