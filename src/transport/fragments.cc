#include "hingespan/transport/fragments.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace hingespan {
namespace {

// CBOR's "break" byte, with which no envelope can begin.
constexpr char kMarker = '\xff';
constexpr std::size_t kNumberBytes = 8;

void AppendNumber(std::uint64_t number, std::string* bytes) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes->push_back(static_cast<char>((number >> shift) & 0xff));
  }
}

std::uint64_t ReadNumber(std::string_view bytes) {
  std::uint64_t number = 0;
  for (const char byte : bytes.substr(0, kNumberBytes)) {
    number = (number << 8) | static_cast<std::uint8_t>(byte);
  }
  return number;
}

struct Fragment {
  FragmentedMessageId id;
  std::size_t index = 0;
  std::size_t count = 0;
  std::string_view part;
};

std::optional<Fragment> ParseFragment(std::string_view datagram) {
  if (!IsFragment(datagram) || datagram.size() <= kFragmentHeaderBytes ||
      datagram.size() > kMaximumDatagramBytes) {
    return std::nullopt;
  }
  Fragment fragment;
  fragment.id.sender = ReadNumber(datagram.substr(1));
  fragment.id.message = ReadNumber(datagram.substr(1 + kNumberBytes));
  fragment.index = static_cast<std::uint8_t>(datagram[kFragmentHeaderBytes - 2]);
  fragment.count = static_cast<std::uint8_t>(datagram[kFragmentHeaderBytes - 1]);
  fragment.part = datagram.substr(kFragmentHeaderBytes);
  if (fragment.count > kMaximumFragments || fragment.index >= fragment.count) {
    return std::nullopt;
  }
  return fragment;
}

}  // namespace

std::vector<std::string> SplitMessage(const FragmentedMessageId& id, std::string_view message) {
  const std::size_t count = (message.size() + kFragmentPartBytes - 1) / kFragmentPartBytes;
  std::vector<std::string> datagrams;
  datagrams.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    std::string& datagram = datagrams.emplace_back(1, kMarker);
    AppendNumber(id.sender, &datagram);
    AppendNumber(id.message, &datagram);
    datagram.push_back(static_cast<char>(index));
    datagram.push_back(static_cast<char>(count));
    datagram.append(message.substr(index * kFragmentPartBytes, kFragmentPartBytes));
  }
  return datagrams;
}

bool IsFragment(std::string_view datagram) {
  return !datagram.empty() && datagram.front() == kMarker;
}

std::optional<std::string> Reassembler::Add(std::string_view datagram, absl::Time now) {
  Expire(now);
  const std::optional<Fragment> fragment = ParseFragment(datagram);
  if (!fragment) {
    ++counters_.malformed_dropped;
    return std::nullopt;
  }
  Incomplete* const message = FindOrStart(fragment->id, fragment->count, now);
  if (message == nullptr) {
    ++counters_.malformed_dropped;
    return std::nullopt;
  }
  if (!message->parts.try_emplace(fragment->index, fragment->part).second) {
    return std::nullopt;
  }
  message->bytes += fragment->part.size();
  held_bytes_ += fragment->part.size();
  if (message->parts.size() < message->count) {
    return std::nullopt;
  }
  std::string whole;
  whole.reserve(message->bytes);
  for (const auto& [index, part] : message->parts) {
    whole.append(part);
  }
  held_bytes_ -= message->bytes;
  incomplete_.erase(fragment->id);
  ++counters_.completed;
  return whole;
}

Reassembler::Incomplete* Reassembler::FindOrStart(const FragmentedMessageId& id, std::size_t count,
                                                  absl::Time now) {
  const auto held = incomplete_.find(id);
  if (held != incomplete_.end()) {
    return held->second.count == count ? &held->second : nullptr;
  }
  MakeRoom(id.sender);
  Incomplete& message = incomplete_[id];
  message.started_at = now;
  message.count = count;
  return &message;
}

void Reassembler::MakeRoom(std::uint64_t sender) {
  const auto first = incomplete_.lower_bound(FragmentedMessageId{sender, 0});
  auto end = first;
  std::size_t of_sender = 0;
  for (; end != incomplete_.end() && end->first.sender == sender; ++end) {
    ++of_sender;
  }
  if (of_sender >= options_.messages_per_sender) {
    DropOldest(first, end);
  } else if (incomplete_.size() >= options_.messages) {
    DropOldest(incomplete_.begin(), incomplete_.end());
  }
}

void Reassembler::DropOldest(Messages::iterator begin, Messages::iterator end) {
  const auto is_older = [](const auto& left, const auto& right) {
    return left.second.started_at < right.second.started_at;
  };
  Drop(std::min_element(begin, end, is_older));
}

void Reassembler::Drop(Messages::iterator message) {
  held_bytes_ -= message->second.bytes;
  ++counters_.incomplete_dropped;
  incomplete_.erase(message);
}

void Reassembler::Expire(absl::Time now) {
  for (auto message = incomplete_.begin(); message != incomplete_.end();) {
    const auto next = std::next(message);
    if (now - message->second.started_at <= options_.time_limit) {
      message = next;
      continue;
    }
    held_bytes_ -= message->second.bytes;
    ++counters_.incomplete_dropped;
    message = incomplete_.erase(message);
  }
}

}  // namespace hingespan
