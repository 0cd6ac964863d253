#include "hingespan/http/message_parser.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <utility>

#include "absl/strings/match.h"

namespace hingespan::gateway {
namespace {

namespace http = boost::beast::http;
using BeastError = boost::system::error_code;
using BeastView = boost::beast::string_view;

constexpr std::uint32_t kAnswerHeadLimit = 64 * 1024;
// Streams have no length; receivers that keep a body whole bound it themselves.
constexpr std::uint64_t kAnswerBodyLimit = 1ULL << 40;
// Bytes of a chunk header or trailer that may come without its end.
constexpr std::size_t kMaxFramingBytes = 64 * 1024;

// Range of statuses that an answer may have (RFC 9110, 15).
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
// Never asked for, and what follows it is no HTTP.
constexpr int kSwitchingProtocols = 101;

std::string ToString(BeastView view) { return {view.data(), view.size()}; }

ParseFault FaultOf(const BeastError& error) {
  if (error == http::error::header_limit) {
    return ParseFault::kHeadTooLarge;
  }
  if (error == http::error::body_limit) {
    return ParseFault::kBodyTooLarge;
  }
  return ParseFault::kMalformed;
}

// Separators of the header fields that are not expanded yet; neither occurs in a field's name, nor
// the second one in its value.
constexpr char kNameEnd = ':';
constexpr char kFieldEnd = '\n';

// Base of both parsers: feeds Beast's parser and collects header fields.
template <bool kIsRequest>
class CommonParser : public http::basic_parser<kIsRequest> {
 public:
  using Base = http::basic_parser<kIsRequest>;

  // Beast does not consume input that is still incomplete, e.g. half a chunk header; such bytes are
  // kept for the next call. Returns the number of bytes consumed.
  std::size_t FeedAll(absl::string_view bytes) {
    pending_.append(bytes.data(), bytes.size());
    std::size_t taken = 0;
    while (taken < pending_.size() && fault_ == ParseFault::kNone && !this->is_done()) {
      BeastError error;
      const std::size_t count = this->put(
          boost::asio::const_buffer(pending_.data() + taken, pending_.size() - taken), error);
      taken += count;
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        fault_ = FaultOf(error);
        break;
      }
      if (count == 0) {
        break;
      }
    }
    pending_.erase(0, taken);
    if (pending_.empty()) {
      std::string().swap(pending_);
    }
    if (!this->is_done()) {
      if (this->is_header_done() && pending_.size() > kMaxFramingBytes) {
        fault_ = ParseFault::kMalformed;
      }
      return bytes.size();
    }
    const std::size_t surplus = pending_.size();
    std::string().swap(pending_);
    return bytes.size() - surplus;
  }

  ParseFault fault() const { return fault_; }

 protected:
  void on_field_impl(http::field, BeastView name, BeastView value, BeastError&) override {
    if (this->is_header_done()) {
      return;  // A trailer of a chunked body.
    }
    field_text_.append(name.data(), name.size()).push_back(kNameEnd);
    field_text_.append(value.data(), value.size()).push_back(kFieldEnd);
    ++field_count_;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, BeastError&) override {}
  void on_chunk_header_impl(std::uint64_t, BeastView, BeastError&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, BeastView body, BeastError&) override {
    OnBodyBytes(absl::string_view(body.data(), body.size()));
    return body.size();
  }
  std::size_t on_body_impl(BeastView body, BeastError&) override {
    OnBodyBytes(absl::string_view(body.data(), body.size()));
    return body.size();
  }
  void on_finish_impl(BeastError&) override {}

  virtual void OnBodyBytes(absl::string_view body) = 0;

  // Returns the fields collected so far and drops their text.
  HeaderFields TakeFields() {
    HeaderFields fields;
    fields.reserve(field_count_);
    absl::string_view rest = field_text_;
    for (; field_count_ > 0; --field_count_) {
      const std::size_t name_end = rest.find(kNameEnd);
      const std::size_t field_end = rest.find(kFieldEnd, name_end);
      fields.push_back({std::string(rest.substr(0, name_end)),
                        std::string(rest.substr(name_end + 1, field_end - name_end - 1))});
      rest.remove_prefix(field_end + 1);
    }
    std::string().swap(field_text_);
    return fields;
  }

  std::size_t framing_bytes() const { return pending_.capacity() + field_text_.capacity(); }

  std::string field_text_;
  std::size_t field_count_ = 0;
  std::string pending_;
  ParseFault fault_ = ParseFault::kNone;
};

}  // namespace

class RequestParser::Implementation : public CommonParser<true> {
 public:
  explicit Implementation(const MessageLimits& limits) {
    this->eager(true);
    this->header_limit(limits.head_bytes);
    this->body_limit(limits.body_bytes);
  }

  RequestHead& head() {
    if (this->is_header_done() && field_count_ > 0) {
      head_.fields = TakeFields();
    }
    return head_;
  }

  std::size_t held_bytes() const { return framing_bytes() + HeldBytes(head_) + body.capacity(); }

  std::string body;

