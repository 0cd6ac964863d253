// JSON-over-HTTP client with pooled keep-alive connections and typed errors. Used by the platform's
// services and the operators' command.
#ifndef HINGESPAN_BACKING_JSON_HTTP_CLIENT_H_
#define HINGESPAN_BACKING_JSON_HTTP_CLIENT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/result.h"

namespace hingespan {

enum class HttpMethod { kGet, kPost, kPut, kDelete };

struct JsonHttpClientOptions {
  // "ip:port" or "name:port".
  std::string address;
  // PEM file of the authority that signed the server's certificate. If empty, plain HTTP is used.
  std::string tls_ca_file;
  // Sent as "Authorization: Bearer ..."; not sent if empty. Never logged.
  std::string bearer_token;
  // Maximum number of idle connections that are kept open.
  int maximum_idle_connections = 4;
  std::size_t maximum_answer_bytes = 64 << 20;
};

struct JsonHttpRequest {
  HttpMethod method = HttpMethod::kGet;
  // Path without a query. Its parts must already be escaped (see PercentEncode).
  std::string path = "/";
  std::map<std::string, std::string> query;
  // JSON text, sent with kPost and kPut.
  std::string body;
  // Entity tag of the answer that the caller has cached; not sent if empty.
  std::string if_none_match;
};

struct JsonHttpAnswer {
  int status = 0;
  std::string body;
  // Entity tag of the body; empty if the server sent none.
  std::string etag = {};
};

// Thread-safe: each call uses a connection of its own.
class JsonHttpClient {
 public:
  explicit JsonHttpClient(JsonHttpClientOptions options);
  ~JsonHttpClient();

  // Returns the answer with any status, once it has arrived completely. Blocks up to `timeout`: a
  // quarter of it for connecting, the rest for the answer. Never sends a request twice. Errors:
  //   kUnavailable  no connection was established, so the request provably had no effect
  //   kTimeout      no complete answer arrived in time
  //   kAnswerLost   the connection broke after the request was (partly) sent
  //   kMalformed    the answer is larger than `maximum_answer_bytes`
  Result<JsonHttpAnswer> Send(const JsonHttpRequest& request, absl::Duration timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Returns the error for an HTTP status; kOk for 2xx. 503 and 429 mean that the call was refused and
// had no effect.
Error ErrorOfHttpStatus(int status);

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_JSON_HTTP_CLIENT_H_
