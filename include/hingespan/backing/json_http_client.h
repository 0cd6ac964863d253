// A JSON-over-HTTP client with pooled keep-alive connections and typed errors, shared by the
// platform's services and the operators' command.
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
  // PEM file of the authority that signed the server's certificate; empty: plain HTTP.
  std::string tls_ca_file;
  // Sent as "Authorization: Bearer ..."; empty: not sent. Never logged.
  std::string bearer_token;
  // Idle connections kept open at most.
  int maximum_idle_connections = 4;
  std::size_t maximum_answer_bytes = 64 << 20;
};

struct JsonHttpRequest {
  HttpMethod method = HttpMethod::kGet;
  // Path without a query; its parts are escaped already (see EscapePathPart).
  std::string path = "/";
  std::map<std::string, std::string> query;
  // JSON text; sent with kPost and kPut.
  std::string body;
  // Entity tag of the answer that the caller holds already; empty: not sent.
  std::string if_none_match;
};

struct JsonHttpAnswer {
  int status = 0;
  std::string body;
  // Entity tag of the body; empty when the server names none.
  std::string etag = {};
};

// Thread-safe: each call takes a connection of its own.
class JsonHttpClient {
 public:
  explicit JsonHttpClient(JsonHttpClientOptions options);
  ~JsonHttpClient();

  // The answer of any status, once it has arrived whole. Blocks up to `timeout`: a quarter of it
  // for connecting, the rest for the answer. Never sends a request twice. Errors:
  //   kUnavailable  no connection came about, so the request provably had no effect
  //   kTimeout      no whole answer in time
  //   kAnswerLost   the connection broke after the request was (partly) sent
  //   kMalformed    the answer is larger than `maximum_answer_bytes`
  Result<JsonHttpAnswer> Send(const JsonHttpRequest& request, absl::Duration timeout);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The error that goes with an HTTP status; kOk for 2xx. 503 and 429 mean: refused, no effect.
Error ErrorOfHttpStatus(int status);

// Percent-encodes one part of a path.
std::string EscapePathPart(const std::string& part);

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_JSON_HTTP_CLIENT_H_
