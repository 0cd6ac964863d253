#include <arpa/inet.h>

#include <algorithm>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "hingespan/settings/setting_descriptor.h"

namespace hingespan {
namespace {

constexpr std::size_t kMaximumNameLength = 64;
constexpr int kMaximumPort = 65535;
constexpr int kNoPort = -1;

struct IpAndPort {
  std::string ip;
  int port = kNoPort;
};

// Splits an "ip:port"; the port is kNoPort if `text` has a different form.
IpAndPort SplitIpAndPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  IpAndPort parts;
  parts.ip = std::string(text.substr(0, colon));
  const std::string port(text.substr(colon + 1));
  const bool digits = !port.empty() && std::all_of(port.begin(), port.end(), absl::ascii_isdigit);
  if (!digits || !absl::SimpleAtoi(port, &parts.port) || parts.port > kMaximumPort) {
    parts.port = kNoPort;
  }
  return parts;
}

bool IsIpv4(const std::string& ip) {
  in_addr address{};
  return ::inet_pton(AF_INET, ip.c_str(), &address) == 1;
}

bool IsBracketedIpv6(const std::string& ip) {
  if (ip.size() < 2 || ip.front() != '[' || ip.back() != ']') {
    return false;
  }
  in6_addr address{};
  return ::inet_pton(AF_INET6, ip.substr(1, ip.size() - 2).c_str(), &address) == 1;
}

bool IsNameCharacter(char character) {
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '.' ||
         character == '_' || character == '-';
}

}  // namespace

bool IsIpAndPort(std::string_view text) {
  const IpAndPort parts = SplitIpAndPort(text);
  return parts.port != kNoPort && (IsIpv4(parts.ip) || IsBracketedIpv6(parts.ip));
}

bool IsLoopback(std::string_view ip_and_port) {
  const IpAndPort parts = SplitIpAndPort(ip_and_port);
  return parts.ip.starts_with("127.") || parts.ip == "[::1]";
}

int PortOf(std::string_view ip_and_port) { return std::max(0, SplitIpAndPort(ip_and_port).port); }

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaximumNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace hingespan
