// Conversion between "ip:port" strings and socket addresses.
#ifndef HINGESPAN_NET_SOCKET_ADDRESS_H_
#define HINGESPAN_NET_SOCKET_ADDRESS_H_

#include <sys/socket.h>

#include <string>

#include "absl/strings/string_view.h"
#include "hingespan/common/result.h"

namespace hingespan {

struct HostPort {
  // Numeric IPv4 or IPv6 address without brackets; the text form puts IPv6 in brackets.
  std::string host;
  int port = 0;
};

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;
};

// Both parse functions fail with kInvalidArgument.
Result<HostPort> ParseHostPort(absl::string_view text);
Result<SocketAddress> ParseSocketAddress(absl::string_view text);
std::string FormatSocketAddress(const sockaddr_storage& storage);
// Returns true for loopback addresses, false for others and for text that can't be parsed.
bool IsLoopback(absl::string_view text);

}  // namespace hingespan

#endif  // HINGESPAN_NET_SOCKET_ADDRESS_H_
