#include "tests/soak/fault_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <list>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/net/socket_address.h"

namespace hingespan::soak {
namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::size_t kReadSize = 16 * 1024;
// Limit of pending bytes in each direction; further bytes stay in the kernel's buffers.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;

tcp::endpoint ParseEndpoint(const std::string& address) {
  const Result<HostPort> parsed = ParseHostPort(address);
  return {boost::asio::ip::make_address(parsed->host), static_cast<unsigned short>(parsed->port)};
}

struct LinkState {
  LinkFault fault = LinkFault::kNone;
  absl::Duration delay;
};

// One direction of a connection.
struct Direction {
  Direction(tcp::socket* source_socket, tcp::socket* target_socket, bool to_target)
      : source(source_socket),
        target(target_socket),
        towards_target(to_target),
        timer(source_socket->get_executor()) {}

  tcp::socket* source;
  tcp::socket* target;
  bool towards_target;
  boost::asio::steady_timer timer;
  std::array<char, kReadSize> buffer;
  std::deque<std::string> pending;
  std::size_t pending_bytes = 0;
  bool reading = false;
  bool writing = false;
  bool waiting = false;
  bool source_ended = false;
  bool end_forwarded = false;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket client, const LinkState* state)
      : client_(std::move(client)),
        server_(client_.get_executor()),
        to_server_(&client_, &server_, true),
        to_client_(&server_, &client_, false),
        state_(state) {}

  void Start(const tcp::endpoint& target) {
    server_.async_connect(target, [self = shared_from_this()](const Error& error) {
      if (error) {
        self->Reset();
        return;
      }
      Error ignored;
      self->client_.set_option(tcp::no_delay(true), ignored);
      self->server_.set_option(tcp::no_delay(true), ignored);
      self->Pump();
    });
  }

  // Continues the reads and writes that the state of the link allows.
  void Pump() {
    Read(&to_server_);
    Read(&to_client_);
    Write(&to_server_);
    Write(&to_client_);
  }

  void Reset() {
    Error ignored;
    for (tcp::socket* const socket : {&client_, &server_}) {
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    Close();
  }

  void Close() {
    closed_ = true;
    Error ignored;
    client_.close(ignored);
    server_.close(ignored);
  }

  bool closed() const { return closed_; }
  bool HoldsBytes() const {
    return !closed_ && to_server_.pending_bytes + to_client_.pending_bytes > 0;
  }

 private:
  bool IsBlocked(const Direction& direction) const {
    switch (state_->fault) {
      case LinkFault::kSilent:
        return true;
      case LinkFault::kCutTowardsTarget:
        return direction.towards_target;
      case LinkFault::kCutFromTarget:
        return !direction.towards_target;
      default:
        return false;
    }
  }

  void Read(Direction* direction) {
    if (closed_ || direction->reading || direction->source_ended ||
        direction->pending_bytes >= kMaxPendingBytes) {
      return;
    }
    direction->reading = true;
    direction->source->async_read_some(
        boost::asio::buffer(direction->buffer),
        [self = shared_from_this(), direction](const Error& error, std::size_t count) {
          direction->reading = false;
          self->OnRead(direction, error, count);
        });
  }

  void OnRead(Direction* direction, const Error& error, std::size_t count) {
    if (closed_) {
      return;
    }
    if (error && error != boost::asio::error::eof) {
      Reset();
      return;
    }
    if (error) {
      direction->source_ended = true;
    } else {
      direction->pending.emplace_back(direction->buffer.data(), count);
      direction->pending_bytes += count;
    }
    Write(direction);
    Read(direction);
  }

  void Write(Direction* direction) {
    if (closed_ || direction->writing || direction->waiting || IsBlocked(*direction)) {
      return;
    }
    if (direction->pending.empty()) {
      ForwardEnd(direction);
      return;
    }
    if (state_->fault == LinkFault::kDelay) {
      direction->waiting = true;
      direction->timer.expires_after(absl::ToChronoMilliseconds(state_->delay));
      direction->timer.async_wait([self = shared_from_this(), direction](const Error&) {
        direction->waiting = false;
        if (!self->closed_ && !self->IsBlocked(*direction)) {
          self->WriteNow(direction);
        }
      });
      return;
    }
    WriteNow(direction);
  }

  void WriteNow(Direction* direction) {
    if (direction->writing || direction->pending.empty()) {
      return;
    }
    direction->writing = true;
    boost::asio::async_write(
        *direction->target, boost::asio::buffer(direction->pending.front()),
        [self = shared_from_this(), direction](const Error& error, std::size_t) {
          direction->writing = false;
          self->OnWritten(direction, error);
        });
  }

  void OnWritten(Direction* direction, const Error& error) {
    if (closed_) {
      return;
    }
    if (error) {
      Reset();
      return;
    }
    direction->pending_bytes -= direction->pending.front().size();
    direction->pending.pop_front();
    Write(direction);
    Read(direction);
  }

  void ForwardEnd(Direction* direction) {
    if (!direction->source_ended || direction->end_forwarded) {
      return;
    }
    direction->end_forwarded = true;
    Error ignored;
    direction->target->shutdown(tcp::socket::shutdown_send, ignored);
    if (to_server_.end_forwarded && to_client_.end_forwarded) {
      closed_ = true;
      client_.close(ignored);
      server_.close(ignored);
    }
  }

  tcp::socket client_;
  tcp::socket server_;
  Direction to_server_;
  Direction to_client_;
  const LinkState* state_;
  bool closed_ = false;
};

}  // namespace

