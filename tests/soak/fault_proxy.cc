#include "tests/soak/fault_proxy.h"

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
// Of bytes held back; more are left in the kernel's buffers.
constexpr std::size_t kMaxHeld = 256 * 1024;

tcp::endpoint EndpointOf(const std::string& address) {
  const Result<HostPort> parsed = ParseHostPort(address);
  return {boost::asio::ip::make_address(parsed->host), static_cast<unsigned short>(parsed->port)};
}

struct LinkState {
  LinkFault fault = LinkFault::kNone;
  absl::Duration delay;
};

// One way of a connection.
struct Way {
  Way(tcp::socket* source_socket, tcp::socket* target_socket, bool to_target)
      : source(source_socket),
        target(target_socket),
        towards_target(to_target),
        timer(source_socket->get_executor()) {}

  tcp::socket* source;
  tcp::socket* target;
  bool towards_target;
  boost::asio::steady_timer timer;
  std::array<char, kReadSize> buffer;
  std::deque<std::string> held;
  std::size_t held_bytes = 0;
  bool reading = false;
  bool writing = false;
  bool waiting = false;
  bool source_ended = false;
  bool end_passed_on = false;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket client, const LinkState* state)
      : client_(std::move(client)),
        server_(client_.get_executor()),
        up_(&client_, &server_, true),
        down_(&server_, &client_, false),
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

  // Goes on with what the state of the link allows.
  void Pump() {
    Read(&up_);
    Read(&down_);
    Write(&up_);
    Write(&down_);
  }

  void Reset() {
    if (closed_) {
      return;
    }
    closed_ = true;
    Error ignored;
    for (tcp::socket* const socket : {&client_, &server_}) {
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  bool closed() const { return closed_; }

 private:
  bool Held(const Way& way) const {
    switch (state_->fault) {
      case LinkFault::kSilent:
        return true;
      case LinkFault::kCutTowardsTarget:
        return way.towards_target;
      case LinkFault::kCutFromTarget:
        return !way.towards_target;
      default:
        return false;
    }
  }

  void Read(Way* way) {
    if (closed_ || way->reading || way->source_ended || way->held_bytes >= kMaxHeld) {
      return;
    }
    way->reading = true;
    way->source->async_read_some(
        boost::asio::buffer(way->buffer),
        [self = shared_from_this(), way](const Error& error, std::size_t count) {
          way->reading = false;
          self->OnRead(way, error, count);
        });
  }

  void OnRead(Way* way, const Error& error, std::size_t count) {
    if (closed_) {
      return;
    }
    if (error && error != boost::asio::error::eof) {
      Reset();
      return;
    }
    if (error) {
      way->source_ended = true;
    } else {
      way->held.emplace_back(way->buffer.data(), count);
      way->held_bytes += count;
    }
    Write(way);
    Read(way);
  }

  void Write(Way* way) {
    if (closed_ || way->writing || way->waiting || Held(*way)) {
      return;
    }
    if (way->held.empty()) {
      PassEndOn(way);
      return;
    }
    if (state_->fault == LinkFault::kDelay) {
      way->waiting = true;
      way->timer.expires_after(absl::ToChronoMilliseconds(state_->delay));
      way->timer.async_wait([self = shared_from_this(), way](const Error&) {
        way->waiting = false;
        if (!self->closed_ && !self->Held(*way)) {
          self->WriteNow(way);
        }
      });
      return;
    }
    WriteNow(way);
  }

  void WriteNow(Way* way) {
    if (way->writing || way->held.empty()) {
      return;
    }
    way->writing = true;
    boost::asio::async_write(*way->target, boost::asio::buffer(way->held.front()),
                             [self = shared_from_this(), way](const Error& error, std::size_t) {
                               way->writing = false;
                               self->OnWritten(way, error);
                             });
  }

  void OnWritten(Way* way, const Error& error) {
    if (closed_) {
      return;
    }
    if (error) {
      Reset();
      return;
    }
    way->held_bytes -= way->held.front().size();
    way->held.pop_front();
    Write(way);
    Read(way);
  }

  void PassEndOn(Way* way) {
    if (!way->source_ended || way->end_passed_on) {
      return;
    }
    way->end_passed_on = true;
    Error ignored;
    way->target->shutdown(tcp::socket::shutdown_send, ignored);
    if (up_.end_passed_on && down_.end_passed_on) {
      closed_ = true;
      client_.close(ignored);
      server_.close(ignored);
    }
  }

  tcp::socket client_;
  tcp::socket server_;
  Way up_;
  Way down_;
  const LinkState* state_;
  bool closed_ = false;
};

}  // namespace

struct FaultProxy::Implementation : std::enable_shared_from_this<Implementation> {
  Implementation(gateway::EventLoop* loop, const std::string& target_address)
      : acceptor(loop->context(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        target(EndpointOf(target_address)) {}

  void Accept() {
    acceptor.async_accept([weak = weak_from_this()](const Error& error, tcp::socket socket) {
      const auto self = weak.lock();
      if (self == nullptr || error) {
        return;
      }
      self->Take(std::move(socket));
      self->Accept();
    });
  }

  void Take(tcp::socket socket) {
    connections.remove_if([](const auto& connection) { return connection->closed(); });
    const auto connection = std::make_shared<Connection>(std::move(socket), &state);
    if (state.fault == LinkFault::kReset) {
      connection->Reset();
      return;
    }
    connections.push_back(connection);
    connection->Start(target);
  }

  tcp::acceptor acceptor;
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
  return absl::StrCat("127.0.0.1:", implementation_->acceptor.local_endpoint().port());
}

void FaultProxy::SetFault(LinkFault fault, absl::Duration delay) {
  implementation_->state = {fault, delay};
  for (const auto& connection : implementation_->connections) {
    if (fault == LinkFault::kReset) {
      connection->Reset();
    } else if (!connection->closed()) {
      connection->Pump();
    }
  }
}

}  // namespace hingespan::soak
