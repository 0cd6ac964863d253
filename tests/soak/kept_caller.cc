#include "tests/soak/kept_caller.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "hingespan/http/message_parser.h"
#include "hingespan/net/socket_address.h"

namespace hingespan::soak {
namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;
using gateway::ExchangeResult;

using SegmentSize = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;

// Segment size of a real network: with the large segments of loopback the kernel would accept
// megabytes of an answer at once.
constexpr int kSegmentSize = 1460;
constexpr absl::Duration kReconnectDelay = absl::Milliseconds(50);

}  // namespace

class KeepAliveCaller::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(gateway::EventLoop* loop, const CallerPace& pace, Address address,
                 NextRequest next)
      : loop_(loop),
        pace_(pace),
        address_(std::move(address)),
        next_(std::move(next)),
        socket_(loop->context()),
        timer_(loop->context()),
        buffer_(pace.read_size) {}

  void Connect() {
    const std::string address = address_();
    const Result<HostPort> parsed = ParseHostPort(address);
    if (address.empty() || !parsed.ok()) {
      After(kReconnectDelay, [this] { Connect(); });
      return;
    }
    Error error;
    socket_ = tcp::socket(loop_->context());
    socket_.open(tcp::v4(), error);
    if (pace_.receive_buffer > 0) {
      socket_.set_option(boost::asio::socket_base::receive_buffer_size(pace_.receive_buffer),
                         error);
    }
    socket_.set_option(SegmentSize(kSegmentSize), error);
    socket_.async_connect(
        {boost::asio::ip::make_address(parsed->host), static_cast<unsigned short>(parsed->port)},
        [this, self = shared_from_this()](const Error& failed) {
          if (closed_) {
            return;
          }
          if (failed) {
            After(kReconnectDelay, [this] { Connect(); });
            return;
          }
          Error ignored;
          socket_.set_option(tcp::no_delay(true), ignored);
          Read();
          SendNext();
        });
  }

  void Close() {
    closed_ = true;
    Error ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  // Runs `task` after `time`, in place of the task that was scheduled before.
  void After(absl::Duration time, std::function<void()> task) {
    timer_.expires_after(absl::ToChronoNanoseconds(time));
    timer_.async_wait(
        [this, self = shared_from_this(), task = std::move(task)](const Error& error) {
          if (!error && !closed_) {
            task();
          }
        });
  }

  void SendNext() {
    if (current_ != nullptr) {
      return;
    }
    RequestRecord* const record = next_(&message_);
    if (record == nullptr) {
      Close();
      return;
    }
    current_ = last_ = record;
    parser_ = std::make_unique<gateway::AnswerParser>(
        [this](absl::string_view piece) { current_->OnBody(piece); });
    head_delivered_ = false;
    boost::asio::async_write(socket_, boost::asio::buffer(message_),
                             [self = shared_from_this()](const Error&, std::size_t) {
                               // Errors are handled where the connection is read.
                             });
  }

  void Read() {
    const unsigned int connection = connection_;
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [this, connection, self = shared_from_this()](const Error& error, std::size_t count) {
          if (!closed_ && connection == connection_) {
            OnRead(error, count);
          }
        });
  }

  void OnRead(const Error& error, std::size_t count) {
    if (error) {
      OnConnectionEnd(error == boost::asio::error::eof);
      return;
    }
    if (current_ == nullptr) {
      // These bytes belong to no request.
      last_->surplus = true;
      Reconnect();
      return;
    }
    const std::size_t taken = parser_->Feed(absl::string_view(buffer_.data(), count));
    if (parser_->fault() != gateway::ParseFault::kNone) {
      Finish(ExchangeResult::kMalformed);
      Reconnect();
      return;
    }
    if (parser_->head_complete()) {
      DeliverHead();
    }
    if (!parser_->complete()) {
      ContinueReading();
      return;
    }
    current_->surplus = taken < count;
    const bool keep = parser_->head().keep_alive;
    Finish(ExchangeResult::kComplete);
    if (!keep) {
      Reconnect();
      return;
    }
    // Reads on, so that the end of the connection is noticed while no request is in flight.
    Read();
    After(pace_.pause, [this] { SendNext(); });
  }

  void ContinueReading() {
    if (pace_.read_interval == absl::ZeroDuration()) {
      Read();
      return;
    }
    After(pace_.read_interval, [this] { Read(); });
  }

  void DeliverHead() {
    if (!head_delivered_) {
      head_delivered_ = true;
      (void)current_->OnHead(parser_->head());
    }
  }

  void OnConnectionEnd(bool in_order) {
    if (current_ != nullptr) {
      if (in_order) {
        parser_->FeedEnd();
      }
      if (parser_->head_complete()) {
        DeliverHead();
      }
      current_->ended_in_order = in_order;
      Finish(parser_->complete() ? ExchangeResult::kComplete : ExchangeResult::kBroken);
    }
    Reconnect();
  }

  void Finish(ExchangeResult result) { std::exchange(current_, nullptr)->OnEnd(result); }

  void Reconnect() {
    ++connection_;
    Error ignored;
    socket_.close(ignored);
    After(pace_.pause, [this] { Connect(); });
  }

  gateway::EventLoop* loop_;
  CallerPace pace_;
  Address address_;
  NextRequest next_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::vector<char> buffer_;
  std::string message_;
  std::unique_ptr<gateway::AnswerParser> parser_;
  RequestRecord* current_ = nullptr;
  RequestRecord* last_ = nullptr;
  // Number of the connection; reads of an earlier one are ignored.
  unsigned int connection_ = 0;
  bool head_delivered_ = false;
  bool closed_ = false;
};

KeepAliveCaller::KeepAliveCaller(gateway::EventLoop* loop, const CallerPace& pace, Address address,
                                 NextRequest next)
    : implementation_(
          std::make_shared<Implementation>(loop, pace, std::move(address), std::move(next))) {
  implementation_->Connect();
}

KeepAliveCaller::~KeepAliveCaller() { implementation_->Close(); }

}  // namespace hingespan::soak
