#include "load/http_call.h"

#include <httplib.h>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace hingespan::load {
namespace {

constexpr absl::Duration kConnectTimeout = absl::Seconds(5);

Result<HttpAnswer> ToAnswer(const httplib::Result& result) {
  if (result) {
    return HttpAnswer{result->status, result->body};
  }
  switch (result.error()) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
      return Error::kUnavailable;
    case httplib::Error::Read:
      return Error::kTimeout;
    default:
      return Error::kAnswerLost;
  }
}

void SetTimeouts(absl::Duration timeout, httplib::Client* client) {
  client->set_connection_timeout(absl::ToChronoMicroseconds(kConnectTimeout));
  client->set_read_timeout(absl::ToChronoMicroseconds(timeout));
  client->set_write_timeout(absl::ToChronoMicroseconds(timeout));
}

}  // namespace

Result<HostPort> ParseHostPort(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  HostPort parsed;
  if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &parsed.port)) {
    return Error::kMalformed;
  }
  parsed.host = address.substr(0, colon);
  if (parsed.host.size() > 2 && parsed.host.front() == '[' && parsed.host.back() == ']') {
    parsed.host = parsed.host.substr(1, parsed.host.size() - 2);
  }
  if (parsed.host.empty() || parsed.port <= 0 || parsed.port > 65535) {
    return Error::kMalformed;
  }
  return parsed;
}

Result<HttpAnswer> HttpGet(const std::string& address, const std::string& path,
                           absl::Duration timeout) {
  const Result<HostPort> target = ParseHostPort(address);
  if (!target) {
    return target.error();
  }
  httplib::Client client(target->host, target->port);
  SetTimeouts(timeout, &client);
  return ToAnswer(client.Get(path));
}

Result<HttpAnswer> HttpPostJson(const std::string& address, const std::string& path,
                                const std::string& body, absl::Duration timeout) {
  const Result<HostPort> target = ParseHostPort(address);
  if (!target) {
    return target.error();
  }
  httplib::Client client(target->host, target->port);
  SetTimeouts(timeout, &client);
  return ToAnswer(client.Post(path, body, "application/json"));
}

std::string EncodeQueryValue(const std::string& value) {
  std::string encoded;
  for (const char character : value) {
    if (absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' ||
        character == '_' || character == '.') {
      encoded += character;
    } else {
      encoded += absl::StrFormat("%%%02X", static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

}  // namespace hingespan::load
