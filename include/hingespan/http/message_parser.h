// Incremental parsers of HTTP/1.1 messages, implemented with Boost.Beast.
#ifndef HINGESPAN_HTTP_MESSAGE_PARSER_H_
#define HINGESPAN_HTTP_MESSAGE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "hingespan/http/message_head.h"

namespace hingespan::gateway {

// Reason for which a message can't be parsed any further.
enum class ParseFault { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

struct MessageLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
};

// Parses one request including its body. Not thread-safe.
class RequestParser {
 public:
  explicit RequestParser(const MessageLimits& limits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  // Returns the number of bytes consumed; bytes after a complete request are left unconsumed.
  std::size_t Feed(absl::string_view bytes);
  ParseFault fault() const;
  bool head_complete() const;
  bool complete() const;
  // Bytes that the request holds, with spare capacity.
  std::size_t held_bytes() const;
  // Fields are expanded by the first call; until then the parser holds them as they came, which
  // takes far less memory if they are short.
  RequestHead& head();
  std::string& body();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Parses one answer and passes its body on as it arrives. Not thread-safe.
class AnswerParser {
 public:
  // `on_body` is called from within Feed, after the head is complete.
  explicit AnswerParser(std::function<void(absl::string_view)> on_body);
  ~AnswerParser();
  AnswerParser(const AnswerParser&) = delete;
  AnswerParser& operator=(const AnswerParser&) = delete;

  std::size_t Feed(absl::string_view bytes);
  // Reports an orderly close by the peer, which completes a body that ends with the connection.
  void FeedEnd();
  ParseFault fault() const;
  bool head_complete() const;
  bool complete() const;
  AnswerHead& head();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_MESSAGE_PARSER_H_
