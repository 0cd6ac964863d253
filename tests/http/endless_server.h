// Server that answers one request with bytes that have no end.
#ifndef TESTS_HTTP_ENDLESS_SERVER_H_
#define TESTS_HTTP_ENDLESS_SERVER_H_

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <utility>

#include "tests/backing/scripted_server.h"

namespace hingespan {

// Accepts one connection, reads a request, sends `begin` and then `unit` again and again until the
// peer closes. Stops after kMaxBytes, so that a client without a bound fails its test and not the
// machine.
class EndlessServer {
 public:
  static constexpr std::size_t kMaxBytes = 64 * 1024 * 1024;

  EndlessServer(std::string begin, std::string unit)
      : begin_(std::move(begin)), unit_(std::move(unit)) {
    listener_.Listen();
    thread_ = std::thread([this] { Serve(); });
  }
  ~EndlessServer() {
    ::shutdown(listener_.socket(), SHUT_RDWR);
    thread_.join();
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string address() const { return listener_.address(); }
  // True if all of kMaxBytes were taken, so the client has no bound below that.
  bool exhausted() const { return exhausted_; }

 private:
  void Serve() {
    const int connection = ::accept(listener_.socket(), nullptr, nullptr);
    if (connection < 0) {
      return;
    }
    std::array<char, 4096> request;
    (void)::recv(connection, request.data(), request.size(), 0);
    std::string units;
    while (units.size() < request.size()) {
      units += unit_;
    }
    bool open = Send(connection, begin_);
    for (std::size_t sent = 0; open && sent < kMaxBytes; sent += units.size()) {
      open = Send(connection, units);
    }
    exhausted_ = open;
    ::close(connection);
  }

  static bool Send(int connection, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count =
          ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  const std::string begin_;
  const std::string unit_;
  LoopbackListener listener_;
  std::atomic<bool> exhausted_{false};
  std::thread thread_;
};

}  // namespace hingespan

#endif  // TESTS_HTTP_ENDLESS_SERVER_H_
