#include "emulator/socket_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hingespan::emulator {

Result<sockaddr_in> ParseAddress(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  std::uint32_t port = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port) || port > UINT16_MAX) {
    return Error::kInvalidArgument;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, parts[0].c_str(), &address.sin_addr) != 1) {
    return Error::kInvalidArgument;
  }
  return address;
}

std::string FormatAddress(const sockaddr_in& address) {
  char ip[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
  return absl::StrCat(ip, ":", ntohs(address.sin_port));
}

sockaddr_in BoundAddress(int socket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  return address;
}

int BindToAnyPort(const std::string& ip, int type) {
  Result<sockaddr_in> address = ParseAddress(absl::StrCat(ip, ":0"));
  if (!address) {
    return -1;
  }
  const int bound = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bound < 0) {
    return -1;
  }
  if (bind(bound, reinterpret_cast<sockaddr*>(&*address), sizeof(sockaddr_in)) != 0) {
    close(bound);
    return -1;
  }
  return bound;
}

}  // namespace hingespan::emulator
