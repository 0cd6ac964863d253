#include "hingespan/node/caller_answer.h"

#include <httplib.h>
#include <sys/socket.h>

#include <optional>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/net/deadline_stream.h"

namespace hingespan {
namespace {

// Default Retry-After of a refused request that did not run.
constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);
constexpr char kJsonType[] = "application/json";
constexpr char kLastChunk[] = "0\r\n\r\n";
// Maximum number of bytes of events that are buffered.
constexpr std::size_t kMaximumBufferedBytes = 16 << 10;

// Writes events to the caller's connection as they arrive. The response that cpp-httplib would send
// itself is discarded.
class StreamedAnswer : public CallerAnswer {
 public:
  StreamedAnswer(const httplib::Request& request, std::string caller_request_id,
                 DeadlineStream* stream, httplib::Response* response)
      : stream_(stream),
        response_(response),
        chunked_(request.version != "HTTP/1.0"),
        close_(absl::EqualsIgnoreCase(request.get_header_value("Connection"), "close")),
        caller_request_id_(std::move(caller_request_id)) {}

  void BeginAttempt(const AnswerIdentity& identity) override {
    request_ = identity.request;
    format_.emplace(identity);
    events_.clear();
  }

  bool AddChunk(const GenerationChunk& chunk) override {
    if (!started_) {
      events_ = format_->OpeningEvent();
    }
    if (!chunk.text.empty()) {
      format_->AppendTextEvent(chunk.text, &events_);
    }
    if (chunk.last) {
      events_.append(format_->ClosingEvents(chunk));
      End();
      return !stream_->write_failed();
    }
    return MayBuffer(chunk.wait_is_announced) || Write();
  }

  bool Relay(std::string_view piece) override {
    events_.append(piece);
    return MayBuffer(true) || Write();
  }

  void Flush() override { Write(); }

  void Complete() override { End(); }

  void Refuse(const Refusal& refusal) override {
    if (!started_) {
      FillRefusal(refusal, response_);
      return;
    }
    events_.append(ErrorEvent(refusal));
    End();
  }

  void EndAfterRemoteError() override { End(); }

  bool started() const override { return started_; }
  bool caller_gone() const override { return stream_->write_failed() || stream_->PeerClosed(); }

 private:
  void AppendHead(std::string* bytes) const {
    absl::StrAppend(bytes, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
                    "Cache-Control: no-cache\r\nX-Request-Id: ", caller_request_id_,
                    "\r\nX-Hingespan-Request: ", request_.value(), "\r\n",
                    chunked_ ? "Transfer-Encoding: chunked\r\n" : "",
                    close_ || !chunked_ ? "Connection: close\r\n" : "", "\r\n");
  }

  // The first events are sent immediately. Later ones may be buffered together with others that
  // have already arrived.
  bool MayBuffer(bool wait_is_announced) const {
    return started_ && wait_is_announced && !stream_->write_failed() &&
           events_.size() < kMaximumBufferedBytes;
  }

  // Appends the events as one chunk of the body, after the response head if nothing has been sent
  // yet.
  void MoveEvents(std::string* bytes) {
    if (events_.empty()) {
      return;
    }
    if (!started_) {
      AppendHead(bytes);
      started_ = true;
      stream_->set_discard_writes(false);
    }
    if (chunked_) {
      absl::StrAppend(bytes, absl::Hex(events_.size()), "\r\n", events_, "\r\n");
    } else {
      bytes->append(events_);
    }
    events_.clear();
  }

  // Sends everything buffered in one write, so that tokens that arrive together cost one system
  // call.
  bool Write() {
    bytes_.clear();
    MoveEvents(&bytes_);
    return bytes_.empty() ? !stream_->write_failed()
                          : stream_->write(bytes_.data(), bytes_.size()) > 0;
  }

