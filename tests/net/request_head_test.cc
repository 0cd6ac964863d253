#include "hingespan/net/request_head.h"

#include <doctest/doctest.h>

#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace hingespan {
namespace {

constexpr std::size_t kMaximumBody = 100;

int StatusOf(absl::string_view request_line, absl::string_view headers) {
  const std::string head = absl::StrCat(request_line, "\r\n", headers, "\r\n");
  return CheckRequestHead(head, kMaximumBody).status;
}

TEST_CASE("valid heads are accepted") {
  CHECK(StatusOf("GET /a HTTP/1.1", "Host: x\r\n") == 0);
  CHECK(StatusOf("POST /a HTTP/1.1", "content-length: 100\r\n") == 0);
  CHECK(StatusOf("POST /a HTTP/1.1", "Transfer-Encoding: chunked\r\n") == 0);
}

TEST_CASE("ambiguous body lengths are refused") {
  CHECK(StatusOf("POST /a HTTP/1.1", "Content-Length: 1\r\nContent-Length: 2\r\n") == 400);
  CHECK(StatusOf("POST /a HTTP/1.1", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n") == 400);
  CHECK(StatusOf("POST /a HTTP/1.1", "Content-Length: -1\r\n") == 400);
  CHECK(StatusOf("POST /a HTTP/1.1", "Content-Length: 0x1\r\n") == 400);
  CHECK(StatusOf("POST /a HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n") == 400);
  CHECK(StatusOf("POST /a HTTP/1.1", "Host: x\r\n") == 411);
}

TEST_CASE("too large, compressed or multipart bodies and long targets are refused") {
  CHECK(StatusOf("POST /a HTTP/1.1", "Content-Length: 101\r\n") == 413);
  CHECK(StatusOf("POST /a HTTP/1.1", "Content-Length: 1\r\nContent-Encoding: gzip\r\n") == 415);
  CHECK(StatusOf("POST /a HTTP/1.1",
                 "Content-Length: 1\r\nContent-Type: multipart/form-data; boundary=x\r\n") == 415);
  const std::string long_target = absl::StrCat("GET /", std::string(kMaximumTargetBytes, 'a'));
  CHECK(StatusOf(absl::StrCat(long_target, " HTTP/1.1"), "") == 414);
}

TEST_CASE("malformed lines are refused") {
  CHECK(StatusOf("GET /a", "") == 400);
  CHECK(StatusOf("GET /a HTTP/1.1", "no colon\r\n") == 400);
  CHECK(StatusOf("GET /a HTTP/1.1", ": no name\r\n") == 400);
}

TEST_CASE("a Range header is removed") {
  const RequestHead head =
      CheckRequestHead("GET /a HTTP/1.1\r\nrange: bytes=0-1\r\nHost: x\r\n\r\n", kMaximumBody);
  CHECK(head.status == 0);
  CHECK(head.text == "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
}

}  // namespace
}  // namespace hingespan
