#include "emulator/http_server.h"

#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <limits>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "emulator/growing_task_queue.h"
#include "emulator/socket_stream.h"

namespace hingespan::emulator {
namespace {

constexpr absl::Duration kKeepAliveTimeout = absl::Seconds(30);
// The library's default backlog of 5 delays bursts of connections by a second or more.
constexpr int kListenBacklog = 1024;

// Connection whose request the current thread handles.
thread_local SocketStream* current_stream = nullptr;

}  // namespace

// The library's server with its own connection loop, which waits without polling, closes all
// connections on stop, and can close one without an answer.
class ConnectionServer : public httplib::Server {
 public:
  int BindWithBacklog(const std::string& ip, int port) {
    int bound = port;
    if (port == 0) {
      bound = bind_to_any_port(ip);
    } else if (!bind_to_port(ip, port)) {
      bound = -1;
    }
    if (bound > 0) {
      ::listen(svr_sock_, kListenBacklog);
    }
    return bound;
  }

  void CloseConnections() {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    for (const int socket : sockets_) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }

 private:
  bool process_and_close_socket(socket_t socket) override {
    if (Register(socket)) {
      SetNoDelay(socket);
      Serve(socket);
      Unregister(socket);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
  }

  void Serve(int socket) {
    SocketStream stream(socket);
    current_stream = &stream;
    while (stream.WaitReadable(kKeepAliveTimeout)) {
      bool connection_closed = false;
      const bool answered = process_request(stream, false, connection_closed, nullptr);
      if (!answered || connection_closed || stream.dropped()) {
        break;
      }
    }
    current_stream = nullptr;
  }

  static void SetNoDelay(int socket) {
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }

  bool Register(int socket) {
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return false;
    }
    sockets_.insert(socket);
    return true;
  }

  void Unregister(int socket) {
    absl::MutexLock lock(&mutex_);
    sockets_.erase(socket);
  }

  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::flat_hash_set<int> sockets_ ABSL_GUARDED_BY(mutex_);
};

HttpServer::HttpServer(int thread_limit) : server_(std::make_unique<ConnectionServer>()) {
  server_->new_task_queue = [thread_limit] { return new GrowingTaskQueue(thread_limit); };
  server_->set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
}

HttpServer::~HttpServer() { Stop(); }

httplib::Server& HttpServer::routes() { return *server_; }

Result<std::string> HttpServer::Bind(const std::string& address) {
  const std::vector<std::string> parts = absl::StrSplit(address, ':');
  int port = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port)) {
    return Error::kInvalidArgument;
  }
  const int bound = server_->BindWithBacklog(parts[0], port);
  if (bound <= 0) {
    return Error::kUnavailable;
  }
  return absl::StrCat(parts[0], ":", bound);
}

void HttpServer::Start() {
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  // Waits until the server runs, because the library ignores an earlier stop.
  while (!server_->is_running()) {
    std::this_thread::yield();
  }
}

void HttpServer::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  server_->CloseConnections();
  server_->stop();
  thread_.join();
}

void HttpServer::DropConnection() {
  if (current_stream != nullptr) {
    current_stream->Drop();
  }
}

}  // namespace hingespan::emulator
