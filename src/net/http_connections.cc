#include "hingespan/net/http_connections.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "hingespan/net/request_head.h"
#include "hingespan/net/tls_handshake.h"

namespace hingespan {
namespace {

constexpr int kRetryAfterSeconds = 1;
// Allowance for the chunk headers of a chunked body.
constexpr std::size_t kChunkOverheadFactor = 2;
constexpr std::size_t kChunkOverheadBytes = 64 * 1024;

thread_local DeadlineStream* current_stream = nullptr;

absl::string_view ReasonOf(int status) {
  switch (status) {
    case 408:
      return "Request Timeout";
    case 411:
      return "Length Required";
    case 413:
      return "Payload Too Large";
    case 414:
      return "URI Too Long";
    case 415:
      return "Unsupported Media Type";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Bad Request";
  }
}

// Discards further input until the caller closes: closing a socket with unread input would reset
// the connection, and the caller could lose the answer.
void Linger(DeadlineStream* stream) {
  shutdown(stream->socket(), SHUT_WR);
  stream->set_cancelled(nullptr);
  stream->set_read_deadline(SystemClock().Now() + kLingerTimeout);
  stream->set_read_allowance(kMaximumLingerBytes);
  std::array<char, 4096> discarded;
  while (stream->read(discarded.data(), discarded.size()) > 0) {
  }
}

}  // namespace

DeadlineStream* HttpConnections::CurrentStream() { return current_stream; }

ConnectionLimiter* HttpConnections::NewLimiter() {
  auto* const limiter =
      new ConnectionLimiter(options_.maximum_connections, options_.maximum_refusals);
  limiter_ = limiter;
  return limiter;
}

bool HttpConnections::ShouldEndIdle() const {
  const ConnectionLimiter* const limiter = limiter_;
  return stopping_ || draining_ || (limiter != nullptr && limiter->near_limit());
}

bool HttpConnections::Serve(int socket, SSL_CTX* context, const ProcessRequest& process) {
  ++connections_;
  const ConnectionAdmission admission = ConnectionLimiter::CurrentAdmission();
  if (admission == ConnectionAdmission::kServe) {
    const absl::Cleanup close_socket = [socket] { close(socket); };
    return ServeOpen(socket, context, process);
  }
  if (admission == ConnectionAdmission::kRefuse || context == nullptr) {
    return RefuseConnection(socket, context);
  }
  // A TLS handshake would block the accepting thread.
  ++closed_;
  close(socket);
  return false;
}

bool HttpConnections::ServeOpen(int socket, SSL_CTX* context, const ProcessRequest& process) {
  {
    absl::MutexLock lock(&mutex_);
    open_[socket] = true;
  }
  const absl::Cleanup unregister = [this, socket] {
    absl::MutexLock lock(&mutex_);
    open_.erase(socket);
  };
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  SslPointer ssl;
  if (context != nullptr) {
    ssl = AcceptTls(socket, context, SystemClock().Now() + options_.receive_timeout);
    if (ssl == nullptr) {
      return false;
    }
  }
  DeadlineStream stream(socket, ssl.get());
  stream.set_write_timeout(options_.send_timeout);
  ServeRequests(&stream, ssl.get(), process);
  if (ssl != nullptr && !stream.write_failed()) {
    SSL_shutdown(ssl.get());
  }
  return true;
}

bool HttpConnections::RefuseConnection(int socket, SSL_CTX* context) {
  const absl::Cleanup linger = [this, socket] { linger_.Add(socket); };
  SslPointer ssl;
  if (context != nullptr) {
    ssl = AcceptTls(socket, context, SystemClock().Now() + options_.receive_timeout);
    if (ssl == nullptr) {
      return false;
    }
  }
  ++refused_;
  DeadlineStream stream(socket, ssl.get());
  // The send buffer of a new connection has space for the answer, so no wait is needed.
  stream.set_write_timeout(absl::ZeroDuration());
  const std::string answer = ErrorAnswer(503, ErrorText(503, "too many connections"));
  const bool written = stream.write(answer.data(), answer.size()) > 0;
  if (ssl != nullptr && written) {
    SSL_shutdown(ssl.get());
  }
  return written;
}

void HttpConnections::ServeRequests(DeadlineStream* stream, SSL* ssl,
                                    const ProcessRequest& process) {
  current_stream = stream;
  for (int count = 0; count < kMaximumRequestsPerConnection; ++count) {
    const bool first = count == 0;
    const absl::Duration wait = first ? options_.receive_timeout : options_.keep_alive_timeout;
    stream->set_read_deadline(SystemClock().Now() + wait);
    stream->set_read_allowance(std::numeric_limits<std::size_t>::max());
    if (first) {
      stream->set_cancelled([this] { return stopping_.load(); });
    } else {
      stream->set_cancelled([this] { return ShouldEndIdle(); });
    }
    if (!stream->WaitReadable()) {
      if (first && stream->read_end() == ReadEnd::kCancelled) {
        WriteStopping(stream);
      }
      break;
    }
    const bool last = count + 1 == kMaximumRequestsPerConnection;
    if (!ServeRequest(stream, ssl, ShouldEndIdle() || last, process)) {
      break;
    }
  }
  current_stream = nullptr;
}

bool HttpConnections::ServeRequest(DeadlineStream* stream, SSL* ssl, bool close,
                                   const ProcessRequest& process) {
  stream->set_cancelled(nullptr);
  stream->set_discard_writes(false);
  stream->set_read_deadline(SystemClock().Now() + options_.receive_timeout);
  const std::string_view head = stream->PeekHead(kMaximumHeadBytes);
  if (head.empty()) {
    if (stream->read_end() == ReadEnd::kTimeout) {
      ++receive_timeouts_;
      WriteError(stream, 408, "the request did not arrive in time");
    } else if (stream->read_end() == ReadEnd::kTooLarge) {
      WriteError(stream, 431, "the request's head is too long");
    }
    return false;
  }
  const std::size_t head_size = head.size();
  const RequestHead checked =
      CheckRequestHead(absl::string_view(head.data(), head_size), options_.maximum_body_bytes);
  if (checked.status != 0) {
    WriteError(stream, checked.status, checked.problem);
    return false;
  }
  stream->ReplaceUnread(head_size, checked.text);
  stream->set_read_allowance(checked.text.size() + kChunkOverheadBytes +
                             options_.maximum_body_bytes * kChunkOverheadFactor);
  bool closed = false;
  const bool served = process(*stream, ssl, close, &closed);
  const bool body_broken = stream->read_end() != ReadEnd::kNone;
  if (body_broken && !stream->write_failed()) {
    Linger(stream);
  }
  return served && !closed && !body_broken && !stream->write_failed();
}

std::string HttpConnections::ErrorText(int status, std::string_view problem) const {
  return options_.error_body ? options_.error_body(status, problem) : std::string(problem);
}

void HttpConnections::WriteStopping(DeadlineStream* stream) {
  constexpr std::string_view kProblem = "the server is stopping";
  WriteAnswer(stream, ErrorAnswer(503, options_.stopping_body ? options_.stopping_body(kProblem)
                                                              : ErrorText(503, kProblem)));
}

void HttpConnections::WriteError(DeadlineStream* stream, int status, std::string_view problem) {
  WriteAnswer(stream, ErrorAnswer(status, ErrorText(status, problem)));
}

std::string HttpConnections::ErrorAnswer(int status, const std::string& body) {
  std::string answer = absl::StrCat("HTTP/1.1 ", status, " ", ReasonOf(status), "\r\n");
  if (status == 503) {
    absl::StrAppend(&answer, "Retry-After: ", kRetryAfterSeconds, "\r\n");
  }
  absl::StrAppend(&answer, "Content-Type: application/json\r\nConnection: close\r\n",
                  "Content-Length: ", body.size(), "\r\n\r\n", body);
  return answer;
}

void HttpConnections::WriteAnswer(DeadlineStream* stream, const std::string& answer) {
  if (stream->write(answer.data(), answer.size()) > 0) {
    Linger(stream);
  }
}

void HttpConnections::FillError(httplib::Response& response) {
  const DeadlineStream* const stream = current_stream;
  if (!response.body.empty() || stream == nullptr) {
    return;
  }
  if (stream->read_end() == ReadEnd::kTimeout) {
    ++receive_timeouts_;
    response.status = 408;
  } else if (stream->read_end() == ReadEnd::kTooLarge) {
    response.status = 413;
  }
  if (options_.error_body) {
    const absl::string_view problem =
        response.status == 404 ? "no such path" : ReasonOf(response.status);
    response.set_content(options_.error_body(response.status, std::string(problem)),
                         "application/json");
  }
}

void HttpConnections::AddConnectionClose(httplib::Response& response) {
  const DeadlineStream* const stream = current_stream;
  if (stream == nullptr || stream->read_end() == ReadEnd::kNone) {
    return;
  }
  // The rest of the request was not read, so the connection can't be reused.
  response.headers.erase("Keep-Alive");
  response.headers.erase("Connection");
  response.set_header("Connection", "close");
}

void HttpConnections::BeginStop() { stopping_ = true; }

bool HttpConnections::EndAll(absl::Duration grace) {
  absl::MutexLock lock(&mutex_);
  const auto none_open = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return open_.empty(); };
  if (mutex_.AwaitWithTimeout(absl::Condition(&none_open), grace)) {
    return true;
  }
  for (const auto& [socket, open] : open_) {
    shutdown(socket, SHUT_RDWR);
  }
  return false;
}

HttpServerCounters HttpConnections::counters() const {
  HttpServerCounters counters;
  counters.connections = connections_;
  counters.refused = refused_;
  counters.closed = closed_;
  counters.receive_timeouts = receive_timeouts_;
  absl::MutexLock lock(&mutex_);
  counters.open = open_.size();
  return counters;
}

}  // namespace hingespan
