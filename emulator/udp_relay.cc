#include "emulator/udp_relay.h"

#include <sys/socket.h>

#include <cstring>
#include <utility>

#include "emulator/socket_address.h"

namespace hingespan::emulator {
namespace {

constexpr std::size_t kMaximumDatagram = 65536;
constexpr std::size_t kMaximumSenders = 1024;
constexpr std::size_t kMaximumQueued = 100000;

}  // namespace

UdpRelay::UdpRelay(RelayLoop* loop, LinkState state)
    : loop_(loop), id_(loop->AddHandler(this)), state_(state) {}

UdpRelay::~UdpRelay() {
  CloseUpstreams();
  if (listener_ >= 0) {
    loop_->CloseSocket(listener_);
  }
  loop_->RemoveHandler(id_);
}

bool UdpRelay::Listen(const std::string& ip) {
  ip_ = ip;
  listener_ = BindToAnyPort(ip, SOCK_DGRAM);
  if (listener_ < 0) {
    return false;
  }
  loop_->Watch(id_, listener_, {});
  return true;
}

std::string UdpRelay::address() const { return FormatAddress(BoundAddress(listener_)); }

void UdpRelay::SetTarget(const sockaddr_in& target) {
  if (std::memcmp(&target, &target_, sizeof(target)) != 0) {
    CloseUpstreams();
    target_ = target;
  }
}

void UdpRelay::SetState(LinkState state) {
  state_ = state;
  if (state_.cut) {
    queue_.clear();
  }
}

void UdpRelay::OnReadable(int socket, absl::Time now) {
  std::string buffer(kMaximumDatagram, '\0');
  while (true) {
    sockaddr_in sender{};
    socklen_t length = sizeof(sender);
    const ssize_t received = recvfrom(socket, buffer.data(), buffer.size(), 0,
                                      reinterpret_cast<sockaddr*>(&sender), &length);
    if (received < 0) {
      return;
    }
    if (!state_.cut) {
      Forward(socket, sender, buffer.substr(0, static_cast<std::size_t>(received)), now);
    }
  }
}

void UdpRelay::Forward(int arrived_on, const sockaddr_in& sender, std::string bytes,
                       absl::Time now) {
  Datagram datagram;
  datagram.release = now + state_.delay;
  datagram.bytes = std::move(bytes);
  if (arrived_on == listener_) {
    datagram.socket = UpstreamFor(sender);
    datagram.destination = target_;
  } else {
    datagram.socket = listener_;
    datagram.destination = sender_by_upstream_[arrived_on];
  }
  if (datagram.socket < 0 || queue_.size() >= kMaximumQueued) {
    return;
  }
  // Keeps the order of datagrams after the delay was shortened.
  if (!queue_.empty() && queue_.back().release > datagram.release) {
    datagram.release = queue_.back().release;
  }
  const absl::Time release = datagram.release;
  queue_.push_back(std::move(datagram));
  SendDue(now);
  if (release > now) {
    loop_->CallAt(id_, release);
  }
}

int UdpRelay::UpstreamFor(const sockaddr_in& sender) {
  const std::string name = FormatAddress(sender);
  auto found = upstream_by_sender_.find(name);
  if (found != upstream_by_sender_.end()) {
    return found->second;
  }
  if (upstream_by_sender_.size() >= kMaximumSenders) {
    CloseUpstreams();
  }
  const int upstream = BindToAnyPort(ip_, SOCK_DGRAM);
  if (upstream >= 0) {
    upstream_by_sender_[name] = upstream;
    sender_by_upstream_[upstream] = sender;
    loop_->Watch(id_, upstream, {});
  }
  return upstream;
}

void UdpRelay::OnTimer(absl::Time now) { SendDue(now); }

void UdpRelay::SendDue(absl::Time now) {
  while (!queue_.empty() && queue_.front().release <= now) {
    const Datagram& datagram = queue_.front();
    // A datagram that can't be sent is lost, as on a real network.
    sendto(datagram.socket, datagram.bytes.data(), datagram.bytes.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&datagram.destination), sizeof(sockaddr_in));
    queue_.pop_front();
  }
}

void UdpRelay::CloseUpstreams() {
  for (const auto& [sender, upstream] : upstream_by_sender_) {
    loop_->CloseSocket(upstream);
  }
  upstream_by_sender_.clear();
  sender_by_upstream_.clear();
  // Queued datagrams refer to sockets that are now closed.
  queue_.clear();
}

}  // namespace hingespan::emulator
