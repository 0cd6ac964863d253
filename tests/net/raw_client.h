// TCP client for tests that can send malformed and partial HTTP messages.
#ifndef HINGESPAN_TESTS_NET_RAW_CLIENT_H_
#define HINGESPAN_TESTS_NET_RAW_CLIENT_H_

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

#include "hingespan/net/socket_address.h"

namespace hingespan {

// Limit of each wait, so that failing tests end.
inline constexpr int kRawClientLimitMs = 20000;

class RawClient {
 public:
  explicit RawClient(const std::string& address) {
    const Result<SocketAddress> target = ParseSocketAddress(address);
    socket_ = socket(target->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connected_ =
        connect(socket_, reinterpret_cast<const sockaddr*>(&target->storage), target->length) == 0;
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }

  bool Send(std::string_view bytes) {
    return send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  // Returns true if data or the end of the connection can be read within the time.
  bool Readable(int milliseconds) {
    pollfd entry{socket_, POLLIN, 0};
    return poll(&entry, 1, milliseconds) > 0;
  }

  // Reads until `text` was received or the connection ends.
  std::string ReadUntil(std::string_view text) {
    std::string received;
    std::array<char, 4096> buffer;
    while (received.find(text) == std::string::npos && Readable(kRawClientLimitMs)) {
      const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
      if (size <= 0) {
        break;
      }
      received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return received;
  }

  // Reads available data without waiting, at most `limit` bytes.
  std::string ReadSome(std::size_t limit) {
    std::string received(limit, '\0');
    const ssize_t size = recv(socket_, received.data(), limit, MSG_DONTWAIT);
    received.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return received;
  }

  // Reads until the peer closes.
  std::string ReadAll() { return ReadUntil(std::string_view("\0never\0", 7)); }

  void Close() {
    if (socket_ >= 0) {
      close(socket_);
      socket_ = -1;
    }
  }

 private:
  int socket_ = -1;
  bool connected_ = false;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_NET_RAW_CLIENT_H_
