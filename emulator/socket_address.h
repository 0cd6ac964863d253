// IPv4 addresses in the form "ip:port".
#ifndef HINGESPAN_EMULATOR_SOCKET_ADDRESS_H_
#define HINGESPAN_EMULATOR_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <string>

#include "hingespan/common/result.h"

namespace hingespan::emulator {

// Returns kInvalidArgument if the text is not "ip:port".
Result<sockaddr_in> ParseAddress(const std::string& text);
std::string FormatAddress(const sockaddr_in& address);
// Returns the address that a socket is bound to.
sockaddr_in BoundAddress(int socket);
// Opens a non-blocking socket of `type` (SOCK_STREAM or SOCK_DGRAM) on a port that the kernel
// chooses; returns a negative value on failure.
int BindToAnyPort(const std::string& ip, int type);

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_SOCKET_ADDRESS_H_
