#include "hingespan/net/http_exchange.h"

#include <fcntl.h>
#include <httplib.h>

#include <algorithm>
#include <deque>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/match.h"
#include "absl/synchronization/mutex.h"
#include "hingespan/common/clock.h"
#include "hingespan/net/deadline_stream.h"
#include "hingespan/net/socket_address.h"

namespace hingespan {
namespace {

constexpr absl::Duration kMinTimeout = absl::Milliseconds(1);
// Bytes that may come without completing a head, or the framing between two pieces of a body.
constexpr std::size_t kMaxFramingBytes = 256 * 1024;
// Size of a body that is kept whole.
constexpr std::size_t kMaxBodyBytes = 16 * 1024 * 1024;

// A client connection, used for one exchange at a time.
class Connection {
 public:
  virtual ~Connection() = default;
  virtual httplib::ClientImpl& client() = 0;
  // Prepares the connection for `exchange`, which must outlive its use.
  void Begin(const HttpExchange* exchange) {
    exchange_ = exchange;
    end_ = ReadEnd::kNone;
    sent_ = false;
    received_ = false;
    bytes_since_piece_ = 0;
  }
  // Called for each received piece of the body; from then on the idle limit applies, if any.
  void OnPiece() {
    received_ = true;
    bytes_since_piece_ = 0;
  }
  ReadEnd read_end() const { return end_; }
  // True if the connection was established, so that something may have been sent.
  bool sent() const { return sent_; }
  absl::Time idle_since;

 protected:
  // Stream that extends its deadline by the idle limit as pieces arrive.
  class ExchangeStream : public DeadlineStream {
   public:
    ExchangeStream(int socket, SSL* ssl, Connection& connection)
        : DeadlineStream(socket, ssl), connection_(connection) {}
    ssize_t read(char* data, std::size_t size) override {
      if (connection_.received_ && !is_buffered()) {
        BeforeWait();
      }
      const ssize_t count = DeadlineStream::read(data, size);
      if (count > 0) {
        connection_.bytes_since_piece_ += static_cast<std::size_t>(count);
      }
      return connection_.bytes_since_piece_ > kMaxFramingBytes ? -1 : count;
    }

   private:
    void BeforeWait() {
      const HttpExchange& exchange = *connection_.exchange_;
      if (exchange.before_wait != nullptr) {
        exchange.before_wait();
      }
      if (exchange.idle_limit != absl::InfiniteDuration()) {
        set_read_deadline(SystemClock().Now() + exchange.idle_limit);
      }
    }

    Connection& connection_;
  };

  bool Process(int socket, SSL* ssl, const std::function<bool(httplib::Stream&)>& callback) {
    sent_ = true;
    ExchangeStream stream(socket, ssl, *this);
    stream.set_read_deadline(exchange_->deadline);
    stream.set_write_timeout(std::max(kMinTimeout, exchange_->deadline - SystemClock().Now()));
    stream.set_cancelled(exchange_->cancelled);
    if (exchange_->on_piece != nullptr) {
      stream.UseBlockingReads();
    }
    const bool done = callback(stream);
    end_ = stream.read_end();
    return done;
  }

 private:
  const HttpExchange* exchange_ = nullptr;
  ReadEnd end_ = ReadEnd::kNone;
  bool sent_ = false;
  bool received_ = false;
  std::size_t bytes_since_piece_ = 0;
};

class PlainConnection : public httplib::ClientImpl, public Connection {
 public:
  using httplib::ClientImpl::ClientImpl;
  httplib::ClientImpl& client() override { return *this; }

 private:
  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream&)> callback) override {
    return Process(socket.sock, nullptr, callback);
  }
};

class TlsConnection : public httplib::SSLClient, public Connection {
 public:
  using httplib::SSLClient::SSLClient;
  httplib::ClientImpl& client() override { return *this; }

 private:
  bool process_socket(const Socket& socket,
                      std::function<bool(httplib::Stream&)> callback) override {
    fcntl(socket.sock, F_SETFL, fcntl(socket.sock, F_GETFL) | O_NONBLOCK);
    return Process(socket.sock, socket.ssl, callback);
  }
};

std::unique_ptr<Connection> MakeConnection(const HttpClientOptions& options,
                                           const HostPort& address) {
  if (!options.tls) {
    return std::make_unique<PlainConnection>(address.host, address.port);
  }
  auto connection = std::make_unique<TlsConnection>(address.host, address.port,
                                                    options.certificate_file, options.key_file);
  if (options.ca_file.empty()) {
    connection->enable_server_certificate_verification(false);
  } else {
    connection->set_ca_cert_path(options.ca_file);
  }
  return connection;
}

httplib::Request MakeRequest(const HttpExchange& exchange) {
  httplib::Request request;
  request.method = exchange.method;
  request.path = exchange.path;
  for (const HttpHeader& header : exchange.headers) {
    request.headers.emplace(header.name, header.value);
  }
  if (!exchange.content_type.empty()) {
    request.headers.emplace("Content-Type", exchange.content_type);
  }
  request.body = exchange.body;
  return request;
}

