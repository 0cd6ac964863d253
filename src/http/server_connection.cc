#include "hingespan/http/server_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kReadSize = 8 * 1024;
// A caller that sends more than this behind an unanswered request is not read any further.
constexpr std::size_t kMaxBufferedAhead = 64 * 1024;
// How long a connection that was answered with a fault is read on, so that the answer arrives.
constexpr absl::Duration kLingerTime = absl::Milliseconds(500);

class Connection;

class Exchange : public ServerExchange {
 public:
  Exchange(std::shared_ptr<Connection> connection, std::shared_ptr<ServerState> server,
           RequestHead head, std::string body, absl::Time received)
      : connection_(std::move(connection)),
        server_(std::move(server)),
        head_(std::move(head)),
        body_(std::move(body)),
        received_(received) {}
  ~Exchange() override;

  const RequestHead& head() const override { return head_; }
  const std::string& body() const override { return body_; }
  absl::Time received() const override { return received_; }
  void OnCallerGone(std::function<void()> callback) override { on_gone_ = std::move(callback); }
  void OnDrained(std::function<void()> callback) override { on_drained_ = std::move(callback); }
  std::size_t pending_bytes() const override;
  void Answer(int status, absl::string_view reason, const HeaderFields& fields,
              absl::string_view body) override;
  void StartChunked(int status, absl::string_view reason, const HeaderFields& fields) override;
  void WriteChunk(absl::string_view bytes) override;
  void FinishChunked() override;
  void Abort() override;

  // Called by the connection.
  void CallerGone();
  void Drained();

 private:
  std::string HeadText(int status, absl::string_view reason, const HeaderFields& fields);
  void Done();

  std::shared_ptr<Connection> connection_;
  std::shared_ptr<ServerState> server_;
  RequestHead head_;
  std::string body_;
  absl::Time received_;
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
  bool close_after_ = false;
};

