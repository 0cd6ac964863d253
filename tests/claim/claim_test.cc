#include <doctest/doctest.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "hingespan/claim/claim_owner.h"
#include "hingespan/claim/claimant.h"
#include "hingespan/claim/key_time.h"
#include "hingespan/table/record_codec.h"
#include "tests/claim/claim_simulation.h"

namespace hingespan {
namespace {

constexpr std::uint64_t kStartMs = 1800000000000;
const absl::Time kNow = absl::UnixEpoch();
const NodeIncarnation kFirstIncarnation(1);

absl::Time Wall(std::int64_t offset_ms) {
  return absl::FromUnixMillis(static_cast<std::int64_t>(kStartMs) + offset_ms);
}

// --- Keys ---------------------------------------------------------------------------------------

TEST_CASE("a new key carries its time") {
  Random random(1);
  for (const std::int64_t offset_ms : {0, 1, 999999}) {
    const IdempotencyKey key = MakeKey(Wall(offset_ms), &random);
    CHECK(KeyTimeMs(key) == kStartMs + static_cast<std::uint64_t>(offset_ms));
    CHECK(MakeKey(Wall(offset_ms), &random) != key);
  }
}

TEST_CASE("only a UUID of version 7 carries a time") {
  CHECK(KeyTimeMs(IdempotencyKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")) == 0x017f22e279b0);
  CHECK(KeyTimeMs(IdempotencyKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F")) == 0x017f22e279b0);
  for (const char* text :
       {"", "k", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0",
        "017f22e2x79b0-7cc3-98c4-dc0c0c07398f"}) {
    CHECK_FALSE(KeyTimeMs(IdempotencyKey(text)).has_value());
  }
}

TEST_CASE("range numbers are below the range count") {
  Random random(2);
  for (int round = 0; round < 100; ++round) {
    CHECK(RangeOf(MakeKey(Wall(0), &random), 7).value() < 7);
  }
}

// --- Owners of one range ------------------------------------------------------------------------

// There is one range. Platform calls are executed, and the record store is synchronized, only on
// Commit.
struct ClaimFixture {
  ClaimFixture() { options.range_count = 1; }

  ClaimOwner MakeOwner(const std::string& node, NodeIncarnation incarnation) {
    return ClaimOwner(NodeId(node), incarnation, ZoneId("z1"), options, &store, 1);
  }

  // Executes the calls and synchronizes the record store; returns the number of calls.
  std::size_t Commit(Outbox* outbox) {
    const std::size_t count = outbox->platform_calls.size();
    for (const PlatformCall& call : outbox->platform_calls) {
      platform.Commit(std::get<Transaction>(call.request));
    }
    outbox->platform_calls.clear();
    platform.Sync(100, &store);
    return count;
  }

  std::size_t Extend(ClaimOwner* owner, std::int64_t offset_ms) {
    Outbox outbox;
    owner->Tick({KeyRangeId(0)}, Wall(offset_ms), kNow + absl::Milliseconds(offset_ms), &outbox);
    return Commit(&outbox);
  }

  ClaimOutcome Claim(ClaimOwner* owner, const IdempotencyKey& key, const std::string& attempt,
                     std::int64_t wall_offset_ms = 0) {
    return owner->Claim({key, *KeyTimeMs(key), KeyRangeId(0), RequestId(attempt)},
                        Wall(wall_offset_ms));
  }

  IdempotencyKey Key(std::int64_t offset_ms) { return MakeKey(Wall(offset_ms), &random); }

  const ClaimRangeRecord& Record() const { return *store.FindClaimRange(KeyRangeId(0)); }

  ClaimOptions options;
  FakePlatform platform;
  RecordStore store;
  Random random{3};
};

TEST_CASE("the first attempt is granted repeatedly, and no other attempt") {
  ClaimFixture fixture;
  ClaimOwner owner = fixture.MakeOwner("n1", kFirstIncarnation);
  const IdempotencyKey key = fixture.Key(0);
  CHECK(fixture.Claim(&owner, key, "a") == ClaimOutcome::kNotOwner);
  REQUIRE(fixture.Extend(&owner, 0) == 1);
  CHECK(fixture.Claim(&owner, key, "a") == ClaimOutcome::kGranted);
  CHECK(fixture.Claim(&owner, key, "b") == ClaimOutcome::kAlreadyClaimed);
  CHECK(fixture.Claim(&owner, key, "a") == ClaimOutcome::kGranted);
  CHECK(owner.claim_count() == 1);
}

TEST_CASE("a released key can be claimed by another attempt, but not by the released one") {
  ClaimFixture fixture;
  ClaimOwner owner = fixture.MakeOwner("n1", kFirstIncarnation);
  fixture.Extend(&owner, 0);
  const IdempotencyKey key = fixture.Key(0);
  const ClaimRelease release{key, *KeyTimeMs(key), KeyRangeId(0), RequestId("a")};
  CHECK(fixture.Claim(&owner, key, "a") == ClaimOutcome::kGranted);
  owner.Release(release);
  CHECK(fixture.Claim(&owner, key, "a") == ClaimOutcome::kAlreadyClaimed);
  CHECK(fixture.Claim(&owner, key, "b") == ClaimOutcome::kGranted);
  // A duplicated release does not free the key of the new holder.
  owner.Release(release);
  CHECK(fixture.Claim(&owner, key, "c") == ClaimOutcome::kAlreadyClaimed);
}

TEST_CASE("a new incarnation of a node does not own the intervals of the earlier one") {
  ClaimFixture fixture;
  ClaimOwner owner = fixture.MakeOwner("n1", kFirstIncarnation);
  fixture.Extend(&owner, 0);
  const IdempotencyKey key = fixture.Key(0);
  REQUIRE(fixture.Claim(&owner, key, "a") == ClaimOutcome::kGranted);
  ClaimOwner restarted = fixture.MakeOwner("n1", kFirstIncarnation.Next());
  CHECK(fixture.Claim(&restarted, key, "b") == ClaimOutcome::kNotOwner);
}

TEST_CASE("a request whose time or range does not match its key is refused") {
  ClaimFixture fixture;
  ClaimOwner owner = fixture.MakeOwner("n1", kFirstIncarnation);
  fixture.Extend(&owner, 0);
  const IdempotencyKey key = fixture.Key(0);
  CHECK(owner.Claim({key, kStartMs + 1, KeyRangeId(0), RequestId("a")}, Wall(0)) ==
        ClaimOutcome::kNotOwner);
  CHECK(owner.Claim({key, kStartMs, KeyRangeId(1), RequestId("a")}, Wall(0)) ==
        ClaimOutcome::kNotOwner);
}

TEST_CASE("old and future keys are refused, also after the clock jumps back") {
  ClaimFixture fixture;
  ClaimOwner owner = fixture.MakeOwner("n1", kFirstIncarnation);
  fixture.Extend(&owner, 0);
  const std::int64_t skew_ms = absl::ToInt64Milliseconds(fixture.options.future_skew);
  const std::int64_t remember_ms = absl::ToInt64Milliseconds(fixture.options.remember);
  CHECK(fixture.Claim(&owner, fixture.Key(skew_ms), "a") == ClaimOutcome::kGranted);
  CHECK(fixture.Claim(&owner, fixture.Key(skew_ms + 1), "b") == ClaimOutcome::kOutOfTime);
  const IdempotencyKey key = fixture.Key(0);
  REQUIRE(fixture.Claim(&owner, key, "c") == ClaimOutcome::kGranted);
  CHECK(fixture.Claim(&owner, key, "d", remember_ms + 1) == ClaimOutcome::kOutOfTime);
  CHECK(fixture.Claim(&owner, key, "d", 0) == ClaimOutcome::kOutOfTime);
}

TEST_CASE("ownership is extended in whole intervals once half of it is used") {
  ClaimFixture fixture;
  ClaimOwner owner = fixture.MakeOwner("n1", kFirstIncarnation);
  REQUIRE(fixture.Extend(&owner, 3000) == 1);
  const std::uint64_t ahead_ms = absl::ToInt64Milliseconds(fixture.options.ahead);
  const std::uint64_t interval_ms = absl::ToInt64Milliseconds(fixture.options.interval);
  CHECK(fixture.Record().segments.front().from_ms == kStartMs);
  CHECK(fixture.Record().until_ms == kStartMs + ahead_ms + interval_ms);
  CHECK(fixture.Extend(&owner, static_cast<std::int64_t>(ahead_ms / 2)) == 0);
  CHECK(fixture.Extend(&owner, static_cast<std::int64_t>(ahead_ms / 2 + interval_ms + 1)) == 1);
  CHECK(fixture.Record().segments.size() == 1);
}

TEST_CASE("a successor gets only key time that had no owner") {
  ClaimFixture fixture;
  ClaimOwner owner = fixture.MakeOwner("n1", kFirstIncarnation);
  ClaimOwner successor = fixture.MakeOwner("n2", kFirstIncarnation);
  fixture.Extend(&owner, 0);
  const std::uint64_t end_ms = fixture.Record().until_ms;
  // After a gap in which no node extended the range, the gap belongs to the successor.
  const std::int64_t later_ms = absl::ToInt64Milliseconds(fixture.options.ahead) + 60000;
  REQUIRE(fixture.Extend(&successor, later_ms) == 1);
  REQUIRE(fixture.Record().segments.size() == 2);
  CHECK(fixture.Record().segments[1].from_ms == end_ms);
  CHECK(fixture.Claim(&successor, fixture.Key(0), "a", later_ms) == ClaimOutcome::kNotOwner);
  CHECK(fixture.Claim(&owner, fixture.Key(0), "b", later_ms) == ClaimOutcome::kGranted);
  // Segments are dropped once all their keys are refused.
  const std::int64_t much_later_ms = 2 * absl::ToInt64Milliseconds(fixture.options.remember);
  REQUIRE(fixture.Extend(&successor, much_later_ms) == 1);
  CHECK(fixture.Record().segments.size() == 1);
}

TEST_CASE("when two nodes extend a range at once, one transaction is committed") {
  ClaimFixture fixture;
  ClaimOwner first = fixture.MakeOwner("n1", kFirstIncarnation);
  ClaimOwner second = fixture.MakeOwner("n2", kFirstIncarnation);
  Outbox outbox;
  first.Tick({KeyRangeId(0)}, Wall(0), kNow, &outbox);
  second.Tick({KeyRangeId(0)}, Wall(0), kNow, &outbox);
  REQUIRE(fixture.Commit(&outbox) == 2);
  REQUIRE(fixture.Record().segments.size() == 1);
  CHECK(fixture.Record().segments[0].owner == NodeId("n1"));
}

TEST_CASE("a stopping owner returns its future intervals, also if the first write is lost") {
  ClaimFixture fixture;
  ClaimOwner owner = fixture.MakeOwner("n1", kFirstIncarnation);
  fixture.Extend(&owner, 0);
  // The key is issued in the future, so its interval counts as begun.
  const IdempotencyKey early = fixture.Key(25000);
  REQUIRE(fixture.Claim(&owner, early, "a") == ClaimOutcome::kGranted);
  Outbox lost;
  owner.GiveBack(Wall(0), kNow, &lost);
  CHECK(lost.platform_calls.size() == 1);
  CHECK(fixture.Claim(&owner, fixture.Key(30000), "b") == ClaimOutcome::kNotOwner);
  REQUIRE(fixture.Extend(&owner, 5000) == 1);
  CHECK(fixture.Record().until_ms == kStartMs + 30000);
  CHECK(owner.owned_until_ms() == kStartMs + 30000);
  ClaimOwner successor = fixture.MakeOwner("n2", kFirstIncarnation);
  REQUIRE(fixture.Extend(&successor, 5000) == 1);
  CHECK(fixture.Claim(&successor, early, "c", 5000) == ClaimOutcome::kNotOwner);
  CHECK(fixture.Claim(&successor, fixture.Key(30000), "d", 5000) == ClaimOutcome::kGranted);
}

// --- Claimant -----------------------------------------------------------------------------------

struct ClaimantFixture : ClaimFixture {
  ClaimantFixture() : local_owner(MakeOwner("n1", kFirstIncarnation)) {}

  void Begin(const IdempotencyKey& key, Outbox* outbox) {
    claimant.Begin(RequestId("r"), key, kNow + absl::Seconds(1), Wall(0), kNow, outbox);
  }
  void Answer(const PlatformCall& call, PlatformAnswer answer, Outbox* outbox) {
    answer.call = call.call;
    answer.owner = call.owner;
    claimant.HandleAnswer(answer, kNow, outbox);
  }
  // Returns the verdict of the only decision; kUndecided also if there is none.
  ClaimVerdict Verdict() {
    const std::vector<ClaimDecision> decisions = claimant.TakeDecisions();
    return decisions.size() == 1 ? decisions[0].verdict : ClaimVerdict::kUndecided;
  }

  ClaimOwner local_owner;
  Claimant claimant{NodeId("n1"), kFirstIncarnation, options, &store, &local_owner};
};

TEST_CASE("a node that owns the key decides immediately") {
  ClaimantFixture fixture;
  fixture.Extend(&fixture.local_owner, 0);
  Outbox outbox;
  fixture.Begin(fixture.Key(0), &outbox);
  CHECK(outbox.messages.empty());
  CHECK(fixture.Verdict() == ClaimVerdict::kGranted);
  fixture.claimant.Begin(RequestId("r2"), fixture.Key(-20000), kNow + absl::Seconds(1), Wall(0),
                         kNow, &outbox);
  CHECK(fixture.Verdict() == ClaimVerdict::kOutOfTime);
}

TEST_CASE("the request to the owner is repeated until the deadline, then the attempt is released") {
  ClaimantFixture fixture;
  ClaimOwner remote = fixture.MakeOwner("n2", kFirstIncarnation);
  fixture.Extend(&remote, 0);
  Outbox outbox;
  fixture.Begin(fixture.Key(0), &outbox);
  for (int tick = 1; tick <= 50; ++tick) {
    fixture.claimant.Tick(kNow + tick * absl::Milliseconds(20), Wall(0), &outbox);
  }
  REQUIRE(outbox.messages.size() == 11);
  CHECK(outbox.messages[9].to == NodeId("n2"));
  CHECK(std::holds_alternative<ClaimRequest>(outbox.messages[9].message));
  CHECK(std::holds_alternative<ClaimRelease>(outbox.messages[10].message));
  CHECK(fixture.claimant.TakeDecisions().size() == 1);
  // A late grant is ignored, and the owner refuses the late request.
  const auto request = std::get<ClaimRequest>(outbox.messages[0].message);
  remote.Release(std::get<ClaimRelease>(outbox.messages[10].message));
  CHECK(remote.Claim(request, Wall(0)) == ClaimOutcome::kAlreadyClaimed);
  fixture.claimant.HandleReply({request.key, request.attempt, ClaimOutcome::kGranted});
  CHECK(fixture.claimant.TakeDecisions().empty());
}

TEST_CASE("after kNotOwner the current owner is asked") {
  ClaimantFixture fixture;
  ClaimOwner second = fixture.MakeOwner("n3", kFirstIncarnation);
  Outbox outbox;
  const IdempotencyKey key = fixture.Key(0);
  // There is no record yet, so no owner is known.
  fixture.Begin(key, &outbox);
  CHECK(outbox.messages.empty());
  fixture.Extend(&second, 0);
  fixture.claimant.Tick(kNow + absl::Milliseconds(100), Wall(0), &outbox);
  REQUIRE(outbox.messages.size() == 1);
  const auto request = std::get<ClaimRequest>(outbox.messages[0].message);
  fixture.claimant.HandleReply({key, request.attempt, ClaimOutcome::kNotOwner});
  fixture.claimant.Tick(kNow + absl::Milliseconds(300), Wall(0), &outbox);
  CHECK(outbox.messages.size() == 1);
  fixture.claimant.Tick(kNow + absl::Milliseconds(400), Wall(0), &outbox);
  CHECK(outbox.messages.size() == 2);
  // The same request id from another incarnation of this node is another attempt.
  fixture.claimant.HandleReply({key, RequestId("r@n1/2"), ClaimOutcome::kGranted});
  CHECK(fixture.claimant.TakeDecisions().empty());
  fixture.claimant.HandleReply({key, request.attempt, ClaimOutcome::kGranted});
  CHECK(fixture.Verdict() == ClaimVerdict::kGranted);
}

TEST_CASE("for a key without a time, a lost answer is resolved by a read") {
  for (const bool took_effect : {true, false}) {
    ClaimantFixture fixture;
    Outbox outbox;
    fixture.Begin(IdempotencyKey("plain"), &outbox);
    REQUIRE(outbox.platform_calls.size() == 1);
    const PlatformCall insert = outbox.platform_calls[0];
    CHECK(std::get<Transaction>(insert.request).preconditions[0].key == "keys/plain");
    if (took_effect) {
      fixture.platform.Commit(std::get<Transaction>(insert.request));
    }
    PlatformAnswer lost;
    lost.error = Error::kAnswerLost;
    fixture.Answer(insert, lost, &outbox);
    fixture.claimant.Tick(kNow + absl::Milliseconds(100), Wall(0), &outbox);
    REQUIRE(outbox.platform_calls.size() == 2);
    PlatformAnswer read;
    read.value = fixture.platform.Read(std::get<ReadCall>(outbox.platform_calls[1].request).key);
    fixture.Answer(outbox.platform_calls[1], read, &outbox);
    if (!took_effect) {
      CHECK(fixture.claimant.TakeDecisions().empty());
      fixture.claimant.Tick(kNow + absl::Milliseconds(100), Wall(0), &outbox);
      REQUIRE(outbox.platform_calls.size() == 3);
      PlatformAnswer again;
      again.value =
          fixture.platform.Commit(std::get<Transaction>(outbox.platform_calls[2].request));
      fixture.Answer(outbox.platform_calls[2], again, &outbox);
    }
    CHECK(fixture.Verdict() == ClaimVerdict::kGranted);
  }
}

TEST_CASE("a key without a time that another attempt holds is refused") {
  ClaimantFixture fixture;
  fixture.platform.Commit({{}, {{"keys/plain", "other"}}});
  Outbox outbox;
  fixture.Begin(IdempotencyKey("plain"), &outbox);
  PlatformAnswer answer;
  answer.value = fixture.platform.Commit(std::get<Transaction>(outbox.platform_calls[0].request));
  fixture.Answer(outbox.platform_calls[0], answer, &outbox);
  CHECK(fixture.Verdict() == ClaimVerdict::kAlreadyClaimed);
}

TEST_CASE(
    "a key without a time is undecided while the platform is down, and a late insert is deleted") {
  ClaimantFixture fixture;
  Outbox outbox;
  fixture.Begin(IdempotencyKey("plain"), &outbox);
  fixture.claimant.Tick(kNow + absl::Seconds(1), Wall(0), &outbox);
  const std::vector<ClaimDecision> decisions = fixture.claimant.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].verdict == ClaimVerdict::kUndecided);
  PlatformAnswer late;
  late.value = fixture.platform.Commit(std::get<Transaction>(outbox.platform_calls[0].request));
  fixture.Answer(outbox.platform_calls[0], late, &outbox);
  REQUIRE(outbox.platform_calls.size() == 2);
  // Only the value that was read may be deleted: another attempt may have claimed the key since.
  const auto removal = std::get<Transaction>(outbox.platform_calls[1].request);
  REQUIRE(removal.preconditions.size() == 1);
  CHECK(removal.preconditions[0].revision == fixture.platform.Read("keys/plain").revision);
  CHECK(fixture.platform.Commit(removal).committed);
  CHECK_FALSE(fixture.platform.Read("keys/plain").value.has_value());
}

TEST_CASE("a cancelled claim is released and gets no decision") {
  ClaimantFixture fixture;
  ClaimOwner remote = fixture.MakeOwner("n2", kFirstIncarnation);
  fixture.Extend(&remote, 0);
  Outbox outbox;
  fixture.Begin(fixture.Key(0), &outbox);
  fixture.claimant.Forget(RequestId("r"));
  fixture.claimant.Tick(kNow, Wall(0), &outbox);
  REQUIRE(outbox.messages.size() == 2);
  CHECK(std::holds_alternative<ClaimRelease>(outbox.messages[1].message));
  CHECK(fixture.claimant.TakeDecisions().empty());
}

}  // namespace
}  // namespace hingespan
