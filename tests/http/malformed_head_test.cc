// Tests of answers whose head is none in HTTP: the whole answer is refused, wherever it is split.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hingespan/http/message_parser.h"

namespace hingespan::gateway {
namespace {

struct Outcome {
  ParseFault fault = ParseFault::kNone;
  bool complete = false;
  std::string body;
};

Outcome Parse(const std::string& text, std::size_t piece) {
  Outcome outcome;
  AnswerParser parser(
      [&](absl::string_view part) { outcome.body.append(part.data(), part.size()); });
  for (std::size_t begin = 0; begin < text.size() && parser.fault() == ParseFault::kNone;
       begin += piece) {
    parser.Feed(text.substr(begin, piece));
  }
  parser.FeedEnd();
  outcome.fault = parser.fault();
  outcome.complete = parser.complete();
  return outcome;
}

// `lines` follow a sound status line and come before a sound field.
std::string WithLines(const std::string& lines, const std::string& body = "ok") {
  return absl::StrCat("HTTP/1.1 200 OK\r\nServer: w\r\n", lines, "Last: field\r\n\r\n", body);
}

void CheckRefused(const std::string& text) {
  CAPTURE(text);
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    CAPTURE(piece);
    const Outcome outcome = Parse(text, piece);
    CHECK(outcome.fault == ParseFault::kMalformed);
    CHECK(!outcome.complete);
    CHECK(outcome.body.empty());
  }
}

// Guards against a status that is none, passed on as an answer (MIXED).
TEST_CASE("an answer whose status is none is malformed") {
  for (const char* const status :
       {"000", "001", "099", "101", "600", "999", "20", "2000", "-20", "2x0", "   "}) {
    CheckRefused(absl::StrCat("HTTP/1.1 ", status, " OK\r\nContent-Length: 2\r\n\r\nok"));
  }
  for (const int status : {200, 204, 299, 400, 499, 500, 599}) {
    const std::string body = status == 204 ? "" : "ok";
    const std::string text = absl::StrCat(
        "HTTP/1.1 ", status, " Any\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
    CHECK(Parse(text, text.size()).complete);
  }
}

// Guards against a body that has a coding which nobody takes off (MIXED).
TEST_CASE("an answer with any transfer coding but chunked is malformed") {
  for (const char* const coding :
       {"gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "", ",", "chunke",
        "chunkedx", "\"chunked\"", "chunked;a=b", "x chunked"}) {
    CheckRefused(WithLines(absl::StrCat("Transfer-Encoding: ", coding, "\r\n")));
  }
  CheckRefused(WithLines("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"));
  CheckRefused(WithLines("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"));
  CheckRefused(WithLines("Transfer-Encoding: gzip\r\nContent-Length: 2\r\n"));
  for (const char* const coding : {"chunked", "Chunked", " \tCHUNKED \t"}) {
    const std::string text =
        WithLines(absl::StrCat("Transfer-Encoding:", coding, "\r\n"), "2\r\nok\r\n0\r\n\r\n");
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
      const Outcome outcome = Parse(text, piece);
      CHECK(outcome.complete);
      CHECK(outcome.body == "ok");
    }
  }
}

// Guards against a line that is joined to the one before, and passed on with it (MIXED).
TEST_CASE("an answer with a folded line is malformed") {
  for (const char* const lines :
       {"Name: value\r\n more\r\n", "Name: value\r\n\tmore\r\n", "Name:\r\n value\r\n",
        "Name: value\r\n \r\n", " Name: value\r\n", "Content-Length: 2\r\n , 2\r\n"}) {
    CheckRefused(WithLines(lines));
  }
  CheckRefused("HTTP/1.1 200 OK\r\n Name: value\r\nContent-Length: 2\r\n\r\nok");
  // Blanks inside lines and in the body are none.
  const std::string sound =
      "HTTP/1.1 200 OK\r\nName: a  b \r\nContent-Length: 8\r\n\r\n\n b\r\n\tc ";
  for (std::size_t piece = 1; piece <= sound.size(); ++piece) {
    CHECK(Parse(sound, piece).complete);
  }
}

// Guards against names of fields that are none (MIXED).
TEST_CASE("an answer with a blank or control byte in a field's name is malformed") {
  std::vector<std::string> names = {"Na me", "Name ", "Name\t", "", "(Name)", "Na\xc3\xa4me"};
  for (int byte = 0; byte < ' '; ++byte) {
    names.push_back(absl::StrCat("Na", std::string(1, static_cast<char>(byte)), "me"));
  }
  names.push_back("Na\x7fme");
  for (const std::string& name : names) {
    CheckRefused(WithLines(absl::StrCat(name, ": value\r\n")));
  }
  CheckRefused(WithLines("Name\r\n"));
  CheckRefused(WithLines("Name: va\x01lue\r\n"));
}

}  // namespace
}  // namespace hingespan::gateway
