#include "hingespan/http/server_connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <utility>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kReadBufferBytes = 8 * 1024;
// Reading pauses once a caller has sent this many bytes after an unanswered request.
constexpr std::size_t kMaxUnparsedBytes = 16 * 1024;
// The next request of a caller is not parsed while more bytes than this of the answers before it
// wait for the caller to read them.
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;
// The kernel is asked for the bytes that a caller has not acknowledged each time that it was handed
// this many.
constexpr std::size_t kUnacknowledgedStep = 16 * 1024;
// A connection without a request.
constexpr std::size_t kConnectionBytes = 1024;
// Time for which input is still read and discarded after the last answer, so that the answer
// arrives.
constexpr absl::Duration kLingerTime = absl::Milliseconds(500);

// RFC 9110: these answers end with their head, and a length would be wrong (204) or that of another
// answer (304).
bool HasNoBody(int status) { return status == 204 || status == 304; }

class Connection;

class Exchange : public ServerExchange {
 public:
  Exchange(std::shared_ptr<Connection> connection, std::shared_ptr<ServerState> server,
           RequestHead head, std::string body, absl::Time received)
      : connection_(std::move(connection)),
        server_(std::move(server)),
        head_(std::move(head)),
        body_(std::make_shared<const std::string>(std::move(body))),
        received_(received) {}
  ~Exchange() override;

  const RequestHead& head() const override { return head_; }
  const std::string& body() const override { return *body_; }
  SharedBody shared_body() const override { return body_; }
  absl::Time received() const override { return received_; }
  void SetExtraBytes(std::size_t bytes) override;
  void OnCallerGone(std::function<void()> callback) override {
    on_caller_gone_ = std::move(callback);
  }
  void OnDrained(std::function<void()> callback) override { on_drained_ = std::move(callback); }
  std::size_t pending_bytes() const override;
  void Answer(int status, absl::string_view reason, const HeaderFields& fields,
              absl::string_view body) override;
  void StartChunked(int status, absl::string_view reason, const HeaderFields& fields) override;
  void StartUnframed(int status, absl::string_view reason, const HeaderFields& fields) override;
  void WriteChunk(absl::string_view bytes) override;
  void FinishChunked() override;
  void Abort() override;

  // The following two are called by the connection.
  void HandleDisconnect();
  void HandleDrained();
  std::size_t held_bytes() const { return HeldBytes(head_) + body_->capacity() + extra_bytes_; }

 private:
  std::string HeadText(int status, absl::string_view reason, const HeaderFields& fields);
  void Done();

  std::shared_ptr<Connection> connection_;
  std::shared_ptr<ServerState> server_;
  RequestHead head_;
  SharedBody body_;
  std::size_t extra_bytes_ = 0;
  absl::Time received_;
  std::function<void()> on_caller_gone_;
  std::function<void()> on_drained_;
  bool close_after_ = false;
  // True if the end of the connection marks the end of the answer's body.
  bool unframed_ = false;
};

