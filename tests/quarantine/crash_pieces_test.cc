#include "hingespan/fleet/crash_pieces.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {
namespace {

constexpr std::size_t kPacket = 1400;

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

CrashNotice NoticeOf(int parts, int requests, const std::string& node = "10.20.30.40:45678") {
  CrashNotice notice{"worker-101", "models", {}, node, {}};
  for (int number = 0; number < parts; ++number) {
    notice.parts.insert(absl::StrCat("0123456789abcdef-", number));
  }
  for (int number = 0; number < requests; ++number) {
    notice.requests.insert(~RequestContent{0} - static_cast<RequestContent>(number));
  }
  return notice;
}

// Guards against parts or requests that are told to no other node (BUDGET), and against datagrams
// of several packets.
TEST_CASE("a notice is split into pieces that fit into a packet and have all of it") {
  for (const int parts : {0, 1, 26, 30, 400, 2048}) {
    for (const int requests : {0, 1, 48, 49, 512}) {
      CAPTURE(parts);
      CAPTURE(requests);
      const CrashNotice whole = NoticeOf(parts, requests);
      CrashNotice sum = NoticeOf(0, 0);
      const std::vector<CrashNotice> pieces = SplitNotice(whole);
      CHECK((pieces.size() == 1) == (parts <= 26 && requests <= 48));
      for (const CrashNotice& piece : pieces) {
        const auto decoded = DecodeFleetMessage(EncodeFleetMessage(piece));
        REQUIRE(decoded.has_value());
        const auto& same = std::get<CrashNotice>(*decoded);
        CHECK(same.piece == piece.piece);
        CHECK(same.pieces == static_cast<int>(pieces.size()));
        sum.parts.insert(same.parts.begin(), same.parts.end());
        sum.requests.insert(same.requests.begin(), same.requests.end());
        CHECK(EncodeFleetMessage(piece).size() <= kPacket);
      }
      CHECK(sum.parts == whole.parts);
      CHECK(sum.requests == whole.requests);
    }
  }
}

TEST_CASE("the pieces of a notice are returned together, once") {
  CrashPieces pieces;
  const CrashNotice whole = NoticeOf(100, 0);
  const std::vector<CrashNotice> split = SplitNotice(whole);
  REQUIRE(split.size() > 2);
  int returned = 0;
  // Three rounds, of which the first loses a piece.
  for (int round = 0; round < 3; ++round) {
    for (std::size_t index = 0; index < split.size(); ++index) {
      if (round == 0 && index == 1) {
        continue;
      }
      const auto notice = pieces.Add(split[index], At(0.15 * round));
      if (notice.has_value()) {
        ++returned;
        CHECK(round == 1);
        CHECK(notice->parts == whole.parts);
      }
    }
  }
  CHECK(returned == 1);
  CHECK(pieces.NextOverdue() == At(1));
  CHECK(pieces.TakeOverdue(At(1)).empty());
  CHECK(pieces.NextOverdue() == absl::InfiniteFuture());
}

// Guards against crashes of several nodes' prompts at one worker that seem to be of one prompt: a
// quarantine of sound parts would be confirmed by them (LOST).
TEST_CASE("what two nodes tell of a worker is not put together") {
  CrashPieces pieces;
  const std::vector<CrashNotice> first = SplitNotice(NoticeOf(100, 0, "10.0.0.1:1"));
  const std::vector<CrashNotice> second = SplitNotice(NoticeOf(100, 0, "10.0.0.2:1"));
  CHECK(!pieces.Add(first[0], At(0)).has_value());
  for (std::size_t index = 1; index < second.size(); ++index) {
    CHECK(!pieces.Add(second[index], At(0)).has_value());
  }
}

TEST_CASE("a notice of which a piece is lost for good counts with what has come") {
  CrashPieces pieces;
  const std::vector<CrashNotice> split = SplitNotice(NoticeOf(100, 0));
  CHECK(!pieces.Add(split[0], At(0)).has_value());
  CHECK(!pieces.Add(split[2], At(0.3)).has_value());
  CHECK(pieces.TakeOverdue(At(0.9)).empty());
  const std::vector<CrashNotice> overdue = pieces.TakeOverdue(At(1));
  REQUIRE(overdue.size() == 1);
  CHECK(overdue[0].parts.size() == split[0].parts.size() + split[2].parts.size());
}

// Guards against memory that peers' notices fill.
TEST_CASE("notices that are not whole are bounded") {
  CrashPieces pieces;
  CrashNotice piece = SplitNotice(NoticeOf(100, 0))[0];
  for (int number = 0; number < 5000; ++number) {
    piece.worker_id = absl::StrCat("w", number);
    CHECK(!pieces.Add(piece, At(0.0001 * number)).has_value());
  }
  CHECK(pieces.TakeOverdue(At(10)).size() <= 256);
}

}  // namespace
}  // namespace hingespan::gateway