struct FaultProxy::Implementation : std::enable_shared_from_this<Implementation> {
  Implementation(gateway::EventLoop* loop, const std::string& target_address)
      : acceptor(loop->context(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        own(acceptor.local_endpoint()),
        target(ParseEndpoint(target_address)) {}

  // Refuses new connections by a socket that keeps the port and doesn't listen.
  void SetListening(bool listens) {
    if (listens == listening) {
      return;
    }
    listening = listens;
    Error ignored;
    acceptor.close(ignored);
    acceptor.open(own.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(own);
    if (listens) {
      acceptor.listen();
      Accept();
    }
  }

  void Accept() {
    acceptor.async_accept([weak = weak_from_this()](const Error& error, tcp::socket socket) {
      const auto self = weak.lock();
      if (self == nullptr || error) {
        return;
      }
      self->HandleConnection(std::move(socket));
      self->Accept();
    });
  }

  void HandleConnection(tcp::socket socket) {
    connections.remove_if([](const auto& connection) { return connection->closed(); });
    const auto connection = std::make_shared<Connection>(std::move(socket), &state);
    if (state.fault == LinkFault::kReset || state.fault == LinkFault::kClose) {
      connection->Reset();
      return;
    }
    connections.push_back(connection);
    connection->Start(target);
  }

  tcp::acceptor acceptor;
  tcp::endpoint own;
  bool listening = true;
  tcp::endpoint target;
  LinkState state;
  std::list<std::shared_ptr<Connection>> connections;
};

FaultProxy::FaultProxy(gateway::EventLoop* loop, const std::string& target)
    : implementation_(std::make_shared<Implementation>(loop, target)) {
  implementation_->Accept();
}

FaultProxy::~FaultProxy() {
  Error ignored;
  implementation_->acceptor.close(ignored);
  for (const auto& connection : implementation_->connections) {
    connection->Reset();
  }
}

std::string FaultProxy::address() const {
  return absl::StrCat("127.0.0.1:", implementation_->own.port());
}

std::size_t FaultProxy::HoldingConnections() const {
  return static_cast<std::size_t>(
      std::count_if(implementation_->connections.begin(), implementation_->connections.end(),
                    [](const auto& connection) { return connection->HoldsBytes(); }));
}

void FaultProxy::SetFault(LinkFault fault, absl::Duration delay) {
  implementation_->state = {fault, delay};
  implementation_->SetListening(fault != LinkFault::kRefuse);
  for (const auto& connection : implementation_->connections) {
    if (fault == LinkFault::kReset) {
      connection->Reset();
    } else if (fault == LinkFault::kClose) {
      connection->Close();
    } else if (!connection->closed()) {
      connection->Pump();
    }
  }
}

}  // namespace hingespan::soak
