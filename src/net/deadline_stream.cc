#include "hingespan/net/deadline_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "hingespan/common/clock.h"

namespace hingespan {
namespace {

constexpr std::size_t kBufferBytes = 4096;
// Interval at which a waiting read checks for cancellation.
constexpr absl::Duration kCancelInterval = absl::Milliseconds(200);

void ReadEndpoint(const sockaddr_storage& storage, std::string* ip, int* port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (storage.ss_family == AF_INET) {
    const auto& address = reinterpret_cast<const sockaddr_in&>(storage);
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    *port = ntohs(address.sin_port);
  } else if (storage.ss_family == AF_INET6) {
    const auto& address = reinterpret_cast<const sockaddr_in6&>(storage);
    inet_ntop(AF_INET6, &address.sin6_addr, text.data(), text.size());
    *port = ntohs(address.sin6_port);
  }
  *ip = text.data();
}

}  // namespace

DeadlineStream::DeadlineStream(int socket, SSL* ssl) : socket_(socket), ssl_(ssl) {}

bool DeadlineStream::Wait(short events, absl::Time until, bool reading) {
  while (true) {
    const absl::Duration left = until - SystemClock().Now();
    if (left <= absl::ZeroDuration()) {
      if (reading) {
        read_end_ = ReadEnd::kTimeout;
      }
      return false;
    }
    const bool checks_cancelled = reading && cancelled_ != nullptr;
    const absl::Duration slice =
        std::min(left, checks_cancelled ? kCancelInterval : absl::Seconds(60));
    pollfd entry{socket_, events, 0};
    const int timeout_ms = static_cast<int>(absl::ToInt64Milliseconds(slice)) + 1;
    const int count = poll(&entry, 1, timeout_ms);
    if (count > 0) {
      return true;
    }
    if (count < 0 && errno != EINTR) {
      if (reading) {
        read_end_ = ReadEnd::kBroken;
      }
      return false;
    }
    if (checks_cancelled && cancelled_()) {
      read_end_ = ReadEnd::kCancelled;
      return false;
    }
  }
}

ssize_t DeadlineStream::ReceiveTls(char* data, std::size_t size) {
  while (true) {
    if (SystemClock().Now() >= read_deadline_) {
      read_end_ = ReadEnd::kTimeout;
      return -1;
    }
    ERR_clear_error();
    const int count = SSL_read(ssl_, data, static_cast<int>(std::min<std::size_t>(size, 1 << 20)));
    if (count > 0) {
      return count;
    }
    const int error = SSL_get_error(ssl_, count);
    const bool would_block = error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE;
    if (!would_block) {
      read_end_ = error == SSL_ERROR_ZERO_RETURN ? ReadEnd::kClosed : ReadEnd::kBroken;
      return -1;
    }
    const short events = error == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT;
    if (!Wait(events, read_deadline_, true)) {
      return -1;
    }
  }
}

ssize_t DeadlineStream::ReceiveSome(char* data, std::size_t size) {
  if (ssl_ != nullptr) {
    return ReceiveTls(data, size);
  }
  while (true) {
    // A blocking read saves one poll per piece; near the deadline only a poll is accurate.
    const bool blocks =
        blocking_reads_ && read_deadline_ - SystemClock().Now() > 2 * kCancelInterval;
    if (!blocks && !Wait(POLLIN, read_deadline_, true)) {
      return -1;
    }
    const ssize_t count = recv(socket_, data, size, blocks ? 0 : MSG_DONTWAIT);
    if (count > 0) {
      return count;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      if (cancelled_ != nullptr && cancelled_()) {
        read_end_ = ReadEnd::kCancelled;
        return -1;
      }
      continue;
    }
    read_end_ = count == 0 ? ReadEnd::kClosed : ReadEnd::kBroken;
    return count;
  }
}

void DeadlineStream::UseBlockingReads() {
  if (ssl_ != nullptr) {
    return;
  }
  const timeval timeout = absl::ToTimeval(kCancelInterval);
  blocking_reads_ = setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout)) == 0;
}