 protected:
  void on_request_impl(http::verb, BeastView method, BeastView target, int version,
                       BeastError&) override {
    constexpr int kHttp11 = 11;
    head_.accepts_chunks = version >= kHttp11;
    head_.method = ToString(method);
    head_.target = ToString(target);
  }
  void on_response_impl(int, BeastView, int, BeastError&) override {}
  void on_header_impl(BeastError&) override { head_.keep_alive = this->keep_alive(); }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, BeastError&) override {
    if (length) {
      announced_bytes_ = static_cast<std::size_t>(*length);
    }
  }
  void OnBodyBytes(absl::string_view piece) override {
    const std::size_t needed = body.size() + piece.size();
    if (needed > body.capacity() && needed <= announced_bytes_ &&
        announced_bytes_ < 2 * body.capacity()) {
      // The last growth is exact; std::string::reserve would double the capacity.
      std::string grown;
      grown.reserve(announced_bytes_);
      grown.append(body);
      body.swap(grown);
    }
    body.append(piece.data(), piece.size());
  }

 private:
  // Length that the head announces; 0 if it announces none.
  std::size_t announced_bytes_ = 0;
  RequestHead head_;
};

RequestParser::RequestParser(const MessageLimits& limits)
    : implementation_(std::make_unique<Implementation>(limits)) {}
RequestParser::~RequestParser() = default;
std::size_t RequestParser::Feed(absl::string_view bytes) { return implementation_->FeedAll(bytes); }
ParseFault RequestParser::fault() const { return implementation_->fault(); }
bool RequestParser::head_complete() const { return implementation_->is_header_done(); }
bool RequestParser::complete() const { return implementation_->is_done(); }
std::size_t RequestParser::held_bytes() const { return implementation_->held_bytes(); }
RequestHead& RequestParser::head() { return implementation_->head(); }
std::string& RequestParser::body() { return implementation_->body; }

// Finds lines of a head that begin with a blank. Beast joins them to the line before.
class FoldedLineFinder {
 public:
  // Returns whether there is one among these next bytes. Those behind the head are ignored.
  bool Find(absl::string_view bytes) {
    for (const char each : bytes) {
      if (head_ended_) {
        return false;
      }
      if (line_bytes_ == 0 && !first_line_ && (each == ' ' || each == '\t')) {
        return true;
      }
      if (each == '\n') {
        head_ended_ = line_bytes_ == 0;
        line_bytes_ = 0;
        first_line_ = false;
      } else if (each != '\r') {
        ++line_bytes_;
      }
    }
    return false;
  }

 private:
  std::size_t line_bytes_ = 0;
  bool first_line_ = true;
  bool head_ended_ = false;
};

class AnswerParser::Implementation : public CommonParser<false> {
 public:
  explicit Implementation(std::function<void(absl::string_view)> on_body)
      : on_body_(std::move(on_body)) {
    this->eager(true);
    this->header_limit(kAnswerHeadLimit);
    this->body_limit(kAnswerBodyLimit);
  }

  std::size_t Feed(absl::string_view bytes) {
    if (folded_lines_.Find(bytes)) {
      fault_ = ParseFault::kMalformed;
      return bytes.size();
    }
    return FeedAll(bytes);
  }

  void End() {
    if (fault_ != ParseFault::kNone || !this->is_header_done() || this->is_done()) {
      return;
    }
    BeastError error;
    this->put_eof(error);
    if (error) {
      fault_ = ParseFault::kMalformed;
    }
  }

  AnswerHead head;

 protected:
  void on_request_impl(http::verb, BeastView, BeastView, int, BeastError&) override {}
  void on_response_impl(int status, BeastView reason, int, BeastError& error) override {
    if (status < kMinStatus || status > kMaxStatus || status == kSwitchingProtocols) {
      error = http::error::bad_status;
      return;
    }
    head.status = status;
    head.reason = ToString(reason);
  }
  void on_header_impl(BeastError& error) override {
    head.fields = TakeFields();
    if (!HasKnownEncoding()) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    head.keep_alive = this->keep_alive();
    if (const auto length = this->content_length()) {
      head.body_length = *length;
    }
    head.ends_with_connection = this->need_eof();
  }
  void OnBodyBytes(absl::string_view piece) override { on_body_(piece); }

 private:
  // Returns false if the body has a transfer coding that isn't taken off here.
  bool HasKnownEncoding() const {
    return std::all_of(head.fields.begin(), head.fields.end(), [this](const HeaderField& field) {
      return !absl::EqualsIgnoreCase(field.name, "Transfer-Encoding") ||
             (this->chunked() && absl::EqualsIgnoreCase(field.value, "chunked"));
    });
  }

  std::function<void(absl::string_view)> on_body_;
  FoldedLineFinder folded_lines_;
};

AnswerParser::AnswerParser(std::function<void(absl::string_view)> on_body)
    : implementation_(std::make_unique<Implementation>(std::move(on_body))) {}
AnswerParser::~AnswerParser() = default;
std::size_t AnswerParser::Feed(absl::string_view bytes) { return implementation_->Feed(bytes); }
void AnswerParser::FeedEnd() { implementation_->End(); }
ParseFault AnswerParser::fault() const { return implementation_->fault(); }
bool AnswerParser::head_complete() const { return implementation_->is_header_done(); }
bool AnswerParser::complete() const { return implementation_->is_done(); }
AnswerHead& AnswerParser::head() { return implementation_->head; }

}  // namespace hingespan::gateway