ExchangeEnd EndOf(const Connection& connection, httplib::Error error) {
  if (!connection.sent()) {
    return ExchangeEnd::kNotSent;
  }
  if (error == httplib::Error::Canceled || connection.read_end() == ReadEnd::kCancelled) {
    return ExchangeEnd::kCancelled;
  }
  if (connection.read_end() == ReadEnd::kTimeout) {
    return ExchangeEnd::kTimeout;
  }
  return ExchangeEnd::kBroken;
}

}  // namespace

struct HttpClientPool::State {
  using IdleConnections = std::deque<std::unique_ptr<Connection>>;

  std::unique_ptr<Connection> TakeIdle(const std::string& address) ABSL_LOCKS_EXCLUDED(mutex);
  void ReturnIdle(const std::string& address, std::unique_ptr<Connection> connection)
      ABSL_LOCKS_EXCLUDED(mutex);
  // Moves expired idle connections to `expired`, so that they are closed without holding the mutex.
  void RemoveExpired(absl::Time now, IdleConnections* expired) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  HttpClientOptions options;
  mutable absl::Mutex mutex;
  // Idle connections by address, the most recently used last.
  absl::flat_hash_map<std::string, IdleConnections> idle ABSL_GUARDED_BY(mutex);
  absl::Time next_prune ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
  std::size_t connections_made ABSL_GUARDED_BY(mutex) = 0;
};

std::unique_ptr<Connection> HttpClientPool::State::TakeIdle(const std::string& address) {
  const absl::Time now = SystemClock().Now();
  IdleConnections expired;
  absl::MutexLock lock(&mutex);
  RemoveExpired(now, &expired);
  const auto found = idle.find(address);
  if (found == idle.end() || found->second.empty()) {
    return nullptr;
  }
  std::unique_ptr<Connection> connection = std::move(found->second.back());
  found->second.pop_back();
  if (now - connection->idle_since > options.maximum_idle) {
    expired.push_back(std::move(connection));
    return nullptr;
  }
  return connection;
}

void HttpClientPool::State::RemoveExpired(absl::Time now, IdleConnections* expired) {
  if (now < next_prune) {
    return;
  }
  next_prune = now + options.maximum_idle;
  for (auto entry = idle.begin(); entry != idle.end();) {
    IdleConnections& connections = entry->second;
    while (!connections.empty() && now - connections.front()->idle_since > options.maximum_idle) {
      expired->push_back(std::move(connections.front()));
      connections.pop_front();
    }
    const auto present = entry++;
    if (connections.empty()) {
      idle.erase(present);
    }
  }
}

void HttpClientPool::State::ReturnIdle(const std::string& address,
                                       std::unique_ptr<Connection> connection) {
  connection->idle_since = SystemClock().Now();
  absl::MutexLock lock(&mutex);
  IdleConnections& connections = idle[address];
  if (connections.size() < options.maximum_idle_connections) {
    connections.push_back(std::move(connection));
  }
}

HttpClientPool::HttpClientPool(HttpClientOptions options) : state_(std::make_unique<State>()) {
  state_->options = std::move(options);
}

HttpClientPool::~HttpClientPool() = default;

std::size_t HttpClientPool::connections_made() const {
  absl::MutexLock lock(&state_->mutex);
  return state_->connections_made;
}

HttpAnswer HttpClientPool::Exchange(const HttpExchange& exchange) {
  HttpAnswer answer;
  const Result<HostPort> address = ParseHostPort(exchange.address);
  const absl::Duration left = exchange.deadline - SystemClock().Now();
  if (!address.ok() || left <= absl::ZeroDuration()) {
    return answer;
  }
  std::unique_ptr<Connection> connection = state_->TakeIdle(exchange.address);
  if (connection == nullptr) {
    connection = MakeConnection(state_->options, *address);
    connection->client().set_keep_alive(true);
    connection->client().set_tcp_nodelay(true);
    connection->client().set_decompress(false);
    connection->client().set_url_encode(false);
    absl::MutexLock lock(&state_->mutex);
    ++state_->connections_made;
  }
  const auto connect_timeout = std::min(left, state_->options.connect_timeout);
  connection->client().set_connection_timeout(
      absl::ToChronoMicroseconds(std::max(kMinTimeout, connect_timeout)));
  connection->Begin(&exchange);

  httplib::Request request = MakeRequest(exchange);
  httplib::Response response;
  request.response_handler = [&answer](const httplib::Response& head) {
    answer.status = head.status;
    answer.content_type = head.get_header_value("Content-Type");
    if (head.status != 200) {
      for (const auto& [name, value] : head.headers) {
        answer.headers.push_back({name, value});
      }
    }
    return true;
  };
  Connection* const raw = connection.get();
  bool too_large = false;
  request.content_receiver = [&answer, &exchange, &too_large, raw](
                                 const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    raw->OnPiece();
    if (exchange.on_piece == nullptr || answer.status != 200) {
      answer.body.append(data, size);
      too_large = answer.body.size() > kMaxBodyBytes;
      return !too_large;
    }
    return exchange.on_piece(std::string_view(data, size));
  };
  httplib::Error error = httplib::Error::Success;
  if (connection->client().send(request, response, error)) {
    answer.end = ExchangeEnd::kComplete;
    answer.status = response.status;
    state_->ReturnIdle(exchange.address, std::move(connection));
    return answer;
  }
  answer.end = too_large ? ExchangeEnd::kBroken : EndOf(*connection, error);
  return answer;
}

}  // namespace hingespan
