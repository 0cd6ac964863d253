#include "hingespan/backing/json_http_client.h"

#include <httplib.h>

#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "hingespan/common/clock.h"

namespace hingespan {
namespace {

// Connecting may take one part in this many of a call's time limit.
constexpr int kConnectTimeoutDivisor = 4;

const char* MethodName(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kPost:
      return "POST";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kDelete:
      return "DELETE";
  }
  return "GET";
}

httplib::Request ToHttpRequest(const JsonHttpRequest& request) {
  httplib::Request http;
  http.method = MethodName(request.method);
  http.path = request.path;
  if (!request.query.empty()) {
    const httplib::Params params(request.query.begin(), request.query.end());
    http.path = httplib::append_query_params(request.path, params);
  }
  if (request.method == HttpMethod::kPost || request.method == HttpMethod::kPut) {
    http.body = request.body;
    http.set_header("Content-Type", "application/json");
  }
  if (!request.if_none_match.empty()) {
    http.set_header("If-None-Match", request.if_none_match);
  }
  return http;
}

void SetTimeouts(httplib::Client* connection, absl::Duration connect, absl::Duration transfer) {
  connection->set_connection_timeout(absl::ToChronoMicroseconds(connect));
  connection->set_read_timeout(absl::ToChronoMicroseconds(transfer));
  connection->set_write_timeout(absl::ToChronoMicroseconds(transfer));
}

// Returns whether the error occurred before anything was sent.
bool IsConnectError(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress || error == httplib::Error::SSLConnection ||
         error == httplib::Error::SSLLoadingCerts || error == httplib::Error::SSLServerVerification;
}

// Collects the body, and stops if it is too large or takes too long.
class AnswerReceiver {
 public:
  AnswerReceiver(std::size_t limit, absl::Time deadline) : limit_(limit), deadline_(deadline) {}

  bool Receive(const char* data, std::size_t size) {
    too_large_ = body_.size() + size > limit_;
    if (too_large_ || SystemClock().Now() >= deadline_) {
      return false;
    }
    body_.append(data, size);
    return true;
  }

  bool too_large() const { return too_large_; }
  std::string TakeBody() { return std::move(body_); }

 private:
  std::size_t limit_;
  absl::Time deadline_;
  std::string body_;
  bool too_large_ = false;
};

}  // namespace

class JsonHttpClient::Impl {
 public:
  explicit Impl(JsonHttpClientOptions options) : options_(std::move(options)) {}

  Result<JsonHttpAnswer> Send(const JsonHttpRequest& request, absl::Duration timeout) {
    const absl::Time start = SystemClock().Now();
    const absl::Duration connect = timeout / kConnectTimeoutDivisor;
    const absl::Duration transfer = timeout - connect;
    AnswerReceiver receiver(options_.maximum_answer_bytes, start + timeout);
    httplib::Request http = ToHttpRequest(request);
    http.content_receiver = [&receiver](const char* data, std::size_t size, std::uint64_t,
                                        std::uint64_t) { return receiver.Receive(data, size); };

    std::unique_ptr<httplib::Client> connection = TakeConnection();
    SetTimeouts(connection.get(), connect, transfer);
    const httplib::Result result = connection->send(http);
    if (!result) {
      const absl::Duration elapsed = SystemClock().Now() - start;
      return ErrorOf(result.error(), receiver, elapsed >= transfer);
    }
    ReturnConnection(std::move(connection));
    return JsonHttpAnswer{result->status, receiver.TakeBody(), result->get_header_value("ETag")};
  }

 private:
  static Error ErrorOf(httplib::Error error, const AnswerReceiver& receiver,
                       bool deadline_exceeded) {
    if (IsConnectError(error)) {
      return Error::kUnavailable;
    }
    if (receiver.too_large()) {
      return Error::kMalformed;
    }
    return deadline_exceeded ? Error::kTimeout : Error::kAnswerLost;
  }

  std::unique_ptr<httplib::Client> Connect() const {
    const char* scheme = options_.tls_ca_file.empty() ? "http://" : "https://";
    auto connection = std::make_unique<httplib::Client>(absl::StrCat(scheme, options_.address));
    connection->set_keep_alive(true);
    connection->set_tcp_nodelay(true);
    connection->set_url_encode(false);
    if (!options_.tls_ca_file.empty()) {
      connection->set_ca_cert_path(options_.tls_ca_file);
      connection->enable_server_certificate_verification(true);
    }
    if (!options_.bearer_token.empty()) {
      connection->set_bearer_token_auth(options_.bearer_token);
    }
    return connection;
  }

  // Returns an idle connection or a new one.
  std::unique_ptr<httplib::Client> TakeConnection() {
    {
      absl::MutexLock lock(&mutex_);
      if (!idle_.empty()) {
        std::unique_ptr<httplib::Client> connection = std::move(idle_.back());
        idle_.pop_back();
        return connection;
      }
    }
    return Connect();
  }

  void ReturnConnection(std::unique_ptr<httplib::Client> connection) {
    absl::MutexLock lock(&mutex_);
    if (idle_.size() < static_cast<std::size_t>(options_.maximum_idle_connections)) {
      idle_.push_back(std::move(connection));
    }
  }

  const JsonHttpClientOptions options_;
  absl::Mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_ ABSL_GUARDED_BY(mutex_);
};

JsonHttpClient::JsonHttpClient(JsonHttpClientOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

JsonHttpClient::~JsonHttpClient() = default;

Result<JsonHttpAnswer> JsonHttpClient::Send(const JsonHttpRequest& request,
                                            absl::Duration timeout) {
  return impl_->Send(request, timeout);
}

Error ErrorOfHttpStatus(int status) {
  if (status >= 200 && status < 300) {
    return Error::kOk;
  }
  switch (status) {
    case 400:
    case 413:
      return Error::kInvalidArgument;
    case 401:
    case 403:
      return Error::kPermissionDenied;
    case 404:
      return Error::kNotFound;
    case 409:
    case 412:
      return Error::kConflict;
    case 429:
      return Error::kRateLimited;
    case 503:
      return Error::kUnavailable;
    case 408:
    case 504:
      return Error::kTimeout;
    case 502:
      return Error::kAnswerLost;
    default:
      return Error::kInternal;
  }
}

}  // namespace hingespan
