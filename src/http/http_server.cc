#include "hingespan/http/http_server.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/http/server_connection.h"
#include "hingespan/net/socket_address.h"

namespace hingespan::gateway {

using boost::asio::ip::tcp;

namespace {

// Idle connections that are looked at for one that can be closed.
constexpr std::size_t kMaxIdleTried = 16;
// Pause before the next attempt to accept a connection for which the process lacks a descriptor or
// memory. The connection stays in the queue, so that the attempt would fail again at once.
constexpr absl::Duration kAcceptPause = absl::Milliseconds(20);

// A client that sends its request or reads its answer for longer than this is slow, and a new
// connection may take its place.
constexpr absl::Duration kSlowAfter = absl::Seconds(1);

bool LacksResources(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system ||
         error == errc::no_buffer_space || error == errc::not_enough_memory;
}

}  // namespace

struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation> {
  Implementation(EventLoop* event_loop, Handler request_handler,
                 std::shared_ptr<ClientMemory> memory)
      : loop(event_loop), acceptor(event_loop->context()), accept_timer(event_loop->MakeTimer()) {
    shared = std::make_shared<ServerState>();
    shared->loop = event_loop;
    shared->handler = std::move(request_handler);
    shared->memory = memory == nullptr
                         ? std::make_shared<ClientMemory>(event_loop, ClientMemorySettings{})
                         : std::move(memory);
  }

  void Accept() {
    acceptor.async_accept(
        [weak = weak_from_this()](const boost::system::error_code& error, tcp::socket socket) {
          const std::shared_ptr<Implementation> self = weak.lock();
          if (self == nullptr || error == boost::asio::error::operation_aborted) {
            return;
          }
          if (!error) {
            self->StartConnection(std::move(socket));
          } else if (LacksResources(error) && !self->MakeRoom()) {
            self->AcceptLater();
            return;
          }
          self->Accept();
        });
  }

  void AcceptLater() {
    accept_timer->Set(loop->Now() + kAcceptPause, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Accept();
      }
    });
  }

  void StartConnection(tcp::socket socket) {
    if (shared->connections.size() >= shared->limits.max_connections && !MakeRoom()) {
      if (shared->on_turned_away) {
        shared->on_turned_away({TurnedAwayReason::kConnections, 0, RemoteAddress(socket), 0, {}});
      }
      return;  // Destroying the socket closes it before anything was read from it.
    }
    StartServerConnection(shared, std::move(socket));
  }

  // Closes one connection whose client doesn't need it now, or is the slowest. Clients that keep
  // their connections would otherwise shut out all others.
  bool MakeRoom() {
    return CloseLongestIdle() || TurnAwaySlowestSender() || TurnAwaySlowestReader();
  }

  bool IsSlow(const ServerConnection& connection) const {
    return loop->Now() - connection.waiting_since() >= kSlowAfter;
  }

  bool TurnAwaySlowestSender() {
    if (shared->unfinished.empty() || !IsSlow(*shared->unfinished.front())) {
      return false;
    }
    shared->unfinished.front()->GiveWayToConnection();
    return true;
  }

  bool TurnAwaySlowestReader() {
    std::size_t tried = 0;
    for (ServerConnection* const connection : shared->idle) {
      if (++tried > kMaxIdleTried || !IsSlow(*connection)) {
        return false;
      }
      if (connection->has_unread_answer()) {
        connection->GiveWayToConnection();
        return true;
      }
    }
    return false;
  }

  bool CloseLongestIdle() {
    std::size_t tried = 0;
    for (auto place = shared->idle.begin(); place != shared->idle.end() && tried < kMaxIdleTried;
         ++tried) {
      // Closing a connection removes it from the list.
      ServerConnection* const connection = *place++;
      if (connection->CloseIfIdle()) {
        return true;
      }
    }
    return false;
  }

  EventLoop* loop;
  tcp::acceptor acceptor;
  std::unique_ptr<LoopTimer> accept_timer;
  std::shared_ptr<ServerState> shared;
};

ServerActivity& ServerActivity::operator+=(const ServerActivity& other) {
  answering += other.answering;
  sending += other.sending;
  closing += other.closing;
  idle += other.idle;
  unsent_bytes += other.unsent_bytes;
  unread_bytes += other.unread_bytes;
  return *this;
}

HttpServer::HttpServer(EventLoop* loop, Handler handler, std::shared_ptr<ClientMemory> memory)
    : implementation_(
          std::make_shared<Implementation>(loop, std::move(handler), std::move(memory))) {}

HttpServer::~HttpServer() {
  boost::system::error_code ignored;
  implementation_->acceptor.close(ignored);
  // Open connections go on until they end.
  implementation_->shared->on_turned_away = nullptr;
}

std::error_code HttpServer::Listen(const std::string& address) {
  const Result<HostPort> parsed = ParseHostPort(address);
  if (!parsed.ok()) {
    return parsed.error();
  }
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address(parsed->host, error);
  if (error) {
    return make_error_code(Error::kInvalidArgument);
  }
  const tcp::endpoint endpoint(host, static_cast<unsigned short>(parsed->port));
  tcp::acceptor& acceptor = implementation_->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  const std::size_t receive_buffer = implementation_->shared->limits.receive_buffer_bytes;
  if (!error && receive_buffer > 0) {
    // Accepted connections inherit it.
    acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(static_cast<int>(receive_buffer)), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return {error.value(), std::system_category()};
  }
  implementation_->Accept();
  return {};
}

std::string HttpServer::address() const {
  boost::system::error_code error;
  const tcp::endpoint endpoint = implementation_->acceptor.local_endpoint(error);
  if (error) {
    return {};
  }
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

void HttpServer::SetLimits(const ServerLimits& limits) { implementation_->shared->limits = limits; }
void HttpServer::OnTurnedAway(TurnedAwayCallback callback) {
  implementation_->shared->on_turned_away = std::move(callback);
}
void HttpServer::AskToClose() { implementation_->shared->ask_to_close = true; }
std::size_t HttpServer::RefuseUnfinished() {
  // A copy, as a connection that is refused leaves the list.
  const auto unfinished = implementation_->shared->unfinished;
  std::size_t refused = 0;
  for (ServerConnection* const connection : unfinished) {
    refused += connection->RefuseUnfinished() ? 1 : 0;
  }
  return refused;
}

std::size_t HttpServer::connections() const { return implementation_->shared->connections.size(); }
ServerActivity HttpServer::activity() const {
  ServerActivity activity;
  for (const ServerConnection* const connection : implementation_->shared->connections) {
    connection->AddTo(&activity);
  }
  return activity;
}
std::size_t HttpServer::open_exchanges() const {
  const ServerActivity current = activity();
  return current.answering + current.sending;
}

}  // namespace hingespan::gateway