class Connection : public ServerConnection, public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<ServerState> server, tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(server_->loop->MakeTimer()),
        parser_(std::make_unique<RequestParser>(server_->limits.message)),
        held_(server_->memory->budget()) {
    server_->connections.insert(this);
    server_->memory->Add(this);
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }
  ~Connection() override { LeaveServer(); }

  void Start() {
    WaitForCaller();
    Read();
  }

  bool has_input() const { return !input_.empty(); }
  std::size_t pending_bytes() const { return writing_.size() - bytes_written_ + queued_.size(); }

  bool CloseIfIdle() override {
    boost::system::error_code ignored;
    if (has_unread_answer() || socket_.available(ignored) > 0) {
      return false;
    }
    Close();
    return true;
  }

  bool has_unread_answer() const override {
    return pending_bytes() > 0 || unacknowledged_bytes() > 0;
  }

  void GiveWayToConnection() override {
    NoteTurnedAway(TurnedAwayReason::kConnections, 0);
    Close();
  }

  bool RefuseUnfinished() override {
    const bool refuses = !closed_ && request_started_ && !exchange_open_ && pending_bytes() == 0;
    if (refuses) {
      Refuse(TurnedAwayReason::kStopping);
    }
    return refuses;
  }

  void Recount() override {
    if (unacknowledged_ > 0) {
      unacknowledged_ = unacknowledged_bytes();
      UpdateHeldBytes();
    }
  }

  std::size_t reclaimable_bytes() const override {
    const bool waits_for_request = request_started_ && !exchange_open_;
    const bool waits_for_reader = pending_bytes() > 0 || unacknowledged_ > 0;
    return !closed_ && (waits_for_request || waits_for_reader) ? held_.bytes() : 0;
  }

  absl::Time waiting_since() const override {
    return request_started_ && !exchange_open_ ? received_ : waiting_since_;
  }

  // A refusal promises that the request does not run, so a client whose request is unfinished gets
  // one, unless it leaves earlier answers unread.
  void GiveWay() override {
    const auto self = shared_from_this();
    if (request_started_ && !exchange_open_ && pending_bytes() == 0) {
      Refuse(TurnedAwayReason::kMemory);
      return;
    }
    NoteTurnedAway(TurnedAwayReason::kMemory, 0);
    Abort(true);
  }

  void AddTo(ServerActivity* activity) const override {
    if (closed_) {
      return;
    }
    // For a lingering connection the kernel's count includes the FIN, so it is left out.
    const std::size_t unsent = pending_bytes() + (lingering_ ? 0 : unacknowledged_bytes());
    activity->unsent_bytes += unsent;
    boost::system::error_code ignored;
    activity->unread_bytes += input_.size() + socket_.available(ignored);
    const bool has_unparsed = !input_.empty() && !close_when_written_;
    if (exchange_open_ || has_unparsed) {
      ++activity->answering;
    } else if (unsent > 0) {
      ++activity->sending;
    } else if (lingering_) {
      ++activity->closing;
    } else {
      ++activity->idle;
    }
  }

  void Write(absl::string_view bytes) {
    if (closed_) {
      return;
    }
    if (pending_bytes() == 0) {
      waiting_since_ = server_->loop->Now();
    }
    queued_.append(bytes.data(), bytes.size());
    if (writing_.empty()) {
      StartWrite();
    }
    UpdateHeldBytes();
    server_->memory->RelieveLater();
  }

  // Sets what this connection makes the node hold.
  void UpdateHeldBytes() {
    std::size_t bytes = 0;
    if (!closed_) {
      const auto exchange = current_.lock();
      bytes = kConnectionBytes + input_.capacity() + parser_->held_bytes() + writing_.capacity() +
              queued_.capacity() + unacknowledged_ +
              (exchange == nullptr ? 0 : exchange->held_bytes());
    }
    server_->memory->Resize(&held_, bytes);
  }

  // Called when the answer of the current exchange is complete.
  void EndExchange(bool close) {
    current_.reset();
    exchange_open_ = false;
    ResetParser();
    UpdateHeldBytes();
    WaitForCaller();
    if (close) {
      close_when_written_ = true;
      if (writing_.empty() && queued_.empty()) {
        CloseGracefully();
      }
      return;
    }
    // Posted, because the handler that answered may still be running.
    server_->loop->Post([self = shared_from_this()] {
      self->Parse();
      self->Read();
    });
  }

  // Drops unsent bytes, so that the caller sees a broken answer, never a complete one.
  void Abort(bool with_reset) {
    if (closed_) {
      return;
    }
    if (with_reset) {
      boost::system::error_code ignored;
      socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    Close();
  }

 private:
  // Moves this connection to the end of a list of the server, or of its own.
  void MoveTo(std::list<ServerConnection*>* list) {
    list->splice(list->end(), *list_, place_);
    list_ = list;
  }

  void LeaveServer() {
    MoveTo(&own_list_);
    server_->connections.erase(this);
    server_->memory->Remove(this);
  }

  void ResetParser() {
    parser_ = std::make_unique<RequestParser>(server_->limits.message);
    request_started_ = false;
  }

  // Waits for the caller's next request, or for it to read its answer.
  void WaitForCaller() {
    MoveTo(&server_->idle);
    waiting_since_ = server_->loop->Now();
    SetIdleTimer(pending_bytes() + unacknowledged_bytes());
  }

  void SetIdleTimer(std::size_t unsent) {
    timer_->Set(waiting_since_ + server_->limits.idle_timeout, [weak = weak_from_this(), unsent] {
      if (const auto self = weak.lock()) {
        self->OnIdleTimeout(unsent);
      }
    });
  }

  // A caller that is still receiving the last answer is not idle.
  void OnIdleTimeout(std::size_t unsent_before) {
    if (server_->loop->Now() < waiting_since_ + server_->limits.idle_timeout) {
      // The limit was raised, and the caller may keep the connection for as long.
      SetIdleTimer(unsent_before);
      return;
    }
    const std::size_t unsent = pending_bytes() + unacknowledged_bytes();
    if (unsent > 0 && unsent < unsent_before) {
      WaitForCaller();
      return;
    }
    Close();
  }

  // Bytes in the kernel's send queue that the caller's kernel has not acknowledged.
  std::size_t unacknowledged_bytes() const {
    int count = 0;
    const bool known = ioctl(socket_.native_handle(), SIOCOUTQ, &count) == 0 && count > 0;
    return known ? static_cast<std::size_t>(count) : 0;
  }

  void Read() {
    if (reading_ || closed_ || (close_when_written_ && !lingering_) ||
        input_.size() >= kMaxUnparsedBytes) {
      return;
    }
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error) {
                         self->reading_ = false;
                         self->OnReadable(error);
                       });
  }

  // Reads here rather than in Asio's reactor, so that a request is counted in ServerActivity before
  // any other handler runs.
  void OnReadable(boost::system::error_code error) {
    if (closed_) {
      return;
    }
    std::array<char, kReadBufferBytes> buffer;
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
    Parse();
    Read();
  }

  void Parse() {
    if (closed_ || exchange_open_ || close_when_written_ || input_.empty() ||
        pending_bytes() > kMaxUnsentBytes) {
      UpdateHeldBytes();
      return;
    }
    if (!request_started_) {
      request_started_ = true;
      MoveTo(&server_->unfinished);
      received_ = server_->loop->Now();
      RestartHeadTimer();
    }
    const bool had_head = parser_->head_complete();
    const std::size_t taken = parser_->Feed(input_);
    input_.erase(0, taken);
    if (input_.empty()) {
      std::string().swap(input_);
    }
    if (parser_->fault() != ParseFault::kNone) {
      Refuse(ReasonOf(parser_->fault()));
      return;
    }
    if (!HasRoom()) {
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

  // Returns false if this client was turned away because clients hold too much memory.
  bool HasRoom() {
    if (parser_->complete()) {
      parser_->head();  // Expands it, so that it is counted as it will be held.
    }
    UpdateHeldBytes();
    server_->memory->Relieve();
    return !closed_ && !close_when_written_;
  }

  void RestartHeadTimer() {
    timer_->Set(server_->loop->Now() + server_->limits.head_timeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Refuse(TurnedAwayReason::kTimeout);
      }
    });
  }

  static TurnedAwayReason ReasonOf(ParseFault fault) {
    switch (fault) {
      case ParseFault::kHeadTooLarge:
        return TurnedAwayReason::kHeadTooLarge;
      case ParseFault::kBodyTooLarge:
        return TurnedAwayReason::kBodyTooLarge;
      default:
        return TurnedAwayReason::kMalformed;
    }
  }

  static int StatusOf(TurnedAwayReason reason) {
    switch (reason) {
      case TurnedAwayReason::kMemory:
      case TurnedAwayReason::kConnections:
      case TurnedAwayReason::kStopping:
        return 503;
      case TurnedAwayReason::kTimeout:
        return 408;
      case TurnedAwayReason::kMalformed:
        return 400;
      case TurnedAwayReason::kHeadTooLarge:
        return 431;
      case TurnedAwayReason::kBodyTooLarge:
        return 413;
    }
    return 400;
  }

  // Answers a request that is not complete, drops what was read of it, and closes.
  void Refuse(TurnedAwayReason reason) {
    const int status = StatusOf(reason);
    NoteTurnedAway(reason, status);
    ResetParser();
    std::string().swap(input_);
    close_when_written_ = true;
    std::string text = absl::StrCat("HTTP/1.1 ", status, " ", ReasonPhrase(status), "\r\n");
    if (status == 503) {
      for (const HeaderField& field : server_->limits.overload_fields) {
        absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
      }
    }
    Write(absl::StrCat(text, "Content-Length: 0\r\nConnection: close\r\n\r\n"));
    WaitForCaller();
  }

  void NoteTurnedAway(TurnedAwayReason reason, int status) const {
    if (server_->on_turned_away) {
      server_->on_turned_away({reason, status, RemoteAddress(socket_), held_.bytes(),
                               server_->loop->Now() - waiting_since()});
    }
  }

  void Deliver() {
    timer_->Cancel();
    MoveTo(&own_list_);
    exchange_open_ = true;
    auto exchange =
        std::make_shared<Exchange>(shared_from_this(), server_, std::move(parser_->head()),
                                   std::move(parser_->body()), received_);
    current_ = exchange;
    UpdateHeldBytes();
    server_->handler(std::move(exchange));
  }

  void StartWrite() {
    writing_.swap(queued_);
    const auto self = shared_from_this();
    boost::asio::async_write(
        socket_, boost::asio::buffer(writing_),
        [self](const boost::system::error_code& error, std::size_t written) {
          self->bytes_written_ = written;
          self->waiting_since_ = self->server_->loop->Now();
          return boost::asio::transfer_all()(error, written);
        },
        [self](const boost::system::error_code& error, std::size_t) { self->OnWritten(error); });
  }

  void OnWritten(const boost::system::error_code& error) {
    NoteHandedToKernel(bytes_written_);
    // A connection that is kept would otherwise keep the memory of its largest answer.
    std::string().swap(writing_);
    bytes_written_ = 0;
    if (closed_) {
      return;
    }
    if (error) {
      Close();
      return;
    }
    waiting_since_ = server_->loop->Now();
    if (!queued_.empty()) {
      StartWrite();
      return;
    }
    UpdateHeldBytes();
    if (close_when_written_) {
      CloseGracefully();
      return;
    }
    if (const auto exchange = current_.lock()) {
      exchange->HandleDrained();
    } else if (!exchange_open_) {
      if (!request_started_) {
        WaitForCaller();
      }
      // A request that was read ahead may have waited for its caller to read.
      Parse();
      Read();
    }
  }

  // Bytes that the kernel holds for the caller become fewer without a notice, so the last count is
  // an upper bound.
  void NoteHandedToKernel(std::size_t bytes) {
    unacknowledged_ += bytes;
    if (unacknowledged_ >= kUnacknowledgedStep) {
      unacknowledged_ = closed_ ? 0 : unacknowledged_bytes();
    }
  }

  // Shuts down the sending side and discards further input until kLingerTime: closing a socket
  // with unread input would reset the connection, and the caller could lose the answer.
  void CloseGracefully() {
    if (closed_ || lingering_) {
      return;
    }
    lingering_ = true;
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_->Set(server_->loop->Now() + kLingerTime, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Close();
      }
    });
    std::string().swap(input_);
    UpdateHeldBytes();
    Read();
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    LeaveServer();
    timer_->Cancel();
    boost::system::error_code ignored;
    socket_.close(ignored);
    std::string().swap(input_);
    std::string().swap(queued_);
    const auto exchange = current_.lock();
    current_.reset();
    UpdateHeldBytes();
    if (exchange != nullptr) {
      exchange->HandleDisconnect();
    }
  }

  std::shared_ptr<ServerState> server_;
  // Mutable because native_handle() is not const.
  mutable tcp::socket socket_;
  std::unique_ptr<LoopTimer> timer_;
  std::unique_ptr<RequestParser> parser_;
  // Bytes read but not parsed yet.
  std::string input_;
  // Bytes of the write in progress.
  std::string writing_;
  // Number of bytes of `writing_` that the kernel has accepted.
  std::size_t bytes_written_ = 0;
  // Bytes to write after the write in progress.
  std::string queued_;
  std::weak_ptr<Exchange> current_;
  absl::Time received_;
  // Time at which the caller last read, or was last answered.
  absl::Time waiting_since_;
  MemoryReservation held_;
  // Bytes that were handed to the kernel and may not be acknowledged by the caller yet.
  std::size_t unacknowledged_ = 0;
  // The list that this connection is in; its own while it is in none of the server's.
  std::list<ServerConnection*> own_list_{this};
  std::list<ServerConnection*>* list_ = &own_list_;
  std::list<ServerConnection*>::iterator place_ = own_list_.begin();
  bool reading_ = false;
  bool exchange_open_ = false;
  bool request_started_ = false;
  bool close_when_written_ = false;
  bool lingering_ = false;
  bool closed_ = false;
};

