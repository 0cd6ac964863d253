#include "hingespan/http/message_parser.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace hingespan::gateway {
namespace {

constexpr char kChunkedAnswer[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";

// Feeds `text` in pieces of `piece` bytes; returns the number of bytes after the message.
template <typename Parser>
std::size_t FeedInPieces(Parser* parser, const std::string& text, std::size_t piece) {
  std::size_t surplus = 0;
  for (std::size_t begin = 0; begin < text.size(); begin += piece) {
    const std::string part = text.substr(begin, piece);
    const std::size_t taken = parser->Feed(part);
    surplus += part.size() - taken;
  }
  return surplus;
}

TEST_CASE("a chunked answer is parsed the same however its bytes are split") {
  const std::string text = kChunkedAnswer;
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    CAPTURE(piece);
    std::string body;
    AnswerParser parser([&](absl::string_view part) { body.append(part.data(), part.size()); });
    CHECK(FeedInPieces(&parser, text, piece) == 0);
    CHECK(parser.fault() == ParseFault::kNone);
    CHECK(parser.complete());
    CHECK(body == "hello world");
  }
}

TEST_CASE("bytes after a complete answer are not consumed") {
  std::string body;
  AnswerParser parser([&](absl::string_view part) { body.append(part.data(), part.size()); });
  const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200";
  CHECK(parser.Feed(text) == text.size() - 12);
  CHECK(parser.complete());
  CHECK(body == "ok");
}

TEST_CASE("an answer without a length is complete only after an orderly close") {
  std::string body;
  AnswerParser parser([&](absl::string_view part) { body.append(part.data(), part.size()); });
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  CHECK(!parser.complete());
  CHECK(parser.head().ends_with_connection);
  parser.FeedEnd();
  CHECK(parser.complete());
}

TEST_CASE("an answer shorter than its Content-Length is not complete") {
  AnswerParser parser([](absl::string_view) {});
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  parser.FeedEnd();
  CHECK(!parser.complete());
}

// Guards against a head that its server has cut short being taken for a whole answer.
TEST_CASE("an answer whose head is cut short is not complete, wherever it is cut") {
  for (const char* const framing :
       {"Content-Length: 5\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    const std::string head =
        std::string("HTTP/1.1 200 OK\r\nServer: w\r\n") + framing + "Last: field\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
      CAPTURE(framing);
      CAPTURE(length);
      AnswerParser parser([](absl::string_view) {});
      parser.Feed(head.substr(0, length));
      parser.FeedEnd();
      CHECK(!parser.head_complete());
      CHECK(!parser.complete());
    }
  }
}

TEST_CASE("invalid requests are reported with the matching fault") {
  const MessageLimits limits{200, 10};
  const auto fault_of = [&](const std::string& text) {
    RequestParser parser(limits);
    parser.Feed(text);
    return parser.fault();
  };
  CHECK(fault_of("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") == ParseFault::kBodyTooLarge);
  CHECK(fault_of("GET / HTTP/1.1\r\nA: " + std::string(300, 'x') + "\r\n\r\n") ==
        ParseFault::kHeadTooLarge);
  CHECK(fault_of("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n") ==
        ParseFault::kMalformed);
  CHECK(fault_of("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        ParseFault::kMalformed);
  CHECK(fault_of("nonsense\r\n\r\n") == ParseFault::kMalformed);
}

// Guards against heads of many short fields that take many times their bytes (Fault).
TEST_CASE("an unfinished head takes little more memory than its bytes") {
  constexpr std::size_t kHeadBytes = 15 * 1024;
  RequestParser parser(MessageLimits{});
  std::string text = "GET / HTTP/1.1\r\n";
  while (text.size() < kHeadBytes) {
    text += "a:b\r\n";
  }
  FeedInPieces(&parser, text, 1000);
  CHECK(!parser.head_complete());
  CHECK(parser.held_bytes() < 3 * kHeadBytes);
  parser.Feed("\r\n");
  REQUIRE(parser.complete());
  CHECK(parser.head().fields.size() == (text.size() - 16) / 5);
  CHECK(parser.held_bytes() > parser.head().fields.size() * sizeof(HeaderField));
}

TEST_CASE("a body of announced length takes no spare memory at its end") {
  constexpr std::size_t kBodyBytes = 300 * 1024;
  RequestParser parser(MessageLimits{});
  const std::string body(kBodyBytes, 'b');
  FeedInPieces(
      &parser,
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" + body, 8000);
  REQUIRE(parser.complete());
  CHECK(parser.body() == body);
  CHECK(parser.held_bytes() < kBodyBytes + 1024);
}

TEST_CASE("fields keep their names and values, and trailers are not among them") {
  RequestParser parser(MessageLimits{});
  parser.Feed(
      "POST / HTTP/1.1\r\nHost: h:80\r\nEmpty:\r\nLong: a b:c\r\n"
      "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nModel: smuggled\r\n\r\n");
  REQUIRE(parser.complete());
  const HeaderFields& fields = parser.head().fields;
  REQUIRE(fields.size() == 4);
  CHECK(fields[0].name == "Host");
  CHECK(fields[0].value == "h:80");
  CHECK(fields[1].name == "Empty");
  CHECK(fields[1].value.empty());
  CHECK(fields[2].value == "a b:c");
  CHECK(FindField(fields, "Model") == nullptr);
  CHECK(parser.body() == "x");
}

TEST_CASE("a request is parsed the same however its bytes are split") {
  CHECK(rc::check("requests cut anywhere", [] {
    const auto body = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    const auto piece = *rc::gen::inRange<std::size_t>(1, 40);
    const std::string text =
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body + "GET";
    RequestParser parser(MessageLimits{});
    std::size_t used = 0;
    while (used < text.size() && !parser.complete()) {
      used += parser.Feed(text.substr(used, piece));
    }
    RC_ASSERT(parser.complete());
    RC_ASSERT(parser.body() == body);
    RC_ASSERT(text.substr(used) == "GET");
    RC_ASSERT(parser.head().target == "/p");
  }));
}

}  // namespace
}  // namespace hingespan::gateway