class Connection : public ServerConnection, public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<ServerState> server, tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(server_->loop->MakeTimer()),
        parser_(std::make_unique<RequestParser>(server_->limits.message)) {
    server_->connections.insert(this);
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }
  ~Connection() override { server_->connections.erase(this); }

  void Start() {
    WaitForRequest();
    Read();
  }

  bool has_input() const { return !input_.empty(); }
  std::size_t pending_bytes() const { return writing_.size() - written_ + waiting_.size(); }

  void AddTo(ServerActivity* activity) const override {
    if (closed_) {
      return;
    }
    // What an ending connection has in the system includes the end of the stream.
    const std::size_t unsent = pending_bytes() + (ending_ ? 0 : system_bytes());
    activity->unsent_bytes += unsent;
    boost::system::error_code ignored;
    activity->unread_bytes += input_.size() + socket_.available(ignored);
    const bool to_parse = !input_.empty() && !close_when_written_;
    if (exchange_open_ || to_parse) {
      ++activity->answering;
    } else if (unsent > 0) {
      ++activity->sending;
    } else if (ending_) {
      ++activity->closing;
    } else {
      ++activity->idle;
    }
  }

  void Write(absl::string_view bytes) {
    if (closed_) {
      return;
    }
    waiting_.append(bytes.data(), bytes.size());
    if (writing_.empty()) {
      WriteWaiting();
    }
  }

  // The current exchange is answered in full.
  void EndExchange(bool close) {
    current_.reset();
    exchange_open_ = false;
    parser_ = std::make_unique<RequestParser>(server_->limits.message);
    head_timer_running_ = false;
    if (close) {
      close_when_written_ = true;
      timer_->Cancel();
      if (writing_.empty() && waiting_.empty()) {
        CloseInOrder();
      }
      return;
    }
    WaitForRequest();
    // Not within this call: the handler that answered may still be running.
    server_->loop->Post([self = shared_from_this()] {
      self->Parse();
      self->Read();
    });
  }

  void Abort() {
    if (closed_) {
      return;
    }
    // Unsent bytes and a reset: the caller sees a broken answer, never a whole one.
    waiting_.clear();
    Close();
  }

 private:
  void WaitForRequest() {
    timer_->Set(server_->loop->Now() + server_->limits.idle_timeout,
                [weak = weak_from_this(), unsent = pending_bytes() + system_bytes()] {
                  if (const auto self = weak.lock()) {
                    self->OnIdleTime(unsent);
                  }
                });
  }

  // A caller that is still taking the last answer is not idle.
  void OnIdleTime(std::size_t unsent_before) {
    const std::size_t unsent = pending_bytes() + system_bytes();
    if (unsent > 0 && unsent < unsent_before) {
      WaitForRequest();
      return;
    }
    Close();
  }

  // Written to the system, and not acknowledged by the caller's.
  std::size_t system_bytes() const {
    int count = 0;
    const bool known = ioctl(socket_.native_handle(), SIOCOUTQ, &count) == 0 && count > 0;
    return known ? static_cast<std::size_t>(count) : 0;
  }

  void Read() {
    if (reading_ || closed_ || (close_when_written_ && !ending_) ||
        input_.size() >= kMaxBufferedAhead) {
      return;
    }
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error) {
                         self->reading_ = false;
                         self->OnReadable(error);
                       });
  }

  // Reads here and not in the reactor: a request that was read is counted before any other handler
  // runs.
  void OnReadable(boost::system::error_code error) {
    if (closed_) {
      return;
    }
    std::array<char, kReadSize> buffer;
    std::size_t count = 0;
    if (!error) {
      count = socket_.read_some(boost::asio::buffer(buffer), error);
    }
    if (error == boost::asio::error::would_block) {
      Read();
      return;
    }
    if (error) {
      Close();
      return;
    }
    if (close_when_written_) {
      Read();
      return;
    }
    input_.append(buffer.data(), count);
    if (!exchange_open_) {
      Parse();
    }
    Read();
  }

  void Parse() {
    if (closed_ || exchange_open_ || close_when_written_ || input_.empty()) {
      return;
    }
    if (!head_timer_running_) {
      head_timer_running_ = true;
      received_ = server_->loop->Now();
      RestartHeadTimer();
    }
    const bool had_head = parser_->head_complete();
    const std::size_t taken = parser_->Feed(input_);
    input_.erase(0, taken);
    if (parser_->fault() != ParseFault::kNone) {
      Refuse(StatusOf(parser_->fault()));
      return;
    }
    if (parser_->complete()) {
      Deliver();
      return;
    }
    if (had_head || parser_->head_complete()) {
      RestartHeadTimer();
    }
  }

  void RestartHeadTimer() {
    timer_->Set(server_->loop->Now() + server_->limits.head_timeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Refuse(408);
      }
    });
  }

  static int StatusOf(ParseFault fault) {
    switch (fault) {
      case ParseFault::kHeadTooLarge:
        return 431;
      case ParseFault::kBodyTooLarge:
        return 413;
      default:
        return 400;
    }
  }

  void Refuse(int status) {
    Write(absl::StrCat("HTTP/1.1 ", status, " ", ReasonPhrase(status),
                       "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
    close_when_written_ = true;
    timer_->Cancel();
  }

  void Deliver() {
    timer_->Cancel();
    exchange_open_ = true;
    auto exchange =
        std::make_shared<Exchange>(shared_from_this(), server_, std::move(parser_->head()),
                                   std::move(parser_->body()), received_);
    current_ = exchange;
    server_->handler(std::move(exchange));
  }

  void WriteWaiting() {
    writing_.swap(waiting_);
    const auto self = shared_from_this();
    boost::asio::async_write(
        socket_, boost::asio::buffer(writing_),
        [self](const boost::system::error_code& error, std::size_t written) {
          self->written_ = written;
          return boost::asio::transfer_all()(error, written);
        },
        [self](const boost::system::error_code& error, std::size_t) { self->OnWritten(error); });
  }

  void OnWritten(const boost::system::error_code& error) {
    writing_.clear();
    written_ = 0;
    if (closed_) {
      return;
    }
    if (error) {
      Close();
      return;
    }
    if (!waiting_.empty()) {
      WriteWaiting();
      return;
    }
    if (close_when_written_) {
      CloseInOrder();
      return;
    }
    if (const auto exchange = current_.lock()) {
      exchange->Drained();
    } else if (!exchange_open_ && !head_timer_running_) {
      WaitForRequest();
    }
  }

  // Sends the end of the stream and reads what still comes for a moment: closing with unread bytes
  // would reset the connection and may take the answer with it.
  void CloseInOrder() {
    if (closed_ || ending_) {
      return;
    }
    ending_ = true;
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_->Set(server_->loop->Now() + kLingerTime, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Close();
      }
    });
    input_.clear();
    Read();
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    timer_->Cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (const auto exchange = current_.lock()) {
      current_.reset();
      exchange->CallerGone();
    }
  }

  std::shared_ptr<ServerState> server_;
  // Mutable: its handle can't be had of a const one.
  mutable tcp::socket socket_;
  std::unique_ptr<LoopTimer> timer_;
  std::unique_ptr<RequestParser> parser_;
  // Read but not parsed yet.
  std::string input_;
  std::string writing_;
  // How much of `writing_` the system has taken.
  std::size_t written_ = 0;
  std::string waiting_;
  std::weak_ptr<Exchange> current_;
  absl::Time received_;
  bool reading_ = false;
  bool exchange_open_ = false;
  bool head_timer_running_ = false;
  bool close_when_written_ = false;
  bool ending_ = false;
  bool closed_ = false;
};

