#include "hingespan/transport/fragments.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "hingespan/common/random.h"

namespace hingespan {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

std::string Text(std::size_t size, std::uint64_t seed) {
  Random random(seed);
  std::string text(size, '\0');
  for (char& byte : text) {
    byte = static_cast<char>(random.Below(256));
  }
  return text;
}

struct Fixture {
  Reassembler reassembler{ReassemblyOptions()};
  absl::Time now = kStart;

  std::optional<std::string> AddAll(const std::vector<std::string>& datagrams) {
    std::optional<std::string> last;
    for (const std::string& datagram : datagrams) {
      last = reassembler.Add(datagram, now);
    }
    return last;
  }
};

TEST_CASE_FIXTURE(Fixture,
                  "messages of every length are reassembled from datagrams within the size limit") {
  for (const std::size_t size : {std::size_t{1}, kFragmentPartBytes, kFragmentPartBytes + 1,
                                 std::size_t{20000}, kMaximumMessageBytes}) {
    const std::string text = Text(size, size);
    const std::vector<std::string> datagrams = SplitMessage({1, size}, text);
    CHECK(datagrams.size() == (size + kFragmentPartBytes - 1) / kFragmentPartBytes);
    for (const std::string& datagram : datagrams) {
      CHECK(IsFragment(datagram));
      CHECK(datagram.size() <= kMaximumDatagramBytes);
    }
    CHECK(AddAll(datagrams) == text);
    CHECK(reassembler.empty());
    CHECK(reassembler.held_bytes() == 0);
  }
}

TEST_CASE_FIXTURE(Fixture, "fragments may arrive in any order and repeatedly") {
  const std::string text = Text(10000, 1);
  std::vector<std::string> datagrams = SplitMessage({1, 1}, text);
  std::reverse(datagrams.begin(), datagrams.end());
  const std::string last = datagrams.back();
  datagrams.pop_back();
  CHECK(AddAll(datagrams) == std::nullopt);
  const std::size_t held = reassembler.held_bytes();
  CHECK(AddAll(datagrams) == std::nullopt);
  CHECK(reassembler.held_bytes() == held);
  CHECK(reassembler.Add(last, now) == text);
}

TEST_CASE_FIXTURE(Fixture, "fragments of different senders and messages are not mixed") {
  const std::vector<FragmentedMessageId> ids = {{1, 1}, {1, 2}, {2, 1}, {3, 7}};
  std::vector<std::vector<std::string>> datagrams;
  for (std::size_t index = 0; index < ids.size(); ++index) {
    datagrams.push_back(SplitMessage(ids[index], Text(5000, index)));
  }
  for (std::size_t part = 0; part < datagrams[0].size(); ++part) {
    for (std::size_t index = 0; index < ids.size(); ++index) {
      const std::optional<std::string> whole = reassembler.Add(datagrams[index][part], now);
      CHECK(whole.has_value() == (part + 1 == datagrams[0].size()));
      CHECK((!whole || *whole == Text(5000, index)));
    }
  }
  CHECK(reassembler.counters().completed == ids.size());
}

TEST_CASE_FIXTURE(Fixture, "a message with a lost fragment is dropped after the time limit") {
  std::vector<std::string> datagrams = SplitMessage({1, 1}, Text(5000, 1));
  const std::string late = datagrams[1];
  datagrams.erase(datagrams.begin() + 1);
  CHECK(AddAll(datagrams) == std::nullopt);
  now += ReassemblyOptions().time_limit + absl::Milliseconds(1);
  CHECK(reassembler.Add(late, now) == std::nullopt);
  CHECK(reassembler.counters().incomplete_dropped == 1);
  CHECK(reassembler.held_bytes() == late.size() - kFragmentHeaderBytes);
  now += ReassemblyOptions().time_limit + absl::Milliseconds(1);
  reassembler.Expire(now);
  CHECK(reassembler.empty());
  CHECK(reassembler.held_bytes() == 0);
}

TEST_CASE_FIXTURE(Fixture, "memory is bounded per sender and in total") {
  const ReassemblyOptions options;
  const std::string text = Text(kMaximumMessageBytes, 1);
  const auto add_incomplete = [&](std::uint64_t sender, std::uint64_t message) {
    std::vector<std::string> datagrams = SplitMessage({sender, message}, text);
    datagrams.pop_back();
    AddAll(datagrams);
    now += absl::Microseconds(1);
  };
  const std::vector<std::string> other = SplitMessage({2, 1}, text);
  reassembler.Add(other.front(), now);
  for (std::uint64_t message = 1; message <= 3 * options.messages_per_sender; ++message) {
    add_incomplete(1, message);
  }
  CHECK(reassembler.held_bytes() <= (options.messages_per_sender + 1) * kMaximumMessageBytes);
  CHECK(reassembler.counters().incomplete_dropped == 2 * options.messages_per_sender);
  // The flood of one sender does not displace messages of another.
  CHECK(AddAll({other.begin() + 1, other.end()}) == text);
  for (std::uint64_t sender = 10; sender < 10 + 3 * options.messages; ++sender) {
    add_incomplete(sender, 1);
  }
  CHECK(reassembler.held_bytes() <= options.messages * kMaximumMessageBytes);
}

TEST_CASE_FIXTURE(Fixture, "invalid fragments and fragments that do not match others are dropped") {
  const std::string first = SplitMessage({1, 1}, Text(5000, 1)).front();
  const std::size_t index_at = kFragmentHeaderBytes - 2;
  std::string beyond = first;
  beyond[index_at] = beyond[index_at + 1];
  std::string too_many = first;
  too_many[index_at + 1] = static_cast<char>(kMaximumFragments + 1);
  const std::string empty = first.substr(0, kFragmentHeaderBytes);
  const std::string oversized = first + "x";
  for (const std::string& malformed : {beyond, too_many, empty, oversized, std::string()}) {
    CHECK(reassembler.Add(malformed, now) == std::nullopt);
  }
  CHECK(reassembler.empty());
  reassembler.Add(first, now);
  std::string other_count = first;
  ++other_count[index_at + 1];
  CHECK(reassembler.Add(other_count, now) == std::nullopt);
  CHECK(reassembler.counters().malformed_dropped == 6);
}

}  // namespace
}  // namespace hingespan
