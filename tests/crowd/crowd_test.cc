// Tests of crowds of clients that don't behave: a node stays within its machine's memory, and
// ordinary callers still get answers.
#include <doctest/doctest.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "tests/crowd/crowd_world.h"

namespace hingespan::crowd {
namespace {

constexpr std::size_t kPieceBytes = 16 * 1024;
constexpr std::size_t kMegabyte = 1024 * 1024;

std::string Chunk(std::size_t bytes) {
  return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, 'b'), "\r\n");
}

std::string ChunkedHead() {
  return absl::StrCat(RequestHeadText("crowd"), "Transfer-Encoding: chunked\r\n\r\n");
}

std::string LengthHead(std::size_t bytes) {
  return absl::StrCat(RequestHeadText("crowd"), "Content-Length: ", bytes, "\r\n\r\n");
}

// A body of the most that is allowed, without its last byte.
CrowdScript BodyShortOfItsEnd() {
  CrowdScript script;
  script.head = LengthHead(kMaxBodyBytes);
  script.piece = std::string(kPieceBytes, 'b');
  script.pieces = kMaxBodyBytes / kPieceBytes - 1;
  script.tail = std::string(kPieceBytes - 1, 'b');
  return script;
}

// Chunks that come to `total` bytes, without the end of the body.
CrowdScript ChunksShortOfTheirEnd(std::size_t chunk_bytes, std::size_t total) {
  CrowdScript script;
  script.head = ChunkedHead();
  const std::string chunk = Chunk(chunk_bytes);
  const std::size_t chunks_a_piece = std::max<std::size_t>(1, kPieceBytes / chunk.size());
  for (std::size_t number = 0; number < chunks_a_piece; ++number) {
    script.piece += chunk;
  }
  script.pieces = total / (chunks_a_piece * chunk_bytes);
  return script;
}

}  // namespace

TEST_CASE("a crowd of bodies short of their end") {
  CrowdWorld world;
  world.SendCrowd(150, BodyShortOfItsEnd());
  world.CheckSound();
}

TEST_CASE("a crowd of bodies in large chunks, short of their end") {
  CrowdWorld world;
  world.SendCrowd(150, ChunksShortOfTheirEnd(200 * 1000, kMaxBodyBytes));
  world.CheckSound();
}

TEST_CASE("a crowd of bodies in chunks of one byte, short of their end") {
  CrowdWorld world;
  world.SendCrowd(300, ChunksShortOfTheirEnd(1, 150 * 1000));
  world.CheckSound();
}

TEST_CASE("a crowd of bodies far over the limit, announced") {
  CrowdWorld world;
  CrowdScript script;
  script.head = LengthHead(100 * kMaxBodyBytes);
  script.piece = std::string(kPieceBytes, 'b');
  script.pieces = 100 * kMaxBodyBytes / kPieceBytes;
  world.SendCrowd(100, script);
  world.CheckSound();
}

TEST_CASE("a crowd of bodies far over the limit, just sent") {
  CrowdWorld world;
  world.SendCrowd(100, ChunksShortOfTheirEnd(kPieceBytes, 100 * kMaxBodyBytes));
  world.CheckSound();
}

TEST_CASE("a crowd of whole bodies whose worker answers late; memory goes back") {
  CrowdWorld world;
  world.HoldAnswers();
  CrowdScript script = BodyShortOfItsEnd();
  script.tail = std::string(kPieceBytes, 'b');
  world.SendCrowd(100, script);
  world.AwaitHeld();
  world.AnswerHeld();
  world.CheckSound();
  world.EndCrowd();
  REQUIRE(world.IsServed());
  CHECK(world.Wait([&] { return world.Now().resident <= kMemory / 2; }));
}

TEST_CASE("a crowd of unfinished heads of many short fields") {
  CrowdWorld world;
  CrowdScript script;
  script.head = RequestHeadText("crowd");
  constexpr std::size_t kFieldBytes = 5;
  for (std::size_t bytes = script.head.size() + kFieldBytes; bytes < kMaxHeadBytes;
       bytes += kFieldBytes) {
    script.head += "a:b\r\n";
  }
  world.SendCrowd(500, script);
  world.CheckSound();
}

TEST_CASE("a crowd of whole requests with heads of many short fields") {
  CrowdWorld world;
  world.HoldAnswers();
  CrowdScript script;
  script.head = RequestHeadText("crowd");
  constexpr std::size_t kFieldBytes = 5;
  for (std::size_t bytes = script.head.size() + kFieldBytes; bytes < kMaxHeadBytes - 2;
       bytes += kFieldBytes) {
    script.head += "a:b\r\n";
  }
  script.tail = "\r\n";
  world.SendCrowd(400, script);
  world.AwaitHeld();
  world.AnswerHeld();
  world.CheckSound();
}

// The answers to requests that were read ahead must not pile up.
TEST_CASE("clients that pipeline requests and never read") {
  CrowdWorldOptions options;
  std::size_t clients = 0;
  CrowdScript script;
  script.piece = LengthHead(0);
  SUBCASE("many answers") {
    options.answer_bytes = 100 * 1000;
    clients = 4;
    script.pieces = 300;
  }
  SUBCASE("large answers") {
    options.answer_bytes = 3 * kMegabyte;
    clients = 20;
    script.pieces = 5;
  }
  CrowdWorld world(options);
  world.SendPiecesOfCrowd(clients, script, script.pieces);
  const std::size_t all = world.worker_requests() + clients * script.pieces;
  for (int number = 0; number < 400 && world.worker_requests() < all; ++number) {
    world.AskOrdinary();
  }
  world.CheckSound();
}

TEST_CASE("clients that drip take all connections") {
  CrowdWorldOptions options;
  options.max_connections = 50;
  CrowdWorld world(options);
  CrowdScript script;
  script.piece = "b";
  script.pieces = 10 * 1000;
  script.interval = absl::Milliseconds(200);
  SUBCASE("bodies") { script.head = LengthHead(kMaxBodyBytes); }
  SUBCASE("heads") { script.head = RequestHeadText("crowd"); }
  world.SendPiecesOfCrowd(60, script, 10);
  world.CheckSound();
}

TEST_CASE("a crowd of bodies short of their end, as other nodes forward them") {
  CrowdWorld world;
  world.SendForwardedCrowd(150, BodyShortOfItsEnd());
  world.CheckSound();
}

TEST_CASE("the log tells who was turned away and why") {
  CrowdWorld world;
  world.SendCrowd(150, BodyShortOfItsEnd());
  CHECK(world.LogLines("\"event\":\"client_turned_away\"") > 0);
  CHECK(world.LogLines("\"why\":\"memory\",\"client\":\"127.0.0.1:") > 0);
}

TEST_CASE("in calm a single body at the default limit is served") {
  CrowdWorldOptions options;
  options.max_body_bytes = 4 * kMegabyte;
  CrowdWorld world(options);
  CHECK(world.AskWithBody(std::string(options.max_body_bytes, 'b')) == 200);
  world.CheckSound();
}

TEST_CASE("in calm a single large request is served, and a slow one is left alone") {
  CrowdWorld world;
  CHECK(world.AskWithBody(std::string(kMaxBodyBytes, 'b')) == 200);
  CrowdScript script;
  script.head = LengthHead(64 * 1024);
  script.piece = std::string(1024, 'b');
  script.pieces = 64;
  script.interval = absl::Milliseconds(20);
  const std::size_t before = world.worker_requests();
  world.SendCrowd(10, script);
  CHECK(world.Wait([&] { return world.worker_requests() == before + 10; }));
  world.CheckSound();
}

}  // namespace hingespan::crowd