Exchange::~Exchange() {
  if (connection_ != nullptr) {
    connection_->Abort();
  }
}

std::size_t Exchange::pending_bytes() const {
  return connection_ == nullptr ? 0 : connection_->pending_bytes();
}

std::string Exchange::HeadText(int status, absl::string_view reason, const HeaderFields& fields) {
  // Requests behind an answer that closes are dropped: those already read are answered before.
  close_after_ = !head_.keep_alive || (server_->ask_to_close && !connection_->has_input());
  std::string text = absl::StrCat("HTTP/1.1 ", status, " ", reason, "\r\n");
  for (const HeaderField& field : fields) {
    absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
  }
  if (close_after_) {
    text.append("Connection: close\r\n");
  }
  return text;
}

void Exchange::Answer(int status, absl::string_view reason, const HeaderFields& fields,
                      absl::string_view body) {
  if (connection_ == nullptr) {
    return;
  }
  std::string text = HeadText(status, reason, fields);
  absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n\r\n", body);
  connection_->Write(text);
  Done();
}

void Exchange::StartChunked(int status, absl::string_view reason, const HeaderFields& fields) {
  if (connection_ == nullptr) {
    return;
  }
  std::string text = HeadText(status, reason, fields);
  text.append("Transfer-Encoding: chunked\r\n\r\n");
  connection_->Write(text);
}

void Exchange::WriteChunk(absl::string_view bytes) {
  if (connection_ == nullptr || bytes.empty()) {
    return;
  }
  connection_->Write(absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n"));
}

void Exchange::FinishChunked() {
  if (connection_ == nullptr) {
    return;
  }
  connection_->Write("0\r\n\r\n");
  Done();
}

void Exchange::Abort() {
  if (connection_ == nullptr) {
    return;
  }
  const std::shared_ptr<Connection> connection = std::move(connection_);
  connection_ = nullptr;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  connection->Abort();
}

void Exchange::CallerGone() {
  connection_ = nullptr;
  on_drained_ = nullptr;
  const std::function<void()> callback = std::move(on_gone_);
  on_gone_ = nullptr;
  if (callback) {
    callback();
  }
}

void Exchange::Drained() {
  if (on_drained_) {
    on_drained_();
  }
}

void Exchange::Done() {
  const std::shared_ptr<Connection> connection = std::move(connection_);
  connection_ = nullptr;
  on_gone_ = nullptr;
  on_drained_ = nullptr;
  connection->EndExchange(close_after_);
}

}  // namespace

void StartServerConnection(const std::shared_ptr<ServerState>& server, tcp::socket socket) {
  std::make_shared<Connection>(server, std::move(socket))->Start();
}

}  // namespace hingespan::gateway
