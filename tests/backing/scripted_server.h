// TCP server on loopback that simulates failures which an HTTP library's server can't.
#ifndef HINGESPAN_TESTS_BACKING_SCRIPTED_SERVER_H_
#define HINGESPAN_TESTS_BACKING_SCRIPTED_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"

namespace hingespan {

// Action on a connection after its first request.
enum class ScriptedAction {
  kCloseWithoutAnswer,
  kCloseWithinAnswer,
  // Keeps the connection open and sends nothing.
  kNoAnswer,
};

// Listening loopback socket on a port that the kernel assigned.
class LoopbackListener {
 public:
  LoopbackListener() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    ::bind(socket_, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~LoopbackListener() { ::close(socket_); }

  void Listen() { ::listen(socket_, 8); }
  int socket() const { return socket_; }
  std::string address() const { return absl::StrCat("127.0.0.1:", port_); }

 private:
  int socket_;
  int port_ = 0;
};

class ScriptedServer {
 public:
  explicit ScriptedServer(ScriptedAction action) : action_(action) {
    listener_.Listen();
    thread_ = std::thread([this] { Serve(); });
  }
  ~ScriptedServer() {
    stop_.Notify();
    ::shutdown(listener_.socket(), SHUT_RDWR);
    thread_.join();
  }

  std::string address() const { return listener_.address(); }
  int requests() const { return requests_; }

 private:
  void Serve() {
    while (true) {
      const int connection = ::accept(listener_.socket(), nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      ReadRequest(connection);
      ++requests_;
      PerformAction(connection);
      ::close(connection);
    }
  }

  // Reads up to the end of the head, and any part of the body that arrived with it.
  static void ReadRequest(int connection) {
    std::string request;
    char buffer[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t size = ::recv(connection, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        return;
      }
      request.append(buffer, static_cast<std::size_t>(size));
    }
  }

  void PerformAction(int connection) {
    if (action_ == ScriptedAction::kCloseWithinAnswer) {
      const std::string part = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"comm";
      ::send(connection, part.data(), part.size(), MSG_NOSIGNAL);
    }
    if (action_ == ScriptedAction::kNoAnswer) {
      stop_.WaitForNotification();
    }
  }

  const ScriptedAction action_;
  LoopbackListener listener_;
  absl::Notification stop_;
  std::atomic<int> requests_{0};
  std::thread thread_;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_BACKING_SCRIPTED_SERVER_H_
