#include "hingespan/net/http_server.h"

#include <httplib.h>
#include <sys/socket.h>

#include <thread>
#include <utility>

#include "absl/memory/memory.h"
#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "hingespan/net/connection_limiter.h"
#include "hingespan/net/deadline_stream.h"
#include "hingespan/net/http_connections.h"
#include "hingespan/net/socket_address.h"
#include "listening_socket.h"

namespace hingespan {
namespace {

// cpp-httplib listens with a backlog of 5, which is too small for bursts from many routers.
constexpr int kListenBacklog = 512;
// TCP handshakes in progress when a stop begins complete within a few round trips.
constexpr absl::Duration kBacklogSettle = absl::Milliseconds(50);
constexpr absl::Duration kBacklogDrainTimeout = absl::Seconds(1);
constexpr absl::Duration kStartPollInterval = absl::Milliseconds(1);

// Sets only SO_REUSEADDR; cpp-httplib's default, SO_REUSEPORT, would let two processes share a
// port.
void SetSocketOptions(socket_t socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

// cpp-httplib server that passes accepted sockets to HttpConnections instead of its own loop.
class AcceptingServer {
 public:
  virtual ~AcceptingServer() = default;
  virtual httplib::Server& server() = 0;
  virtual void SetListenBacklog() = 0;
  // Admits no new connections, and waits up to a time limit until the backlog is empty.
  virtual void DrainBacklog() = 0;
};

template <typename Base>
class Acceptor : public Base, public AcceptingServer {
 public:
  template <typename... Arguments>
  explicit Acceptor(HttpConnections* connections, const Arguments&... arguments)
      : Base(arguments...), connections_(connections) {}

  httplib::Server& server() override { return *this; }
  void SetListenBacklog() override { ::listen(this->svr_sock_, kListenBacklog); }

  void DrainBacklog() override {
    const socket_t socket = this->svr_sock_;
    if (!DropNewConnections(socket)) {
      ::listen(socket, 0);
    }
    AwaitEmptyBacklog(socket, kBacklogSettle, kBacklogDrainTimeout);
  }

 private:
  bool process_and_close_socket(socket_t socket) override {
    SSL_CTX* context = nullptr;
    if constexpr (std::is_same_v<Base, httplib::SSLServer>) {
      context = this->ssl_context();
    }
    return connections_->Serve(
        socket, context, [this](DeadlineStream& stream, SSL* ssl, bool close, bool* closed) {
          const auto setup = [ssl](httplib::Request& request) { request.ssl = ssl; };
          return this->process_request(stream, close, *closed, setup);
        });
  }

  HttpConnections* const connections_;
};

std::unique_ptr<AcceptingServer> MakeServer(const HttpServerOptions& options,
                                            HttpConnections* connections) {
  if (options.certificate_file.empty()) {
    return std::make_unique<Acceptor<httplib::Server>>(connections);
  }
  const char* const client_ca =
      options.client_ca_file.empty() ? nullptr : options.client_ca_file.c_str();
  return std::make_unique<Acceptor<httplib::SSLServer>>(
      connections, options.certificate_file.c_str(), options.key_file.c_str(), client_ca);
}

}  // namespace

struct HttpServer::State {
  explicit State(HttpServerOptions given)
      : options(std::move(given)),
        connections(options),
        acceptor(MakeServer(options, &connections)) {}

  HttpServerOptions options;
  HttpConnections connections;
  std::unique_ptr<AcceptingServer> acceptor;
  std::thread thread;
};

HttpServer::HttpServer(HttpServerOptions options)
    : state_(std::make_unique<State>(std::move(options))) {
  httplib::Server& server = routes();
  server.set_socket_options(SetSocketOptions);
  server.set_payload_max_length(state_->options.maximum_body_bytes);
  server.set_keep_alive_max_count(kMaximumRequestsPerConnection);
  server.set_keep_alive_timeout(
      std::max<time_t>(1, absl::ToInt64Seconds(state_->options.keep_alive_timeout)));
  server.new_task_queue = [this] { return state_->connections.NewLimiter(); };
  server.set_error_handler([this](const httplib::Request&, httplib::Response& response) {
    state_->connections.FillError(response);
  });
  server.set_post_routing_handler([](const httplib::Request&, httplib::Response& response) {
    HttpConnections::AddConnectionClose(response);
  });
}

HttpServer::~HttpServer() { Stop(absl::ZeroDuration()); }

httplib::Server& HttpServer::routes() { return state_->acceptor->server(); }

Result<std::string> HttpServer::Bind(const std::string& address) {
  const Result<HostPort> parsed = ParseHostPort(address);
  if (!parsed.ok() || !routes().is_valid()) {
    return Error::kInvalidArgument;
  }
  int port = parsed->port;
  if (port == 0) {
    port = routes().bind_to_any_port(parsed->host);
    if (port <= 0) {
      return Error::kUnavailable;
    }
  } else if (!routes().bind_to_port(parsed->host, port)) {
    return Error::kUnavailable;
  }
  state_->acceptor->SetListenBacklog();
  return absl::StrCat(parsed->host, ":", port);
}

void HttpServer::Start() {
  state_->thread = std::thread([this] { routes().listen_after_bind(); });
  while (!routes().is_running()) {
    absl::SleepFor(kStartPollInterval);
  }
}

void HttpServer::BeginDrain() { state_->connections.BeginDrain(); }

bool HttpServer::Stop(absl::Duration grace) {
  if (!state_->thread.joinable()) {
    return true;
  }
  state_->acceptor->DrainBacklog();
  state_->connections.BeginStop();
  routes().stop();
  const bool complete = state_->connections.EndAll(grace);
  state_->thread.join();
  return complete;
}

HttpServerCounters HttpServer::counters() const { return state_->connections.counters(); }

DeadlineStream* HttpServer::CurrentStream() { return HttpConnections::CurrentStream(); }

}  // namespace hingespan
