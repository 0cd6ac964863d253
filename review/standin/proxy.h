// A proxy between one gateway and one worker that plays a partition: connections hang, and bytes
// under way are delivered when it heals, unless their sender has reset the connection.
#ifndef REVIEW_STANDIN_PROXY_H_
#define REVIEW_STANDIN_PROXY_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standin.h"

namespace standin {

class Proxy {
 public:
  // `cut` is shared by all proxies of one machine.
  Proxy(std::string target, std::atomic<bool>* cut) : target_(std::move(target)), cut_(cut) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    listen(listener_, 512);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Proxy() {
    ends_ = true;
    acceptor_.join();
    close(listener_);
    while (threads_ > 0) {
      SleepMs(1);
    }
  }
  std::string address() const { return AddressOf(port_); }

 private:
  void Accept() {
    bool full = false;
    std::vector<int> fillers;
    while (!ends_) {
      if (*cut_ != full) {
        full = *cut_;
        // A full queue drops the packets that open connections.
        listen(listener_, full ? 0 : 512);
        for (int filler = 0; full && filler < 3; ++filler) {
          fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
          const sockaddr_in own = Loopback(port_);
          (void)!connect(fillers.back(), reinterpret_cast<const sockaddr*>(&own), sizeof(own));
        }
        for (const int filler : full ? std::vector<int>() : std::exchange(fillers, {})) {
          close(filler);
        }
      }
      pollfd entry{listener_, POLLIN, 0};
      if (full || poll(&entry, 1, 5) <= 0) {
        SleepMs(full ? 2 : 0);
        continue;
      }
      const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor >= 0) {
        ++threads_;
        std::thread([this, descriptor] {
          Relay(descriptor);
          --threads_;
        }).detach();
      }
    }
    for (const int filler : fillers) {
      close(filler);
    }
  }

  // Moves what has come from one side to the other. Returns false at its end.
  static bool Move(int from, int to) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(from, SOL_SOCKET, SO_ERROR, &error, &size);
    char buffer[65536];
    const ssize_t count = error != 0 ? -1 : recv(from, buffer, sizeof(buffer), 0);
    if (count < 0) {
      const linger reset{1, 0};
      setsockopt(to, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      return false;
    }
    ssize_t sent = 0;
    while (sent < count) {
      const ssize_t part =
          send(to, buffer + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
      if (part <= 0) {
        return false;
      }
      sent += part;
    }
    return count > 0;
  }

  void Relay(int caller) {
    const int worker = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(std::atoi(target_.substr(target_.find(':') + 1).c_str()));
    const int on = 1;
    setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(worker, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(worker, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
      while (!ends_) {
        if (*cut_) {
          SleepMs(2);
          continue;
        }
        pollfd sides[2] = {{caller, POLLIN, 0}, {worker, POLLIN, 0}};
        if (poll(sides, 2, 5) <= 0 || *cut_) {
          continue;
        }
        if ((sides[0].revents != 0 && !Move(caller, worker)) ||
            (sides[1].revents != 0 && !Move(worker, caller))) {
          break;
        }
      }
    }
    close(worker);
    close(caller);
  }

  const std::string target_;
  std::atomic<bool>* const cut_;
  int listener_ = -1;
  int port_ = 0;
  std::thread acceptor_;
  std::atomic<int> threads_ = 0;
  std::atomic<bool> ends_ = false;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_PROXY_H_
