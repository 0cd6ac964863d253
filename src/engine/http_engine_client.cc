#include "hingespan/engine/http_engine_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"
#include "hingespan/common/clock.h"
#include "hingespan/common/percent_encoding.h"
#include "hingespan/engine/engine_json.h"
#include "hingespan/engine/stream_assembler.h"
#include "hingespan/net/http_exchange.h"
#include "hingespan/net/thread_pool.h"

namespace hingespan {
namespace {

constexpr char kJsonType[] = "application/json";
constexpr std::size_t kCancelThreads = 2;
constexpr int kMaximumBackoffDoublings = 6;

struct EngineAddress {
  std::string address;
  std::string path;
};

Result<EngineAddress> ParseBaseUrl(absl::string_view base_url) {
  if (!absl::ConsumePrefix(&base_url, "http://")) {
    return Error::kInvalidArgument;
  }
  const std::size_t slash = base_url.find('/');
  EngineAddress parsed;
  parsed.address = std::string(base_url.substr(0, slash));
  if (slash != absl::string_view::npos) {
    parsed.path = std::string(absl::StripSuffix(base_url.substr(slash), "/"));
  }
  return parsed;
}

std::string StreamPath(const EngineAddress& engine, const RequestId& request) {
  return absl::StrCat(engine.path, "/streams/", PercentEncode(request.value()));
}

Error ErrorOfEnd(ExchangeEnd end) {
  switch (end) {
    case ExchangeEnd::kComplete:
      return Error::kOk;
    case ExchangeEnd::kNotSent:
      return Error::kUnavailable;
    case ExchangeEnd::kTimeout:
      return Error::kTimeout;
    case ExchangeEnd::kBroken:
    case ExchangeEnd::kCancelled:
      break;
  }
  return Error::kAnswerLost;
}

Error ErrorOfStatus(int status) {
  switch (status) {
    case 404:
      return Error::kNotFound;
    case 409:
      return Error::kFenced;
    case 429:
      return Error::kRateLimited;
    case 503:
      return Error::kUnavailable;
    case 507:
      return Error::kOutOfMemory;
    default:
      return status >= 400 && status < 500 ? Error::kInvalidArgument : Error::kInternal;
  }
}

// Returns whether a response to /generate states that the engine did not run the request.
bool IsRefusal(int status) { return status == 409 || status == 503; }

Error ErrorOfRefusal(const HttpAnswer& answer) {
  const std::string error = DecodeEngineError(answer.body);
  if (error == "not_loaded") {
    return Error::kNotLoaded;
  }
  return error == "other_incarnation" ? Error::kFenced : Error::kUnavailable;
}

GenerationResult NotRun(Error error) {
  return {GenerationOutcome::kNotRun, make_error_code(error), 0};
}

}  // namespace

struct HttpEngineClient::State {
  explicit State(HttpEngineClientOptions initial_options)
      : options(initial_options),
        pool(HttpClientOptions()),
        cancel_threads(CancelPool(initial_options)) {}

  static ThreadPoolOptions CancelPool(const HttpEngineClientOptions& options) {
    ThreadPoolOptions pool_options;
    pool_options.maximum_threads = kCancelThreads;
    pool_options.maximum_queue = options.maximum_cancels;
    return pool_options;
  }

  // Sends one request whose response is an engine status.
  Result<EngineStatus> Call(const std::string& base_url, const std::string& method,
                            const std::string& path, std::string body, absl::Duration timeout);

  HttpEngineClientOptions options;
  HttpClientPool pool;
  ThreadPool cancel_threads;
};

namespace {

// One Generate call: the first exchange and its resumptions.
class Generation {
 public:
  Generation(HttpClientPool* pool, const HttpEngineClientOptions& options, EngineAddress engine,
             const GenerationRequest& request, absl::Time deadline, const ChunkSink& sink)
      : pool_(pool),
        options_(options),
        engine_(std::move(engine)),
        request_(request),
        deadline_(deadline),
        assembler_(&sink, request.before_wait != nullptr) {}

  GenerationResult Run() {
    HttpExchange post = MakeExchange("POST", absl::StrCat(engine_.path, "/generate"));
    post.body = EncodeGenerationRequest(request_);
    post.content_type = kJsonType;
    const HttpAnswer answer = pool_->Exchange(post);
    if (answer.end == ExchangeEnd::kNotSent) {
      return NotRun(Error::kUnavailable);
    }
    if (IsRefusal(answer.status) && answer.end == ExchangeEnd::kComplete) {
      return NotRun(ErrorOfRefusal(answer));
    }
    if (answer.end == ExchangeEnd::kComplete && answer.status != 200) {
      return Ended(GenerationOutcome::kMayHaveRun, ErrorOfStatus(answer.status));
    }
    return Continue(answer);
  }

 private:
  HttpExchange MakeExchange(std::string method, std::string path) {
    HttpExchange exchange;
    exchange.address = engine_.address;
    exchange.method = std::move(method);
    exchange.path = std::move(path);
    exchange.deadline = CurrentDeadline();
    exchange.idle_limit = request_.idle_limit;
    exchange.before_wait = request_.before_wait;
    exchange.cancelled = request_.cancelled;
    exchange.on_piece = [this](std::string_view piece) {
      last_piece_ = SystemClock().Now();
      return assembler_.Add(piece);
    };
    assembler_.BeginConnection();
    return exchange;
  }

  // Returns the caller's deadline until the first chunk, or always if there is no idle limit;
  // afterwards the idle limit counted from the latest piece.
  absl::Time CurrentDeadline() const {
    const bool idle = request_.idle_limit != absl::InfiniteDuration();
    return idle && assembler_.last_sequence() > 0 ? last_piece_ + request_.idle_limit : deadline_;
  }

