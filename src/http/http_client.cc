#include "hingespan/http/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "hingespan/http/message_parser.h"
#include "hingespan/net/socket_address.h"

namespace hingespan::gateway {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kReadBufferBytes = 16 * 1024;
// An idle connection is reused only within this fraction of the peer's keep-alive timeout, so that
// the peer does not close it just as a request is sent.
constexpr double kKeepAliveFraction = 0.7;
constexpr int kMaxInterimAnswers = 16;

class Connection;

// Idle connections, and the number of open ones, by address.
struct Pool {
  EventLoop* loop = nullptr;
  ClientLimits limits;
  absl::flat_hash_map<std::string, std::list<std::shared_ptr<Connection>>> idle;
  absl::flat_hash_map<std::string, std::size_t> open;
};

class Exchange;

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Pool> pool, std::string address)
      : pool_(std::move(pool)),
        address_(std::move(address)),
        socket_(pool_->loop->context()),
        timer_(pool_->loop->MakeTimer()) {
    ++pool_->open[address_];
  }
  ~Connection() {
    const auto entry = pool_->open.find(address_);
    if (--entry->second == 0) {
      pool_->open.erase(entry);
    }
  }

  void Begin(Exchange* exchange, std::string message, SharedBody body) {
    timer_->Cancel();
    exchange_ = exchange;
    message_ = std::move(message);
    body_ = std::move(body);
    received_any_ = false;
    written_ = false;
    paused_ = false;
    interim_answers_ = 0;
    parser_ =
        std::make_unique<AnswerParser>([this](absl::string_view piece) { DeliverBody(piece); });
    head_delivered_ = false;
    if (connected_) {
      Write();
      return;
    }
    Connect();
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    exchange_ = nullptr;
    timer_->Cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    RemoveFromPool();
  }

  // Closes with a TCP reset, so that no unsent byte is delivered later.
  void Reset() {
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  void CloseWhenComplete() { closes_when_complete_ = true; }
  void Pause() { paused_ = true; }
  void Resume() {
    if (!paused_) {
      return;
    }
    paused_ = false;
    Read();
  }

  bool closed() const { return closed_; }

 private:
  void Connect() {
    const Result<HostPort> parsed = ParseHostPort(address_);
    boost::system::error_code error;
    boost::asio::ip::address host;
    if (parsed.ok()) {
      host = boost::asio::ip::make_address(parsed->host, error);
    }
    if (!parsed.ok() || error) {
      pool_->loop->Post([self = shared_from_this()] { self->End(ExchangeResult::kNotSent); });
      return;
    }
    timer_->Set(pool_->loop->Now() + pool_->limits.connect_timeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->End(ExchangeResult::kNotSent);
      }
    });
    socket_.async_connect(tcp::endpoint(host, static_cast<unsigned short>(parsed->port)),
                          [self = shared_from_this()](const boost::system::error_code& failed) {
                            self->OnConnected(failed);
                          });
  }

  void OnConnected(const boost::system::error_code& error) {
    if (closed_) {
      return;
    }
    timer_->Cancel();
    if (error) {
      End(ExchangeResult::kNotSent);
      return;
    }
    connected_ = true;
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    const unsigned int milliseconds =
        static_cast<unsigned int>(absl::ToInt64Milliseconds(pool_->limits.unacknowledged_timeout));
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
               sizeof(milliseconds));
    Write();
  }

  void Write() {
    Read();
    std::array<boost::asio::const_buffer, 2> parts = {boost::asio::buffer(message_)};
    if (body_ != nullptr) {
      parts[1] = boost::asio::buffer(*body_);
    }
    boost::asio::async_write(
        socket_, parts,
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
          self->OnWritten(error, count);
        });
  }

  void OnWritten(const boost::system::error_code& error, std::size_t count) {
    ReleaseMessage();
    if (closed_) {
      return;
    }
    if (error) {
      End(count == 0 && !received_any_ ? ExchangeResult::kNotSent : ExchangeResult::kBroken);
      return;
    }
    written_ = true;
  }

  // A connection that is kept would otherwise keep the memory of its largest request.
  void ReleaseMessage() {
    std::string().swap(message_);
    body_ = nullptr;
  }

  void Read() {
    if (reading_ || closed_ || paused_) {
      return;
    }
    reading_ = true;
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
          self->reading_ = false;
          self->OnRead(error, count);
        });
  }

  void OnRead(const boost::system::error_code& error, std::size_t count) {
    if (closed_) {
      return;
    }
    if (exchange_ == nullptr) {
      // The connection is idle: the peer closed it, or sent bytes that belong to no request.
      Close();
      return;
    }
    if (error) {
      OnConnectionEnd(error == boost::asio::error::eof);
      return;
    }
    received_any_ = true;
    Feed(absl::string_view(buffer_.data(), count));
    Read();
  }

  void OnConnectionEnd(bool orderly) {
    if (orderly) {
      parser_->FeedEnd();
      if (parser_->complete()) {
        End(ExchangeResult::kComplete);
        return;
      }
    }
    End(ExchangeResult::kBroken);
  }

  void Feed(absl::string_view bytes);
  void DeliverBody(absl::string_view piece);
  bool DeliverHead();
  void End(ExchangeResult result);

  // The answer is complete; the connection is reused if both sides allow it.
  void Complete(bool surplus) {
    const AnswerHead& head = parser_->head();
    reusable_ = head.keep_alive && !surplus && written_ && !closes_when_complete_;
    ReadKeepAlive(head);
    End(ExchangeResult::kComplete);
  }

  void ReadKeepAlive(const AnswerHead& head) {
    idle_timeout_ = pool_->limits.idle_timeout;
    const std::string* const value = FindField(head.fields, "Keep-Alive");
    if (value == nullptr) {
      return;
    }
    for (const absl::string_view part : absl::StrSplit(*value, ',')) {
      const std::pair<absl::string_view, absl::string_view> pair = absl::StrSplit(part, '=');
      int seconds = 0;
      if (absl::StripAsciiWhitespace(pair.first) == "timeout" &&
          absl::SimpleAtoi(pair.second, &seconds)) {
        idle_timeout_ = std::min(idle_timeout_, absl::Seconds(seconds) * kKeepAliveFraction);
      }
    }
  }

  void ReturnToPool() {
    timer_->Set(pool_->loop->Now() + idle_timeout_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Close();
      }
    });
    pool_->idle[address_].push_back(shared_from_this());
    Read();
  }

  void RemoveFromPool() {
    const auto entry = pool_->idle.find(address_);
    if (entry == pool_->idle.end()) {
      return;
    }
    entry->second.remove_if(
        [this](const std::shared_ptr<Connection>& idle) { return idle.get() == this; });
    if (entry->second.empty()) {
      pool_->idle.erase(entry);
    }
  }

  std::shared_ptr<Pool> pool_;
  std::string address_;
  tcp::socket socket_;
  std::unique_ptr<LoopTimer> timer_;
  std::unique_ptr<AnswerParser> parser_;
  std::array<char, kReadBufferBytes> buffer_;
  std::string message_;
  SharedBody body_;
  Exchange* exchange_ = nullptr;
  absl::Duration idle_timeout_;
  int interim_answers_ = 0;
  bool connected_ = false;
  bool written_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool received_any_ = false;
  bool head_delivered_ = false;
  bool reusable_ = false;
  bool closes_when_complete_ = false;
  bool closed_ = false;
};