Exchange::~Exchange() {
  if (connection_ != nullptr) {
    connection_->Abort(unframed_);
  }
}

void Exchange::SetExtraBytes(std::size_t bytes) {
  extra_bytes_ = bytes;
  if (connection_ != nullptr) {
    connection_->UpdateHeldBytes();
  }
}

std::size_t Exchange::pending_bytes() const {
  return connection_ == nullptr ? 0 : connection_->pending_bytes();
}

std::string Exchange::HeadText(int status, absl::string_view reason, const HeaderFields& fields) {
  // Requests after a closing answer are dropped, so those already read must be answered first.
  close_after_ =
      unframed_ || !head_.keep_alive || (server_->ask_to_close && !connection_->has_input());
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
  if (HasNoBody(status)) {
    text.append("\r\n");
  } else {
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n\r\n", body);
  }
  connection_->Write(text);
  Done();
}

void Exchange::StartChunked(int status, absl::string_view reason, const HeaderFields& fields) {
  if (connection_ == nullptr) {
    return;
  }
  if (!head_.accepts_chunks) {
    StartUnframed(status, reason, fields);
    return;
  }
  std::string text = HeadText(status, reason, fields);
  text.append("Transfer-Encoding: chunked\r\n\r\n");
  connection_->Write(text);
}