bool DeadlineStream::Fill() {
  if (position_ == buffer_.size()) {
    buffer_.clear();
    position_ = 0;
  }
  const std::size_t old_size = buffer_.size();
  buffer_.resize(old_size + kBufferBytes);
  const ssize_t count = ReceiveSome(buffer_.data() + old_size, kBufferBytes);
  buffer_.resize(old_size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  return count > 0;
}

bool DeadlineStream::WaitReadable() {
  read_end_ = ReadEnd::kNone;
  if (unread() > 0) {
    return true;
  }
  // Reads instead of polling only, to tell data from the end of the connection.
  return Fill();
}

std::string_view DeadlineStream::PeekHead(std::size_t maximum) {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  std::size_t searched = 0;
  while (true) {
    const std::string_view bytes = std::string_view(buffer_).substr(position_);
    const std::size_t end = bytes.find(kHeadEnd, searched);
    if (end != std::string_view::npos) {
      return bytes.substr(0, end + kHeadEnd.size());
    }
    if (bytes.size() > maximum) {
      read_end_ = ReadEnd::kTooLarge;
      return {};
    }
    searched = bytes.size() < kHeadEnd.size() ? 0 : bytes.size() - kHeadEnd.size();
    if (!Fill()) {
      return {};
    }
  }
}

void DeadlineStream::ReplaceUnread(std::size_t old_size, std::string_view bytes) {
  buffer_.replace(position_, old_size, bytes);
}

bool DeadlineStream::PeerClosed() const {
  pollfd entry{socket_, POLLRDHUP, 0};
  if (poll(&entry, 1, 0) <= 0) {
    return false;
  }
  return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool DeadlineStream::is_readable() const {
  if (unread() > 0 || (ssl_ != nullptr && SSL_pending(ssl_) > 0)) {
    return true;
  }
  pollfd entry{socket_, POLLIN, 0};
  return poll(&entry, 1, 0) > 0;
}

// Writes wait for buffer space themselves, so only a failed write makes the stream unwritable.
bool DeadlineStream::is_writable() const { return !write_failed_; }

ssize_t DeadlineStream::read(char* data, std::size_t size) {
  if (read_allowance_ == 0) {
    read_end_ = ReadEnd::kTooLarge;
    return -1;
  }
  if (unread() == 0) {
    // The deadline applies even if bytes are already available on the socket.
    if (!Fill()) {
      return read_end_ == ReadEnd::kClosed ? 0 : -1;
    }
  }
  const std::size_t count = std::min({size, unread(), read_allowance_});
  std::memcpy(data, buffer_.data() + position_, count);
  position_ += count;
  read_allowance_ -= count;
  return static_cast<ssize_t>(count);
}

ssize_t DeadlineStream::SendSome(const char* data, std::size_t size, absl::Time until) {
  while (true) {
    if (ssl_ == nullptr) {
      const ssize_t count = send(socket_, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count >= 0) {
        return count;
      }
      if (errno == EINTR) {
        continue;
      }
      if (errno != EAGAIN || !Wait(POLLOUT, until, false)) {
        return -1;
      }
      continue;
    }
    ERR_clear_error();
    const int count = SSL_write(ssl_, data, static_cast<int>(std::min<std::size_t>(size, 1 << 20)));
    if (count > 0) {
      return count;
    }
    const int error = SSL_get_error(ssl_, count);
    const bool would_block = error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE;
    if (!would_block || !Wait(error == SSL_ERROR_WANT_READ ? POLLIN : POLLOUT, until, false)) {
      return -1;
    }
  }
}

ssize_t DeadlineStream::write(const char* data, std::size_t size) {
  if (discard_writes_) {
    return static_cast<ssize_t>(size);
  }
  if (write_failed_) {
    return -1;
  }
  const absl::Time until = SystemClock().Now() + write_timeout_;
  std::size_t sent = 0;
  while (sent < size) {
    const ssize_t count = SendSome(data + sent, size - sent, until);
    if (count <= 0) {
      write_failed_ = true;
      return -1;
    }
    sent += static_cast<std::size_t>(count);
  }
  return static_cast<ssize_t>(size);
}

void DeadlineStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (getpeername(socket_, reinterpret_cast<sockaddr*>(&storage), &length) == 0) {
    ReadEndpoint(storage, &ip, &port);
  }
}

void DeadlineStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (getsockname(socket_, reinterpret_cast<sockaddr*>(&storage), &length) == 0) {
    ReadEndpoint(storage, &ip, &port);
  }
}

}  // namespace hingespan