class Exchange : public ClientExchange {
 public:
  Exchange(std::shared_ptr<Connection> connection, AnswerReceiver* receiver)
      : connection_(std::move(connection)), receiver_(receiver) {}
  ~Exchange() override { Cancel(); }

  void Cancel() override {
    receiver_ = nullptr;
    if (connection_ != nullptr) {
      connection_->Close();
      connection_ = nullptr;
    }
  }
  void Discard() override {
    if (connection_ != nullptr) {
      connection_->Reset();
    }
    Cancel();
  }
  void CloseWhenComplete() override {
    if (connection_ != nullptr) {
      connection_->CloseWhenComplete();
    }
  }
  void PauseReading() override {
    if (connection_ != nullptr) {
      connection_->Pause();
    }
  }
  void ResumeReading() override {
    if (connection_ != nullptr) {
      connection_->Resume();
    }
  }

  bool Head(const AnswerHead& head) { return receiver_ == nullptr || receiver_->OnHead(head); }
  void Body(absl::string_view piece) {
    if (receiver_ != nullptr) {
      receiver_->OnBody(piece);
    }
  }
  void End(ExchangeResult result) {
    connection_ = nullptr;
    AnswerReceiver* const receiver = std::exchange(receiver_, nullptr);
    if (receiver != nullptr) {
      receiver->OnEnd(result);
    }
  }

 private:
  std::shared_ptr<Connection> connection_;
  AnswerReceiver* receiver_;
};

