// Server that answers requests with the bytes that a test gives it, whatever they are.
#ifndef TESTS_SERVING_RAW_SERVER_H_
#define TESTS_SERVING_RAW_SERVER_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "hingespan/http/event_loop.h"

namespace hingespan::gateway {

struct RawAnswer {
  std::string bytes;
  // True if the connection ends in order behind them.
  bool ends_connection = false;
};

// Not thread-safe; runs on its event loop. Takes what it reads at once for one request.
class RawServer {
 public:
  // Gets the number of the connection, from 0 on, and the request.
  using Handler = std::function<RawAnswer(int connection, absl::string_view request)>;

  RawServer(EventLoop* loop, Handler handler)
      : acceptor_(loop->context(), {boost::asio::ip::make_address("127.0.0.1"), 0}),
        handler_(std::move(handler)) {
    Accept();
  }

  std::string address() const {
    return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using Error = boost::system::error_code;

  struct Connection {
    Connection(Socket accepted, int its_number) : socket(std::move(accepted)), number(its_number) {}
    Socket socket;
    int number;
    std::array<char, 4096> request;
    RawAnswer answer;
  };

  void Accept() {
    acceptor_.async_accept([this](const Error& error, Socket socket) {
      if (error) {
        return;
      }
      Serve(std::make_shared<Connection>(std::move(socket), connections_++));
      Accept();
    });
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    connection->socket.async_read_some(
        boost::asio::buffer(connection->request),
        [this, connection](const Error& error, std::size_t count) {
          if (!error) {
            connection->answer = handler_(connection->number, {connection->request.data(), count});
            Answer(connection);
          }
        });
  }

  void Answer(const std::shared_ptr<Connection>& connection) {
    boost::asio::async_write(connection->socket, boost::asio::buffer(connection->answer.bytes),
                             [this, connection](const Error& error, std::size_t) {
                               if (error) {
                                 return;
                               }
                               if (connection->answer.ends_connection) {
                                 Error ignored;
                                 connection->socket.shutdown(Socket::shutdown_both, ignored);
                                 return;
                               }
                               Serve(connection);
                             });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  Handler handler_;
  int connections_ = 0;
};

}  // namespace hingespan::gateway

#endif  // TESTS_SERVING_RAW_SERVER_H_
