#include "emulator/tcp_relay.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "emulator/socket_address.h"

namespace hingespan::emulator {
namespace {

constexpr int kListenBacklog = 1024;
constexpr std::size_t kReadBytes = 64 * 1024;
// Reading from a source pauses while this much data is queued for its destination.
constexpr std::size_t kMaximumQueuedBytes = 1024 * 1024;

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

TcpRelay::TcpRelay(RelayLoop* loop, LinkState state)
    : loop_(loop), id_(loop->AddHandler(this)), state_(state) {}

TcpRelay::~TcpRelay() {
  CloseAll();
  if (listener_ >= 0) {
    loop_->CloseSocket(listener_);
  }
  loop_->RemoveHandler(id_);
}

bool TcpRelay::Listen(const std::string& ip) {
  listener_ = BindToAnyPort(ip, SOCK_STREAM);
  if (listener_ < 0 || listen(listener_, kListenBacklog) != 0) {
    return false;
  }
  loop_->Watch(id_, listener_, {});
  return true;
}

std::string TcpRelay::address() const { return FormatAddress(BoundAddress(listener_)); }

void TcpRelay::SetState(LinkState state) {
  state_ = state;
  if (state_.cut) {
    CloseAll();
  }
}

void TcpRelay::OnReadable(int socket, absl::Time now) {
  if (socket == listener_) {
    Accept();
    return;
  }
  auto found = connections_.find(socket);
  if (found == connections_.end()) {
    return;
  }
  const std::shared_ptr<Connection> connection = found->second;
  for (Direction& direction : connection->directions) {
    if (direction.source == socket) {
      Receive(connection.get(), &direction, now);
      return;
    }
  }
}

void TcpRelay::OnWritable(int socket, absl::Time now) {
  auto found = connections_.find(socket);
  if (found == connections_.end()) {
    return;
  }
  const std::shared_ptr<Connection> connection = found->second;
  for (Direction& direction : connection->directions) {
    if (direction.destination != socket) {
      continue;
    }
    if (&direction == &connection->directions[0]) {
      connection->connected = true;
    }
    if (!Flush(connection.get(), &direction, now)) {
      Close(connection.get());
      return;
    }
  }
  UpdateInterest(*connection);
}

void TcpRelay::OnTimer(absl::Time now) {
  std::vector<std::shared_ptr<Connection>> open;
  for (const auto& [socket, connection] : connections_) {
    if (connection->directions[0].source == socket) {
      open.push_back(connection);
    }
  }
  for (const std::shared_ptr<Connection>& connection : open) {
    const bool works = Flush(connection.get(), &connection->directions[0], now) &&
                       Flush(connection.get(), &connection->directions[1], now);
    if (works) {
      UpdateInterest(*connection);
    } else {
      Close(connection.get());
    }
  }
}

void TcpRelay::Accept() {
  while (true) {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
      return;
    }
    if (state_.cut) {
      close(client);
    } else {
      Open(client);
    }
  }
}

void TcpRelay::Open(int client) {
  const int upstream = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto* target = reinterpret_cast<const sockaddr*>(&target_);
  const bool begun =
      upstream >= 0 && (connect(upstream, target, sizeof(target_)) == 0 || errno == EINPROGRESS);
  if (!begun) {
    close(client);
    if (upstream >= 0) {
      close(upstream);
    }
    return;
  }
  SetNoDelay(client);
  SetNoDelay(upstream);
  auto connection = std::make_shared<Connection>();
  connection->directions[0].source = client;
  connection->directions[0].destination = upstream;
  connection->directions[1].source = upstream;
  connection->directions[1].destination = client;
  connections_[client] = connection;
  connections_[upstream] = connection;
  UpdateInterest(*connection);
}

void TcpRelay::Receive(Connection* connection, Direction* direction, absl::Time now) {
  if (direction->ended) {
    return;
  }
  std::string bytes(kReadBytes, '\0');
  const ssize_t received = recv(direction->source, bytes.data(), bytes.size(), 0);
  if (received < 0 && WouldBlock(errno)) {
    return;
  }
  if (received < 0) {
    Close(connection);
    return;
  }
  if (received == 0) {
    direction->ended = true;
  } else {
    bytes.resize(static_cast<std::size_t>(received));
    direction->queued_bytes += bytes.size();
    const absl::Time release = now + state_.delay;
    direction->queue.push_back({release, std::move(bytes), 0});
    if (state_.delay > absl::ZeroDuration()) {
      loop_->CallAt(id_, release);
    }
  }
  if (Flush(connection, direction, now)) {
    UpdateInterest(*connection);
  } else {
    Close(connection);
  }
}

bool TcpRelay::Flush(Connection* connection, Direction* direction, absl::Time now) {
  const bool towards_target = direction == &connection->directions[0];
  if (towards_target && !connection->connected) {
    return true;
  }
  if (!Write(direction, now)) {
    return false;
  }
  if (direction->ended && direction->queue.empty() && !direction->end_forwarded) {
    direction->end_forwarded = true;
    shutdown(direction->destination, SHUT_WR);
  }
  const bool both_ended =
      connection->directions[0].end_forwarded && connection->directions[1].end_forwarded;
  return !both_ended;
}

bool TcpRelay::Write(Direction* direction, absl::Time now) {
  while (!direction->queue.empty() && direction->queue.front().release <= now) {
    Segment& segment = direction->queue.front();
    const char* rest = segment.bytes.data() + segment.written;
    const std::size_t size = segment.bytes.size() - segment.written;
    const ssize_t sent = send(direction->destination, rest, size, MSG_NOSIGNAL);
    if (sent < 0) {
      return WouldBlock(errno);
    }
    segment.written += static_cast<std::size_t>(sent);
    direction->queued_bytes -= static_cast<std::size_t>(sent);
    if (segment.written == segment.bytes.size()) {
      direction->queue.pop_front();
    }
  }
  return true;
}

void TcpRelay::UpdateInterest(const Connection& connection) {
  const absl::Time now = loop_->Now();
  for (int i = 0; i < 2; ++i) {
    const Direction& outgoing = connection.directions[i];
    const Direction& incoming = connection.directions[1 - i];
    const bool connecting = i == 1 && !connection.connected;
    const bool due = !incoming.queue.empty() && incoming.queue.front().release <= now;
    SocketInterest interest;
    interest.readable =
        !outgoing.ended && outgoing.queued_bytes < kMaximumQueuedBytes && !connecting;
    interest.writable = connecting || due;
    loop_->Watch(id_, outgoing.source, interest);
  }
}

void TcpRelay::Close(Connection* connection) {
  const int client = connection->directions[0].source;
  const int upstream = connection->directions[1].source;
  if (!connections_.contains(client)) {
    return;
  }
  // The second erasure may delete `connection`.
  connections_.erase(client);
  connections_.erase(upstream);
  loop_->CloseSocket(client);
  loop_->CloseSocket(upstream);
}

void TcpRelay::CloseAll() {
  while (!connections_.empty()) {
    const std::shared_ptr<Connection> connection = connections_.begin()->second;
    Close(connection.get());
  }
}

}  // namespace hingespan::emulator
