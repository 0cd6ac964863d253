// Sends messages larger than a datagram over real sockets.
#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "hingespan/transport/message_codec.h"
#include "hingespan/transport/udp_transport.h"

namespace hingespan {
namespace {

constexpr absl::Duration kReceiveTimeout = absl::Seconds(20);

Envelope GrantEnvelope(int slots) {
  GrantRecord grant;
  grant.model = ModelName("wide-model");
  for (int number = 0; number < slots; ++number) {
    GrantSlot slot;
    slot.zone = ZoneId(absl::StrCat("zone-", number % 3));
    slot.worker = WorkerId(absl::StrCat("zone-", number % 3, "-w", number));
    slot.generation = GrantGeneration(100 + number);
    grant.slots.push_back(slot);
  }
  RecordChanges changes;
  changes.through = TableRevision(1);
  changes.latest = TableRevision(1);
  changes.changes.push_back({GrantKey(grant.model), TableRevision(1), grant});
  Envelope envelope;
  envelope.from = NodeId("n1");
  envelope.from_incarnation = NodeIncarnation(3);
  envelope.from_zone = ZoneId("zone-1");
  envelope.message = changes;
  return envelope;
}

// Receives envelopes and returns the latest one, once one has arrived.
class Receiver {
 public:
  explicit Receiver(const std::string& key) : transport_({"127.0.0.1:0", key}) {
    address_ = *transport_.Bind();
    transport_.Start([this](const Envelope& envelope) {
      absl::MutexLock lock(&mutex_);
      envelope_ = envelope;
    });
  }
  ~Receiver() { transport_.Stop(); }

  std::optional<Envelope> Wait() {
    absl::MutexLock lock(&mutex_);
    const auto has_arrived = [&] { return envelope_.has_value(); };
    mutex_.AwaitWithTimeout(absl::Condition(&has_arrived), kReceiveTimeout);
    return envelope_;
  }
  const std::string& address() const { return address_; }

 private:
  absl::Mutex mutex_;
  std::optional<Envelope> envelope_;
  std::string address_;
  UdpTransport transport_;
};

TEST_CASE("a grant record larger than a datagram arrives complete") {
  for (const int slots : {60, 600}) {
    for (const char* key : {"", "cluster key"}) {
      const Envelope sent = GrantEnvelope(slots);
      REQUIRE(EncodeEnvelope(sent).size() > kMaximumDatagramBytes);
      Receiver receiver(key);
      UdpTransport sender({"127.0.0.1:0", key});
      REQUIRE(sender.Bind().ok());
      REQUIRE(!sender.Send(receiver.address(), sent));
      const std::optional<Envelope> arrived = receiver.Wait();
      REQUIRE(arrived.has_value());
      CHECK(EncodeEnvelope(*arrived) == EncodeEnvelope(sent));
    }
  }
}

}  // namespace
}  // namespace hingespan
