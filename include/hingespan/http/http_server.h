// HTTP/1.1 server on an event loop: one request at a time per connection, keep-alive, limits on
// head size, body size and timeouts, and chunked answers.
#ifndef HINGESPAN_HTTP_HTTP_SERVER_H_
#define HINGESPAN_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "hingespan/http/client_memory.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/message_head.h"
#include "hingespan/http/message_parser.h"

namespace hingespan::gateway {

struct ServerLimits {
  MessageLimits message;
  // Time from a request's first byte to the end of its head, and between two pieces of its body.
  absl::Duration head_timeout = absl::Seconds(3);
  // A keep-alive connection without a request is closed after this time. While an answer is being
  // sent, it is closed only if the caller has acknowledged none of it for this long.
  absl::Duration idle_timeout = absl::Seconds(15);
  // At the limit, a new connection takes the place of the one that has been idle longest, or else
  // of the one whose request has been unfinished longest, or whose answer was read least recently.
  // If there is none, the new one is closed unread.
  std::size_t max_connections = 3000;
  // Bytes that the kernel may receive for a connection before they are read; 0 for its default.
  // Takes effect at Listen.
  std::size_t receive_buffer_bytes = 0;
  // Fields of the answer to a client that is turned away because clients hold too much memory, or
  // the node ends.
  HeaderFields overload_fields;
};

// Why a client was turned away before its request was passed on, or while its answer was sent.
enum class TurnedAwayReason {
  // All clients together make the node hold too much, and this one kept it waiting.
  kMemory,
  // A new connection took its place, or it found no place itself.
  kConnections,
  kTimeout,
  // The node ends before the request is complete.
  kStopping,
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

struct TurnedAwayClient {
  TurnedAwayReason reason = TurnedAwayReason::kMalformed;
  // Status of the answer; 0 if the connection was closed without one.
  int status = 0;
  // The client's "ip:port"; empty if not known.
  std::string address;
  std::size_t held_bytes = 0;
  // Time for which the node had waited for the client.
  absl::Duration waited;
};

using TurnedAwayCallback = std::function<void(const TurnedAwayClient&)>;

// Number of connections by state, each counted once, and byte totals over all connections.
struct ServerActivity {
  // A complete request was read and its answer is incomplete, or bytes after it are to be parsed.
  std::size_t answering = 0;
  // The last answer is complete, but the caller's kernel has not acknowledged all of it. Closing a
  // socket that has unread input discards whatever was not acknowledged.
  std::size_t sending = 0;
  // The last answer was sent; the connection waits for the caller to close its side.
  std::size_t closing = 0;
  // All others: waiting for the next request, or holding part of one.
  std::size_t idle = 0;
  // Bytes buffered in this process, or in the kernel and not acknowledged.
  std::size_t unsent_bytes = 0;
  // Bytes received by the kernel or by this process, but not parsed.
  std::size_t unread_bytes = 0;

  // Adds the activity of another server.
  ServerActivity& operator+=(const ServerActivity& other);
  // Connections whose caller would lose an answer, or its end, if this process exited now.
  std::size_t unfinished() const { return answering + sending + closing; }
};

// One request and its answer, owned by the code that answers it. Once the answer was finished or
// aborted, or the caller has disconnected, all further calls do nothing.
class ServerExchange {
 public:
  virtual ~ServerExchange() = default;

  virtual const RequestHead& head() const = 0;
  virtual const std::string& body() const = 0;
  virtual SharedBody shared_body() const = 0;
  // Time at which the first byte of the request was received.
  virtual absl::Time received() const = 0;
  // Sets the bytes that the answering code holds for this request in addition to head and body.
  virtual void SetExtraBytes(std::size_t bytes) = 0;

  // Calls `callback` once if the caller's connection ends before the answer is complete.
  virtual void OnCallerGone(std::function<void()> callback) = 0;
  // Calls `callback` each time all written bytes have been handed to the kernel.
  virtual void OnDrained(std::function<void()> callback) = 0;
  // Written bytes that have not been handed to the kernel yet.
  virtual std::size_t pending_bytes() const = 0;

  // Sends a complete answer with Content-Length.
  virtual void Answer(int status, absl::string_view reason, const HeaderFields& fields,
                      absl::string_view body) = 0;
  // Sends the head of an answer with a chunked body, or one that ends with the connection if the
  // caller doesn't know chunks.
  virtual void StartChunked(int status, absl::string_view reason, const HeaderFields& fields) = 0;
  // Sends the head of an answer whose body ends with the connection. WriteChunk and FinishChunked
  // then send its bytes unframed and its end.
  virtual void StartUnframed(int status, absl::string_view reason, const HeaderFields& fields) = 0;
  virtual void WriteChunk(absl::string_view bytes) = 0;
  virtual void FinishChunked() = 0;
  // Ends the connection in a way that the caller can't mistake the answer for a complete one: with
  // a reset if the end of the connection would mark the end of the body.
  virtual void Abort() = 0;
};

// Not thread-safe; must be used on the thread of its loop.
class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<ServerExchange>)>;

  // `memory` bounds what the clients make the node hold; without it there is no such bound.
  HttpServer(EventLoop* loop, Handler handler, std::shared_ptr<ClientMemory> memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on `address`, "ip:port"; port 0 lets the kernel choose a port.
  std::error_code Listen(const std::string& address);
  // The bound address; empty before Listen.
  std::string address() const;
  // Takes effect for messages that begin after this call.
  void SetLimits(const ServerLimits& limits);
  // Calls `callback` for each client that the server turns away.
  void OnTurnedAway(TurnedAwayCallback callback);
  // From now on every answer carries "Connection: close", unless further requests were already read
  // from its connection.
  void AskToClose();
  // Refuses the requests of which only a part has come, as the node ends. Returns their number.
  std::size_t RefuseUnfinished();
  std::size_t connections() const;
  ServerActivity activity() const;
  // Number of requests whose answer is incomplete or not fully acknowledged by the caller's kernel.
  std::size_t open_exchanges() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_HTTP_SERVER_H_