void Exchange::StartUnframed(int status, absl::string_view reason, const HeaderFields& fields) {
  if (connection_ == nullptr) {
    return;
  }
  unframed_ = true;
  connection_->Write(absl::StrCat(HeadText(status, reason, fields), "\r\n"));
}

void Exchange::WriteChunk(absl::string_view bytes) {
  if (connection_ == nullptr || bytes.empty()) {
    return;
  }
  if (unframed_) {
    connection_->Write(bytes);
    return;
  }
  connection_->Write(absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n"));
}

void Exchange::FinishChunked() {
  if (connection_ == nullptr) {
    return;
  }
  if (!unframed_) {
    connection_->Write("0\r\n\r\n");
  }
  Done();
}

void Exchange::Abort() {
  if (connection_ == nullptr) {
    return;
  }
  const std::shared_ptr<Connection> connection = std::move(connection_);
  connection_ = nullptr;
  on_caller_gone_ = nullptr;
  on_drained_ = nullptr;
  connection->Abort(unframed_);
}

void Exchange::HandleDisconnect() {
  connection_ = nullptr;
  on_drained_ = nullptr;
  const std::function<void()> callback = std::move(on_caller_gone_);
  on_caller_gone_ = nullptr;
  if (callback) {
    callback();
  }
}

void Exchange::HandleDrained() {
  if (on_drained_) {
    on_drained_();
  }
}

void Exchange::Done() {
  const std::shared_ptr<Connection> connection = std::move(connection_);
  connection_ = nullptr;
  on_caller_gone_ = nullptr;
  on_drained_ = nullptr;
  connection->EndExchange(close_after_);
}

}  // namespace

std::string RemoteAddress(const tcp::socket& socket) {
  boost::system::error_code error;
  const tcp::endpoint endpoint = socket.remote_endpoint(error);
  return error ? std::string() : absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

void StartServerConnection(const std::shared_ptr<ServerState>& server, tcp::socket socket) {
  std::make_shared<Connection>(server, std::move(socket))->Start();
}

}  // namespace hingespan::gateway
