#include "emulator/relay_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace hingespan::emulator {
namespace {

constexpr int kMaximumEventsPerWait = 64;
constexpr int kNoTimeout = -1;

}  // namespace

RelayLoop::RelayLoop(Clock* clock)
    : clock_(clock),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wake_event_;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_event_, &event);
}

RelayLoop::~RelayLoop() {
  Stop();
  close(wake_event_);
  close(epoll_);
}

void RelayLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void RelayLoop::Stop() {
  stopping_ = true;
  Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
}

RelayHandlerId RelayLoop::AddHandler(RelayHandler* handler) {
  const RelayHandlerId id = next_id_++;
  handlers_[id] = handler;
  return id;
}

void RelayLoop::RemoveHandler(RelayHandlerId id) { handlers_.erase(id); }

void RelayLoop::Watch(RelayHandlerId id, int socket, SocketInterest interest) {
  epoll_event event{};
  event.events = (interest.readable ? EPOLLIN : 0u) | (interest.writable ? EPOLLOUT : 0u);
  event.data.fd = socket;
  const bool is_new = sockets_.insert_or_assign(socket, id).second;
  epoll_ctl(epoll_, is_new ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
}

void RelayLoop::CloseSocket(int socket) {
  sockets_.erase(socket);
  epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
  close(socket);
}

void RelayLoop::CallAt(RelayHandlerId id, absl::Time when) {
  const bool is_first = timers_.empty() || when < timers_.begin()->first;
  timers_.insert({when, id});
  if (is_first) {
    Wake();
  }
}

void RelayLoop::Run() {
  std::array<epoll_event, kMaximumEventsPerWait> events;
  while (!stopping_) {
    int timeout = kNoTimeout;
    {
      absl::MutexLock lock(&mutex_);
      timeout = WaitMilliseconds();
    }
    const int count = epoll_wait(epoll_, events.data(), kMaximumEventsPerWait, timeout);
    absl::MutexLock lock(&mutex_);
    for (int i = 0; i < count; ++i) {
      const int socket = events[i].data.fd;
      if (socket == wake_event_) {
        eventfd_t ignored = 0;
        eventfd_read(wake_event_, &ignored);
        continue;
      }
      const bool ended = (events[i].events & (EPOLLHUP | EPOLLERR)) != 0;
      if (RelayHandler* handler = HandlerOf(socket); handler != nullptr) {
        if (ended || (events[i].events & EPOLLIN) != 0) {
          handler->OnReadable(socket, Now());
        }
      }
      // The first call may have closed the socket.
      if (RelayHandler* handler = HandlerOf(socket); handler != nullptr) {
        if (ended || (events[i].events & EPOLLOUT) != 0) {
          handler->OnWritable(socket, Now());
        }
      }
    }
    RunTimers();
  }
}

int RelayLoop::WaitMilliseconds() {
  if (timers_.empty()) {
    return kNoTimeout;
  }
  const double milliseconds = absl::ToDoubleMilliseconds(timers_.begin()->first - Now());
  return std::max(0, static_cast<int>(std::ceil(milliseconds)));
}

void RelayLoop::RunTimers() {
  while (!timers_.empty() && timers_.begin()->first <= Now()) {
    const RelayHandlerId id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    auto found = handlers_.find(id);
    if (found != handlers_.end()) {
      found->second->OnTimer(Now());
    }
  }
}

RelayHandler* RelayLoop::HandlerOf(int socket) {
  auto watched = sockets_.find(socket);
  if (watched == sockets_.end()) {
    return nullptr;
  }
  auto found = handlers_.find(watched->second);
  return found == handlers_.end() ? nullptr : found->second;
}

void RelayLoop::Wake() { eventfd_write(wake_event_, 1); }

}  // namespace hingespan::emulator
