#include "hingespan/net/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace hingespan {
namespace {

constexpr int kLargestPort = 65535;

}  // namespace

Result<HostPort> ParseHostPort(absl::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos || colon == 0) {
    return Error::kInvalidArgument;
  }
  HostPort parsed;
  absl::string_view host = text.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  parsed.host = std::string(host);
  const bool is_printable = std::all_of(host.begin(), host.end(), [](char character) {
    return absl::ascii_isgraph(static_cast<unsigned char>(character));
  });
  const bool is_number = absl::SimpleAtoi(text.substr(colon + 1), &parsed.port);
  if (!is_printable || !is_number || parsed.port < 0 || parsed.port > kLargestPort ||
      parsed.host.empty()) {
    return Error::kInvalidArgument;
  }
  return parsed;
}

Result<SocketAddress> ParseSocketAddress(absl::string_view text) {
  const Result<HostPort> parsed = ParseHostPort(text);
  if (!parsed.ok()) {
    return parsed.error();
  }
  SocketAddress address;
  const auto port = htons(static_cast<std::uint16_t>(parsed->port));
  auto& v4 = reinterpret_cast<sockaddr_in&>(address.storage);
  if (inet_pton(AF_INET, parsed->host.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = port;
    address.length = sizeof(v4);
    return address;
  }
  auto& v6 = reinterpret_cast<sockaddr_in6&>(address.storage);
  if (inet_pton(AF_INET6, parsed->host.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = port;
    address.length = sizeof(v6);
    return address;
  }
  return Error::kInvalidArgument;
}

std::string FormatSocketAddress(const sockaddr_storage& storage) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (storage.ss_family == AF_INET) {
    const auto& address = reinterpret_cast<const sockaddr_in&>(storage);
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return absl::StrCat(text.data(), ":", ntohs(address.sin_port));
  }
  const auto& address = reinterpret_cast<const sockaddr_in6&>(storage);
  inet_ntop(AF_INET6, &address.sin6_addr, text.data(), text.size());
  return absl::StrCat("[", text.data(), "]:", ntohs(address.sin6_port));
}

bool IsLoopback(absl::string_view text) {
  const Result<HostPort> parsed = ParseHostPort(text);
  return parsed.ok() && (absl::StartsWith(parsed->host, "127.") || parsed->host == "::1");
}

}  // namespace hingespan
