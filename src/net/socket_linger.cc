#include "hingespan/net/socket_linger.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

#include "hingespan/common/clock.h"

namespace hingespan {
namespace {

constexpr std::size_t kDiscardBufferBytes = 64 * 1024;

// Discards available input with one non-blocking read. Returns false if the peer has closed.
bool DiscardInput(int socket, std::size_t* bytes) {
  std::array<char, kDiscardBufferBytes> discarded;
  const ssize_t count = recv(socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
  if (count > 0) {
    *bytes += static_cast<std::size_t>(count);
    return true;
  }
  return count < 0 && (errno == EAGAIN || errno == EINTR);
}

}  // namespace

SocketLinger::~SocketLinger() {
  {
    absl::MutexLock lock(&mutex_);
    ending_ = true;
    if (!started_) {
      return;
    }
  }
  eventfd_write(wake_, 1);
  thread_.join();
  close(wake_);
}

void SocketLinger::Add(int socket) {
  shutdown(socket, SHUT_WR);
  absl::MutexLock lock(&mutex_);
  if (!started_) {
    wake_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    thread_ = std::thread([this] { Run(); });
    started_ = true;
  }
  if (added_.size() >= maximum_sockets_) {
    close(added_.front().socket);
    added_.pop_front();
  }
  added_.push_back({socket, SystemClock().Now() + kLingerTimeout, 0});
  eventfd_write(wake_, 1);
}

void SocketLinger::Run() {
  while (TakeAdded()) {
    Wait();
    DiscardAndClose();
  }
}

bool SocketLinger::TakeAdded() {
  absl::MutexLock lock(&mutex_);
  lingering_.insert(lingering_.end(), added_.begin(), added_.end());
  added_.clear();
  while (lingering_.size() > maximum_sockets_) {
    close(lingering_.front().socket);
    lingering_.pop_front();
  }
  return !ending_ || !lingering_.empty();
}

void SocketLinger::Wait() {
  std::vector<pollfd> entries;
  entries.reserve(lingering_.size() + 1);
  entries.push_back({wake_, POLLIN, 0});
  for (const Entry& entry : lingering_) {
    entries.push_back({entry.socket, POLLIN, 0});
  }
  int timeout_ms = -1;
  if (!lingering_.empty()) {
    const absl::Duration left = lingering_.front().until - SystemClock().Now();
    const auto left_ms = absl::ToInt64Milliseconds(std::max(left, absl::ZeroDuration()));
    timeout_ms = static_cast<int>(left_ms) + 1;
  }
  poll(entries.data(), entries.size(), timeout_ms);
  eventfd_t woken = 0;
  eventfd_read(wake_, &woken);
}

void SocketLinger::DiscardAndClose() {
  const absl::Time now = SystemClock().Now();
  const auto has_ended = [now](Entry& entry) {
    const bool open = DiscardInput(entry.socket, &entry.bytes);
    const bool ended = !open || now >= entry.until || entry.bytes > kMaximumLingerBytes;
    if (ended) {
      close(entry.socket);
    }
    return ended;
  };
  lingering_.erase(std::remove_if(lingering_.begin(), lingering_.end(), has_ended),
                   lingering_.end());
}

}  // namespace hingespan
