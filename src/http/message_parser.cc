#include "hingespan/http/message_parser.h"

#include <boost/beast/http/basic_parser.hpp>
#include <utility>

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
    if (!this->is_done()) {
      if (this->is_header_done() && pending_.size() > kMaxFramingBytes) {
        fault_ = ParseFault::kMalformed;
      }
      return bytes.size();
    }
    const std::size_t surplus = pending_.size();
    pending_.clear();
    return bytes.size() - surplus;
  }

  ParseFault fault() const { return fault_; }

 protected:
  void on_field_impl(http::field, BeastView name, BeastView value, BeastError&) override {
    fields_.push_back({ToString(name), ToString(value)});
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

  HeaderFields fields_;
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

  RequestHead head;
  std::string body;

 protected:
  void on_request_impl(http::verb, BeastView method, BeastView target, int version,
                       BeastError&) override {
    constexpr int kHttp11 = 11;
    head.accepts_chunks = version >= kHttp11;
    head.method = ToString(method);
    head.target = ToString(target);
  }
  void on_response_impl(int, BeastView, int, BeastError&) override {}
  void on_header_impl(BeastError&) override {
    head.fields = std::move(fields_);
    head.keep_alive = this->keep_alive();
  }
  void OnBodyBytes(absl::string_view piece) override { body.append(piece.data(), piece.size()); }
};

RequestParser::RequestParser(const MessageLimits& limits)
    : implementation_(std::make_unique<Implementation>(limits)) {}
RequestParser::~RequestParser() = default;
std::size_t RequestParser::Feed(absl::string_view bytes) { return implementation_->FeedAll(bytes); }
ParseFault RequestParser::fault() const { return implementation_->fault(); }
bool RequestParser::head_complete() const { return implementation_->is_header_done(); }
bool RequestParser::complete() const { return implementation_->is_done(); }
RequestHead& RequestParser::head() { return implementation_->head; }
std::string& RequestParser::body() { return implementation_->body; }

class AnswerParser::Implementation : public CommonParser<false> {
 public:
  explicit Implementation(std::function<void(absl::string_view)> on_body)
      : on_body_(std::move(on_body)) {
    this->eager(true);
    this->header_limit(kAnswerHeadLimit);
    this->body_limit(kAnswerBodyLimit);
  }

  void End() {
    if (!this->is_header_done() || this->is_done()) {
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
  void on_response_impl(int status, BeastView reason, int, BeastError&) override {
    head.status = status;
    head.reason = ToString(reason);
  }
  void on_header_impl(BeastError&) override {
    head.fields = std::move(fields_);
    head.keep_alive = this->keep_alive();
    if (const auto length = this->content_length()) {
      head.body_length = *length;
    }
    head.ends_with_connection = this->need_eof();
  }
  void OnBodyBytes(absl::string_view piece) override { on_body_(piece); }

 private:
  std::function<void(absl::string_view)> on_body_;
};

AnswerParser::AnswerParser(std::function<void(absl::string_view)> on_body)
    : implementation_(std::make_unique<Implementation>(std::move(on_body))) {}
AnswerParser::~AnswerParser() = default;
std::size_t AnswerParser::Feed(absl::string_view bytes) { return implementation_->FeedAll(bytes); }
void AnswerParser::FeedEnd() { implementation_->End(); }
ParseFault AnswerParser::fault() const { return implementation_->fault(); }
bool AnswerParser::head_complete() const { return implementation_->is_header_done(); }
bool AnswerParser::complete() const { return implementation_->is_done(); }
AnswerHead& AnswerParser::head() { return implementation_->head; }

}  // namespace hingespan::gateway
