#include "emulator/socket_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace hingespan::emulator {
namespace {

constexpr absl::Duration kReadTimeout = absl::Seconds(10);
constexpr absl::Duration kWriteTimeout = absl::Seconds(10);

bool WaitFor(int socket, short events, absl::Duration timeout) {
  pollfd entry{socket, events, 0};
  const int milliseconds = static_cast<int>(absl::ToInt64Milliseconds(timeout));
  int ready = -1;
  do {
    ready = poll(&entry, 1, milliseconds);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

void ToIpAndPort(const sockaddr_in& address, std::string& ip, int& port) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  ip = text;
  port = ntohs(address.sin_port);
}

}  // namespace

bool SocketStream::WaitReadable(absl::Duration timeout) const {
  return buffer_begin_ < buffer_end_ || WaitFor(socket_, POLLIN, timeout);
}

bool SocketStream::is_readable() const { return WaitReadable(kReadTimeout); }

bool SocketStream::is_writable() const {
  return !dropped_ && WaitFor(socket_, POLLOUT, kWriteTimeout);
}

ssize_t SocketStream::read(char* buffer, size_t size) {
  if (buffer_begin_ == buffer_end_) {
    const ssize_t received = ReadFromSocket(buffer_.data(), buffer_.size());
    if (received <= 0) {
      return received;
    }
    buffer_begin_ = 0;
    buffer_end_ = static_cast<std::size_t>(received);
  }
  const std::size_t count = std::min(size, buffer_end_ - buffer_begin_);
  std::memcpy(buffer, buffer_.data() + buffer_begin_, count);
  buffer_begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::ReadFromSocket(char* buffer, size_t size) const {
  if (!WaitFor(socket_, POLLIN, kReadTimeout)) {
    return -1;
  }
  ssize_t received = -1;
  do {
    received = recv(socket_, buffer, size, 0);
  } while (received < 0 && errno == EINTR);
  return received;
}

ssize_t SocketStream::write(const char* bytes, size_t size) {
  if (dropped_) {
    return -1;
  }
  // Writes without polling first, since the socket buffer usually has room.
  ssize_t sent = SendToSocket(bytes, size);
  if (sent < 0 && errno == EAGAIN && is_writable()) {
    sent = SendToSocket(bytes, size);
  }
  return sent;
}

ssize_t SocketStream::SendToSocket(const char* bytes, size_t size) const {
  ssize_t sent = -1;
  do {
    sent = send(socket_, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  } while (sent < 0 && errno == EINTR);
  return sent;
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
    ToIpAndPort(address, ip, port);
  }
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
    ToIpAndPort(address, ip, port);
  }
}

}  // namespace hingespan::emulator
