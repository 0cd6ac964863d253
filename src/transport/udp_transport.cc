#include "hingespan/transport/udp_transport.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "hingespan/common/clock.h"
#include "hingespan/net/message_signer.h"
#include "hingespan/net/socket_address.h"
#include "hingespan/transport/message_codec.h"

namespace hingespan {
namespace {

// Larger than any datagram, so that none is truncated.
constexpr std::size_t kReceiveBufferBytes = 65536;
// Size of the kernel receive buffer, which holds bursts of datagrams.
constexpr int kSocketBufferBytes = 1 << 20;

std::uint64_t RandomSender() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

UdpTransport::UdpTransport(UdpTransportOptions options)
    : options_(std::move(options)),
      reassembler_(ReassemblyOptions()),
      fragment_sender_(RandomSender()) {}

UdpTransport::~UdpTransport() {
  Stop();
  if (socket_ >= 0) {
    close(socket_);
  }
  if (stop_event_ >= 0) {
    close(stop_event_);
  }
}

Result<std::string> UdpTransport::Bind() {
  const Result<SocketAddress> address = ParseSocketAddress(options_.listen);
  if (!address.ok()) {
    return address.error();
  }
  const int family = address->storage.ss_family;
  socket_ = socket(family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  stop_event_ = eventfd(0, EFD_CLOEXEC);
  if (socket_ < 0 || stop_event_ < 0) {
    return Error::kUnavailable;
  }
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes, sizeof(kSocketBufferBytes));
  const auto* const target = reinterpret_cast<const sockaddr*>(&address->storage);
  if (bind(socket_, target, address->length) != 0) {
    return Error::kUnavailable;
  }
  sockaddr_storage bound{};
  socklen_t length = sizeof(bound);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&bound), &length);
  return FormatSocketAddress(bound);
}

void UdpTransport::Start(Handler handler) {
  handler_ = std::move(handler);
  thread_ = std::thread([this] { Receive(); });
}

void UdpTransport::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  const std::uint64_t one = 1;
  if (write(stop_event_, &one, sizeof(one)) == sizeof(one)) {
    thread_.join();
  }
}

std::error_code UdpTransport::Send(const std::string& address, const Envelope& envelope) {
  const Result<SocketAddress> target = ParseSocketAddress(address);
  std::string bytes = EncodeEnvelope(envelope);
  const bool too_long = bytes.size() > kMaximumMessageBytes;
  too_long_ += too_long ? 1 : 0;
  if (!target.ok() || too_long) {
    ++send_failures_;
    return Error::kInvalidArgument;
  }
  std::vector<std::string> datagrams;
  if (bytes.size() <= kMaximumDatagramBytes) {
    datagrams.push_back(std::move(bytes));
  } else {
    datagrams = SplitMessage({fragment_sender_, next_fragmented_message_++}, bytes);
  }
  for (std::string& datagram : datagrams) {
    if (!SendDatagram(*target, std::move(datagram))) {
      ++send_failures_;
      return Error::kUnavailable;
    }
  }
  return {};
}

bool UdpTransport::SendDatagram(const SocketAddress& target, std::string bytes) {
  if (!options_.cluster_key.empty()) {
    bytes.append(SignMessage(options_.cluster_key, bytes));
  }
  const auto* const socket_address = reinterpret_cast<const sockaddr*>(&target.storage);
  const ssize_t sent =
      sendto(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL, socket_address, target.length);
  if (sent != static_cast<ssize_t>(bytes.size())) {
    return false;
  }
  ++messages_sent_;
  bytes_sent_ += bytes.size();
  return true;
}

void UdpTransport::Receive() {
  std::string buffer(kReceiveBufferBytes, '\0');
  std::array<pollfd, 2> entries{pollfd{socket_, POLLIN, 0}, pollfd{stop_event_, POLLIN, 0}};
  while (true) {
    if (poll(entries.data(), entries.size(), -1) < 0 && errno != EINTR) {
      return;
    }
    if ((entries[1].revents & POLLIN) != 0) {
      return;
    }
    while (true) {
      const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
      if (size < 0) {
        break;
      }
      HandleDatagram(buffer.data(), static_cast<std::size_t>(size));
    }
  }
}

void UdpTransport::HandleDatagram(const char* data, std::size_t size) {
  std::string_view bytes(data, size);
  ++messages_received_;
  bytes_received_ += size;
  if (!options_.cluster_key.empty()) {
    if (size < kSignatureBytes) {
      ++unsigned_dropped_;
      return;
    }
    const std::string_view signature = bytes.substr(size - kSignatureBytes);
    bytes.remove_suffix(kSignatureBytes);
    if (!EqualSecrets(signature, SignMessage(options_.cluster_key, bytes))) {
      ++unsigned_dropped_;
      return;
    }
  }
  if (!reassembler_.empty()) {
    reassembler_.Expire(SystemClock().Now());
    incomplete_dropped_ = reassembler_.counters().incomplete_dropped;
  }
  if (IsFragment(bytes)) {
    HandleFragment(bytes);
  } else {
    HandleMessage(bytes);
  }
}

void UdpTransport::HandleFragment(std::string_view bytes) {
  const std::uint64_t malformed_before = reassembler_.counters().malformed_dropped;
  const std::optional<std::string> message = reassembler_.Add(bytes, SystemClock().Now());
  malformed_dropped_ += reassembler_.counters().malformed_dropped - malformed_before;
  incomplete_dropped_ = reassembler_.counters().incomplete_dropped;
  if (message) {
    HandleMessage(*message);
  }
}

void UdpTransport::HandleMessage(std::string_view bytes) {
  const Result<Envelope> envelope = DecodeEnvelope(bytes);
  if (!envelope.ok()) {
    ++malformed_dropped_;
    return;
  }
  handler_(*envelope);
}

UdpTransportCounters UdpTransport::counters() const {
  UdpTransportCounters counters;
  counters.messages_sent = messages_sent_;
  counters.bytes_sent = bytes_sent_;
  counters.messages_received = messages_received_;
  counters.bytes_received = bytes_received_;
  counters.unsigned_dropped = unsigned_dropped_;
  counters.malformed_dropped = malformed_dropped_;
  counters.send_failures = send_failures_;
  counters.too_long = too_long_;
  counters.incomplete_dropped = incomplete_dropped_;
  return counters;
}

}  // namespace hingespan
