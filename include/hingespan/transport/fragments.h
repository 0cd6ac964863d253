// Splits messages larger than a datagram into fragments, each a datagram of its own. The loss of
// one fragment loses the message. Nothing is retransmitted, as every protocol above tolerates lost
// messages.
//
// Layout of a fragment: marker (1 byte, with which no envelope begins), sender (8), message (8),
// index (1), count (1), then its part of the message. Numbers are big-endian.
#ifndef HINGESPAN_TRANSPORT_FRAGMENTS_H_
#define HINGESPAN_TRANSPORT_FRAGMENTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "hingespan/transport/message.h"

namespace hingespan {

inline constexpr std::size_t kFragmentHeaderBytes = 19;
inline constexpr std::size_t kFragmentPartBytes = kMaximumDatagramBytes - kFragmentHeaderBytes;
inline constexpr std::size_t kMaximumFragments =
    (kMaximumMessageBytes + kFragmentPartBytes - 1) / kFragmentPartBytes;

// Identifies a message among all that are in flight.
struct FragmentedMessageId {
  // Random for each transport, as source addresses may be shared or change in transit.
  std::uint64_t sender = 0;
  std::uint64_t message = 0;

  friend auto operator<=>(const FragmentedMessageId&, const FragmentedMessageId&) = default;
};

// Returns the datagrams that carry `message`, in order. `message` has at most kMaximumMessageBytes.
std::vector<std::string> SplitMessage(const FragmentedMessageId& id, std::string_view message);
bool IsFragment(std::string_view datagram);

struct ReassemblyOptions {
  // Maximum numbers of incomplete messages. With kMaximumMessageBytes each, they bound the memory.
  std::size_t messages_per_sender = 8;
  std::size_t messages = 64;
  // Time after its first fragment at which an incomplete message is dropped.
  absl::Duration time_limit = absl::Seconds(2);
};

struct ReassemblyCounters {
  std::uint64_t completed = 0;
  // Incomplete messages that were dropped because of their age or to make room.
  std::uint64_t incomplete_dropped = 0;
  // Fragments that are invalid or do not match the others of their message.
  std::uint64_t malformed_dropped = 0;
};

// Reassembles messages from fragments. Not thread-safe.
class Reassembler {
 public:
  explicit Reassembler(ReassemblyOptions options) : options_(options) {}

  // Adds one fragment and returns the message that it completes. A repeated fragment is ignored
  // while its message is incomplete. When a limit is reached, the oldest incomplete message (of the
  // same sender, or of all) is dropped.
  std::optional<std::string> Add(std::string_view datagram, absl::Time now);
  // Drops messages older than the time limit.
  void Expire(absl::Time now);

  bool empty() const { return incomplete_.empty(); }
  // Bytes of stored message parts.
  std::size_t held_bytes() const { return held_bytes_; }
  const ReassemblyCounters& counters() const { return counters_; }

 private:
  struct Incomplete {
    absl::Time started_at;
    std::size_t count = 0;
    std::size_t bytes = 0;
    absl::btree_map<std::size_t, std::string> parts;
  };
  using Messages = absl::btree_map<FragmentedMessageId, Incomplete>;

  // Returns null if the fragment does not match the others of its message.
  Incomplete* FindOrStart(const FragmentedMessageId& id, std::size_t count, absl::Time now);
  void MakeRoom(std::uint64_t sender);
  void DropOldest(Messages::iterator begin, Messages::iterator end);
  void Drop(Messages::iterator message);

  ReassemblyOptions options_;
  ReassemblyCounters counters_;
  Messages incomplete_;
  std::size_t held_bytes_ = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_TRANSPORT_FRAGMENTS_H_
