// HTTP server on one address for many concurrent long streams, with support for broken connections.
#ifndef HINGESPAN_EMULATOR_HTTP_SERVER_H_
#define HINGESPAN_EMULATOR_HTTP_SERVER_H_

#include <memory>
#include <string>
#include <thread>

#include "hingespan/common/result.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace hingespan::emulator {

class ConnectionServer;

// Routes must be added before Start. Stop may be called from any thread except a handler's.
class HttpServer {
 public:
  // Serves at most `thread_limit` connections concurrently; further ones wait.
  explicit HttpServer(int thread_limit);
  ~HttpServer();

  httplib::Server& routes();
  // Binds "ip:port" (port 0 lets the kernel choose) and returns the address with its port.
  Result<std::string> Bind(const std::string& address);
  void Start();
  // Closes all connections and joins all threads. Handlers must not wait indefinitely at that
  // point.
  void Stop();

  // Closes the connection without an answer. Must be called in a handler.
  static void DropConnection();

 private:
  std::unique_ptr<ConnectionServer> server_;
  std::thread thread_;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_HTTP_SERVER_H_