  GenerationResult Ended(GenerationOutcome outcome, Error error) const {
    return {outcome, make_error_code(error), assembler_.last_sequence()};
  }

  bool Cancelled() const { return request_.cancelled != nullptr && request_.cancelled(); }

  // Resumes the stream until it is complete, can't be resumed or has reached its deadline.
  GenerationResult Continue(HttpAnswer answer) {
    int resumes = 0;
    std::uint64_t resumed_after = assembler_.last_sequence();
    while (true) {
      if (assembler_.complete()) {
        return Ended(GenerationOutcome::kComplete, Error::kOk);
      }
      if (assembler_.refused() || Cancelled()) {
        return Ended(GenerationOutcome::kCancelled, Error::kOk);
      }
      if (answer.end == ExchangeEnd::kTimeout || SystemClock().Now() >= CurrentDeadline()) {
        return Ended(GenerationOutcome::kMayHaveRun, Error::kTimeout);
      }
      if (answer.status == 404) {
        return Ended(GenerationOutcome::kMayHaveRun, Error::kAnswerLost);
      }
      resumes = assembler_.last_sequence() > resumed_after ? 0 : resumes;
      if (resumes == options_.maximum_resumes) {
        return Ended(GenerationOutcome::kMayHaveRun, Error::kAnswerLost);
      }
      if (resumes > 0) {
        BackOff(resumes - 1);
      }
      ++resumes;
      resumed_after = assembler_.last_sequence();
      answer = Resume();
    }
  }

  HttpAnswer Resume() {
    const std::string path =
        absl::StrCat(StreamPath(engine_, request_.request), "?after=", assembler_.last_sequence());
    return pool_->Exchange(MakeExchange("GET", path));
  }

  void BackOff(int earlier_resumes) {
    const int doublings = std::min(earlier_resumes, kMaximumBackoffDoublings);
    const absl::Duration left = CurrentDeadline() - SystemClock().Now();
    absl::SleepFor(std::min(left, options_.resume_backoff * (1 << doublings)));
  }

  HttpClientPool* const pool_;
  const HttpEngineClientOptions& options_;
  const EngineAddress engine_;
  const GenerationRequest& request_;
  const absl::Time deadline_;
  StreamAssembler assembler_;
  absl::Time last_piece_;
};

}  // namespace

HttpEngineClient::HttpEngineClient(HttpEngineClientOptions options)
    : state_(std::make_unique<State>(options)) {}

HttpEngineClient::~HttpEngineClient() = default;

Result<EngineStatus> HttpEngineClient::State::Call(const std::string& base_url,
                                                   const std::string& method,
                                                   const std::string& path, std::string body,
                                                   absl::Duration timeout) {
  Result<EngineAddress> engine = ParseBaseUrl(base_url);
  if (!engine.ok()) {
    return engine.error();
  }
  HttpExchange exchange;
  exchange.address = engine->address;
  exchange.method = method;
  exchange.path = engine->path + path;
  exchange.body = std::move(body);
  exchange.content_type = exchange.body.empty() ? "" : kJsonType;
  exchange.deadline = SystemClock().Now() + timeout;
  const HttpAnswer answer = pool.Exchange(exchange);
  if (answer.end != ExchangeEnd::kComplete) {
    return ErrorOfEnd(answer.end);
  }
  if (answer.status != 200) {
    return ErrorOfStatus(answer.status);
  }
  return DecodeEngineStatus(answer.body);
}

Result<EngineStatus> HttpEngineClient::Fence(const std::string& base_url,
                                             WorkerIncarnation incarnation, KeeperEpoch epoch,
                                             absl::Duration timeout) {
  return state_->Call(base_url, "POST", "/fence", EncodeFenceOrder(incarnation, epoch), timeout);
}

Result<EngineStatus> HttpEngineClient::Status(const std::string& base_url, absl::Duration timeout) {
  return state_->Call(base_url, "GET", "/status", std::string(), timeout);
}

Result<EngineStatus> HttpEngineClient::Load(const std::string& base_url, const LoadOrder& order,
                                            absl::Duration timeout) {
  return state_->Call(base_url, "POST", "/load", EncodeLoadOrder(order), timeout);
}

Result<EngineStatus> HttpEngineClient::Unload(const std::string& base_url, const UnloadOrder& order,
                                              absl::Duration timeout) {
  return state_->Call(base_url, "POST", "/unload", EncodeUnloadOrder(order), timeout);
}

GenerationResult HttpEngineClient::Generate(const std::string& base_url,
                                            const GenerationRequest& request, absl::Time deadline,
                                            const ChunkSink& sink) {
  Result<EngineAddress> engine = ParseBaseUrl(base_url);
  if (!engine.ok()) {
    return NotRun(Error::kInvalidArgument);
  }
  Generation generation(&state_->pool, state_->options, *engine, request, deadline, sink);
  const GenerationResult result = generation.Run();
  const bool may_still_run = result.outcome == GenerationOutcome::kCancelled ||
                             result.outcome == GenerationOutcome::kMayHaveRun;
  if (may_still_run) {
    Cancel(base_url, request.request);
  }
  return result;
}

void HttpEngineClient::Cancel(const std::string& base_url, const RequestId& request) {
  const Result<EngineAddress> engine = ParseBaseUrl(base_url);
  if (!engine.ok()) {
    return;
  }
  HttpExchange exchange;
  exchange.address = engine->address;
  exchange.method = "DELETE";
  exchange.path = StreamPath(*engine, request);
  State* const state = state_.get();
  state->cancel_threads.TrySubmit([state, exchange]() mutable {
    exchange.deadline = SystemClock().Now() + state->options.cancel_timeout;
    state->pool.Exchange(exchange);
  });
}

}  // namespace hingespan