  void End() {
    if (ended_) {
      return;
    }
    ended_ = true;
    bytes_.clear();
    MoveEvents(&bytes_);
    if (chunked_) {
      bytes_.append(kLastChunk);
    }
    stream_->write(bytes_.data(), bytes_.size());
    if (!chunked_) {
      shutdown(stream_->socket(), SHUT_WR);
    }
    // Discards the response that cpp-httplib sends after the handler returns.
    stream_->set_discard_writes(true);
    response_->status = 200;
  }

  DeadlineStream* const stream_;
  httplib::Response* const response_;
  const bool chunked_;
  const bool close_;
  const std::string caller_request_id_;
  RequestId request_;
  std::optional<AnswerFormat> format_;
  bool started_ = false;
  bool ended_ = false;
  // Events that have not been written yet.
  std::string events_;
  // Write buffer, reused between writes.
  std::string bytes_;
};

// Collects the answer and sends it once it is complete.
class WholeAnswer : public CallerAnswer {
 public:
  WholeAnswer(DeadlineStream* stream, httplib::Response* response)
      : stream_(stream), response_(response) {}

  void BeginAttempt(const AnswerIdentity& identity) override {
    request_ = identity.request;
    format_.emplace(identity);
    text_.clear();
    relayed_ = false;
  }

  bool AddChunk(const GenerationChunk& chunk) override {
    text_.append(chunk.text);
    last_ = chunk;
    return true;
  }

  bool Relay(std::string_view piece) override {
    text_.append(piece);
    relayed_ = true;
    return true;
  }

  void Complete() override {
    response_->status = 200;
    response_->set_header("X-Hingespan-Request", request_.value());
    response_->set_content(relayed_ ? text_ : format_->WholeAnswer(text_, last_), kJsonType);
  }

  void Refuse(const Refusal& refusal) override { FillRefusal(refusal, response_); }
  void EndAfterRemoteError() override {}
  bool started() const override { return false; }
  bool caller_gone() const override { return stream_->write_failed() || stream_->PeerClosed(); }

 private:
  DeadlineStream* const stream_;
  httplib::Response* const response_;
  RequestId request_;
  std::optional<AnswerFormat> format_;
  std::string text_;
  GenerationChunk last_;
  bool relayed_ = false;
};

// Returns the retry delay of the refusal. If it has none, returns a default where a retry may help
// and can't lead to a second run.
absl::Duration RetryAfterOf(const Refusal& refusal) {
  if (refusal.retry_after > absl::ZeroDuration()) {
    return refusal.retry_after;
  }
  const bool may_help = RetryMayHelp(refusal.code) && refusal.attempt == RunState::kNotRun;
  return may_help ? kDefaultRetryAfter : absl::ZeroDuration();
}

}  // namespace

std::unique_ptr<CallerAnswer> MakeStreamedAnswer(const httplib::Request& request,
                                                 const std::string& caller_request_id,
                                                 DeadlineStream* stream,
                                                 httplib::Response* response) {
  return std::make_unique<StreamedAnswer>(request, caller_request_id, stream, response);
}

std::unique_ptr<CallerAnswer> MakeWholeAnswer(DeadlineStream* stream, httplib::Response* response) {
  return std::make_unique<WholeAnswer>(stream, response);
}

void FillRefusal(const Refusal& refusal, httplib::Response* response) {
  response->status = RefusalHttpStatus(refusal.code);
  if (refusal.code == RefusalCode::kUnauthorized) {
    response->set_header("WWW-Authenticate", "Bearer");
  }
  const absl::Duration retry_after = RetryAfterOf(refusal);
  if (retry_after > absl::ZeroDuration()) {
    const absl::Duration seconds = absl::Ceil(retry_after, absl::Seconds(1));
    const absl::Duration milliseconds = absl::Ceil(retry_after, absl::Milliseconds(1));
    response->set_header("Retry-After", absl::StrCat(absl::ToInt64Seconds(seconds)));
    response->set_header("X-Retry-After-Ms", absl::StrCat(absl::ToInt64Milliseconds(milliseconds)));
  }
  response->set_content(RefusalBody(refusal), kJsonType);
}

}  // namespace hingespan
