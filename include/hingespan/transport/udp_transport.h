// Sends and receives control messages between nodes as UDP datagrams, which are signed if the nodes
// share a cluster key. Larger messages are sent as fragments; see fragments.h.
#ifndef HINGESPAN_TRANSPORT_UDP_TRANSPORT_H_
#define HINGESPAN_TRANSPORT_UDP_TRANSPORT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include "hingespan/common/result.h"
#include "hingespan/transport/fragments.h"
#include "hingespan/transport/message.h"

namespace hingespan {

struct SocketAddress;

struct UdpTransportOptions {
  // "ip:port"; with port 0 the kernel chooses a port.
  std::string listen = "127.0.0.1:0";
  // Key shared by all nodes; if empty, datagrams are not signed.
  std::string cluster_key;
};

struct UdpTransportCounters {
  // Counted in datagrams; each fragment of a message counts.
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
  // Datagrams without a valid signature.
  std::uint64_t unsigned_dropped = 0;
  // Signed datagrams that hold no valid envelope or fragment.
  std::uint64_t malformed_dropped = 0;
  // Messages that were not sent: too long, invalid address, or refused by the kernel.
  std::uint64_t send_failures = 0;
  // Failed messages that are longer than kMaximumMessageBytes and can never be sent.
  std::uint64_t too_long = 0;
  // Fragmented messages that were dropped because a fragment was lost or late, or to make room.
  std::uint64_t incomplete_dropped = 0;
};

// Send is thread-safe; the other functions must be called from one thread.
class UdpTransport {
 public:
  // Called on the receiving thread for each envelope.
  using Handler = std::function<void(const Envelope& envelope)>;

  explicit UdpTransport(UdpTransportOptions options);
  // Calls Stop.
  ~UdpTransport();
  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;

  // Binds the socket and returns the bound "ip:port". Errors: kInvalidArgument, kUnavailable.
  Result<std::string> Bind();
  // Starts the receiving thread.
  void Start(Handler handler);
  void Stop();

  // Sends an envelope. Errors: kInvalidArgument (address, length), kUnavailable. A sent datagram
  // may still be lost.
  std::error_code Send(const std::string& address, const Envelope& envelope);

  UdpTransportCounters counters() const;

 private:
  void Receive();
  void HandleDatagram(const char* data, std::size_t size);
  void HandleMessage(std::string_view bytes);
  void HandleFragment(std::string_view bytes);
  // Signs and sends one datagram.
  bool SendDatagram(const SocketAddress& target, std::string bytes);

  const UdpTransportOptions options_;
  Handler handler_;
  int socket_ = -1;
  // eventfd that stops the receiving thread.
  int stop_event_ = -1;
  std::thread thread_;
  // Used by the receiving thread only.
  Reassembler reassembler_;
  // Random number that identifies this transport in fragments.
  const std::uint64_t fragment_sender_;
  std::atomic<std::uint64_t> next_fragmented_message_ = 1;
  std::atomic<std::uint64_t> messages_sent_ = 0;
  std::atomic<std::uint64_t> bytes_sent_ = 0;
  std::atomic<std::uint64_t> messages_received_ = 0;
  std::atomic<std::uint64_t> bytes_received_ = 0;
  std::atomic<std::uint64_t> unsigned_dropped_ = 0;
  std::atomic<std::uint64_t> malformed_dropped_ = 0;
  std::atomic<std::uint64_t> send_failures_ = 0;
  std::atomic<std::uint64_t> too_long_ = 0;
  std::atomic<std::uint64_t> incomplete_dropped_ = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_TRANSPORT_UDP_TRANSPORT_H_