void Connection::Feed(absl::string_view bytes) {
  const std::shared_ptr<Connection> self = shared_from_this();
  const std::size_t taken = parser_->Feed(bytes);
  if (closed_ || exchange_ == nullptr) {
    return;
  }
  if (parser_->fault() != ParseFault::kNone) {
    End(ExchangeResult::kMalformed);
    return;
  }
  // An interim answer (1xx) is followed by the final one.
  if (parser_->complete() && parser_->head().status / 100 == 1) {
    if (++interim_answers_ > kMaxInterimAnswers) {
      End(ExchangeResult::kMalformed);
      return;
    }
    parser_ =
        std::make_unique<AnswerParser>([this](absl::string_view piece) { DeliverBody(piece); });
    Feed(bytes.substr(taken));
    return;
  }
  if (parser_->head_complete() && !DeliverHead()) {
    return;
  }
  if (parser_->complete()) {
    Complete(taken < bytes.size());
  }
}

bool Connection::DeliverHead() {
  if (head_delivered_) {
    return true;
  }
  head_delivered_ = true;
  if (exchange_ != nullptr && !exchange_->Head(parser_->head())) {
    End(ExchangeResult::kMalformed);
    return false;
  }
  return exchange_ != nullptr;
}

void Connection::DeliverBody(absl::string_view piece) {
  if (closed_ || exchange_ == nullptr || !DeliverHead()) {
    return;
  }
  exchange_->Body(piece);
}

void Connection::End(ExchangeResult result) {
  const std::shared_ptr<Connection> self = shared_from_this();
  Exchange* const exchange = std::exchange(exchange_, nullptr);
  const bool keep = result == ExchangeResult::kComplete && reusable_ && !closed_;
  reusable_ = false;
  if (keep) {
    ReturnToPool();
  } else {
    Close();
  }
  if (exchange != nullptr) {
    exchange->End(result);
  }
}

std::unique_ptr<ClientExchange> Begin(const std::shared_ptr<Connection>& connection,
                                      std::string message, AnswerReceiver* receiver,
                                      SharedBody body) {
  auto exchange = std::make_unique<Exchange>(connection, receiver);
  connection->Begin(exchange.get(), std::move(message), std::move(body));
  return exchange;
}

}  // namespace

struct HttpClient::Implementation {
  std::shared_ptr<Pool> pool = std::make_shared<Pool>();
};

HttpClient::HttpClient(EventLoop* loop, const ClientLimits& limits)
    : implementation_(std::make_shared<Implementation>()) {
  implementation_->pool->loop = loop;
  implementation_->pool->limits = limits;
}

HttpClient::~HttpClient() {
  auto idle = std::move(implementation_->pool->idle);
  implementation_->pool->idle.clear();
  for (auto& [address, connections] : idle) {
    for (const std::shared_ptr<Connection>& connection : connections) {
      connection->Close();
    }
  }
}

std::unique_ptr<ClientExchange> HttpClient::Send(const std::string& address, std::string message,
                                                 AnswerReceiver* receiver, SharedBody body) {
  const std::shared_ptr<Pool>& pool = implementation_->pool;
  const auto entry = pool->idle.find(address);
  if (entry == pool->idle.end()) {
    return SendOnNewConnection(address, std::move(message), receiver, std::move(body));
  }
  // Reuses the most recently used connection, so that the others can time out.
  const std::shared_ptr<Connection> connection = entry->second.back();
  entry->second.pop_back();
  if (entry->second.empty()) {
    pool->idle.erase(entry);
  }
  return Begin(connection, std::move(message), receiver, std::move(body));
}

std::unique_ptr<ClientExchange> HttpClient::SendOnNewConnection(const std::string& address,
                                                                std::string message,
                                                                AnswerReceiver* receiver,
                                                                SharedBody body) {
  return Begin(std::make_shared<Connection>(implementation_->pool, address), std::move(message),
               receiver, std::move(body));
}

std::size_t HttpClient::connections(const std::string& address) const {
  const auto entry = implementation_->pool->open.find(address);
  return entry == implementation_->pool->open.end() ? 0 : entry->second;
}

std::size_t HttpClient::idle_connections(const std::string& address) const {
  const auto entry = implementation_->pool->idle.find(address);
  return entry == implementation_->pool->idle.end() ? 0 : entry->second.size();
}

void HttpClient::CloseIdleConnections(const std::string& address) {
  const auto entry = implementation_->pool->idle.find(address);
  if (entry == implementation_->pool->idle.end()) {
    return;
  }
  const auto connections = std::move(entry->second);
  implementation_->pool->idle.erase(entry);
  for (const std::shared_ptr<Connection>& connection : connections) {
    connection->Close();
  }
}

std::string RequestText(absl::string_view method, absl::string_view target, absl::string_view host,
                        const HeaderFields& fields, absl::string_view body) {
  std::string text = absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n");
  for (const HeaderField& field : fields) {
    absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
  }
  if (!body.empty() || (method != "GET" && method != "DELETE")) {
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n", body);
  return text;
}

}  // namespace hingespan::gateway
