#include "hingespan/transport/udp_transport.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace hingespan {
namespace {

constexpr absl::Duration kReceiveTimeout = absl::Seconds(20);

Envelope MakeEnvelope(std::uint64_t sequence) {
  Envelope envelope;
  envelope.from = NodeId("n1");
  envelope.from_incarnation = NodeIncarnation(3);
  envelope.from_zone = ZoneId("z1");
  IndirectProbeRequest request;
  request.sequence = sequence;
  request.target = NodeId("n2");
  envelope.message = request;
  return envelope;
}

class Receiver {
 public:
  explicit Receiver(const std::string& key) : transport_({"127.0.0.1:0", key}) {
    address_ = *transport_.Bind();
    transport_.Start([this](const Envelope& envelope) {
      absl::MutexLock lock(&mutex_);
      sequences_.push_back(std::get<IndirectProbeRequest>(envelope.message).sequence);
    });
  }

  // Waits until `sequence` has arrived and returns all sequences received so far.
  std::vector<std::uint64_t> WaitFor(std::uint64_t sequence) {
    absl::MutexLock lock(&mutex_);
    const auto has_arrived = [&] { return !sequences_.empty() && sequences_.back() == sequence; };
    mutex_.AwaitWithTimeout(absl::Condition(&has_arrived), kReceiveTimeout);
    return sequences_;
  }

  const std::string& address() const { return address_; }
  UdpTransport& transport() { return transport_; }

 private:
  absl::Mutex mutex_;
  std::vector<std::uint64_t> sequences_;
  std::string address_;
  UdpTransport transport_;
};

UdpTransport& Bound(UdpTransport* transport) {
  REQUIRE(transport->Bind().ok());
  return *transport;
}

TEST_CASE("envelopes arrive, and both sides count them") {
  Receiver receiver("");
  UdpTransport sender({"127.0.0.1:0", ""});
  CHECK(!Bound(&sender).Send(receiver.address(), MakeEnvelope(7)));
  CHECK(receiver.WaitFor(7) == std::vector<std::uint64_t>{7});
  CHECK(sender.counters().messages_sent == 1);
  CHECK(receiver.transport().counters().bytes_received == sender.counters().bytes_sent);
}

TEST_CASE("datagrams without a valid signature are dropped and counted") {
  Receiver receiver("right key");
  UdpTransport unsigned_sender({"127.0.0.1:0", ""});
  UdpTransport wrong_sender({"127.0.0.1:0", "wrong key"});
  UdpTransport right_sender({"127.0.0.1:0", "right key"});
  CHECK(!Bound(&unsigned_sender).Send(receiver.address(), MakeEnvelope(1)));
  CHECK(!Bound(&wrong_sender).Send(receiver.address(), MakeEnvelope(2)));
  // The loopback interface keeps the order, so the last datagram arrives last.
  CHECK(!Bound(&right_sender).Send(receiver.address(), MakeEnvelope(3)));
  CHECK(receiver.WaitFor(3) == std::vector<std::uint64_t>{3});
  CHECK(receiver.transport().counters().unsigned_dropped == 2);
}

TEST_CASE("unreadable datagrams are dropped and counted") {
  // For a receiver without a key, a signed datagram has trailing bytes.
  Receiver receiver("");
  UdpTransport sender({"127.0.0.1:0", "key"});
  UdpTransport plain({"127.0.0.1:0", ""});
  CHECK(!Bound(&sender).Send(receiver.address(), MakeEnvelope(1)));
  CHECK(!Bound(&plain).Send(receiver.address(), MakeEnvelope(2)));
  CHECK(receiver.WaitFor(2) == std::vector<std::uint64_t>{2});
  CHECK(receiver.transport().counters().malformed_dropped == 1);
}

TEST_CASE("messages that cannot be sent are reported and counted") {
  UdpTransport sender({"127.0.0.1:0", ""});
  Envelope large = MakeEnvelope(1);
  large.reply_address.assign(kMaximumMessageBytes, 'a');
  CHECK(Bound(&sender).Send("127.0.0.1:9", large) == Error::kInvalidArgument);
  CHECK(sender.Send("nowhere", MakeEnvelope(1)) == Error::kInvalidArgument);
  CHECK(sender.counters().send_failures == 2);
  CHECK(sender.counters().too_long == 1);
  CHECK(sender.counters().messages_sent == 0);
}

TEST_CASE("binding an address in use is an error") {
  Receiver receiver("");
  UdpTransport second({receiver.address(), ""});
  CHECK(second.Bind().error() == Error::kUnavailable);
  UdpTransport malformed({"not an address", ""});
  CHECK(malformed.Bind().error() == Error::kInvalidArgument);
}

}  // namespace
}  // namespace hingespan
