// Parsers of HTTP/1.1 messages that arrive in pieces: Beast's parser behind plain values.
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

// Why a message can't be read any further.
enum class ParseFault { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

struct MessageLimits {
  std::uint32_t head_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
};

// Reads one request whole, its body included. Not thread-safe.
class RequestParser {
 public:
  explicit RequestParser(const MessageLimits& limits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  // Takes what it can and returns the number of bytes taken; what follows a whole request is left.
  std::size_t Feed(absl::string_view bytes);
  ParseFault fault() const;
  bool head_complete() const;
  bool complete() const;
  RequestHead& head();
  std::string& body();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Reads one answer; the body is handed on as it comes. Not thread-safe.
class AnswerParser {
 public:
  // `on_body` is called within Feed, after the head is complete.
  explicit AnswerParser(std::function<void(absl::string_view)> on_body);
  ~AnswerParser();
  AnswerParser(const AnswerParser&) = delete;
  AnswerParser& operator=(const AnswerParser&) = delete;

  std::size_t Feed(absl::string_view bytes);
  // The other side closed its connection in good order: completes a body that ends so.
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
