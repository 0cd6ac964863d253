// HTTP calls with JSON answers, for the clients of the load tool.
#ifndef HINGESPAN_LOAD_HTTP_CALL_H_
#define HINGESPAN_LOAD_HTTP_CALL_H_

#include <string>

#include "absl/time/time.h"
#include "hingespan/common/result.h"

namespace hingespan::load {

struct HostPort {
  std::string host;
  int port = 0;
};

// Parses "ip:port", with an IPv6 address in brackets; returns kMalformed for any other text.
Result<HostPort> ParseHostPort(const std::string& address);

struct HttpAnswer {
  int status = 0;
  std::string body;
};

// Returns kUnavailable if no connection was established, and kTimeout or kAnswerLost if it broke
// afterwards.
Result<HttpAnswer> HttpGet(const std::string& address, const std::string& path,
                           absl::Duration timeout);
Result<HttpAnswer> HttpPostJson(const std::string& address, const std::string& path,
                                const std::string& body, absl::Duration timeout);

// Percent-encodes a query value.
std::string EncodeQueryValue(const std::string& value);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_HTTP_CALL_H_
