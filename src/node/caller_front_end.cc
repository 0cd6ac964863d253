#include "hingespan/node/caller_front_end.h"

#include <httplib.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hingespan/common/clock.h"
#include "hingespan/net/deadline_stream.h"
#include "hingespan/net/http_server.h"
#include "hingespan/node/answer_format.h"
#include "hingespan/node/bearer_key.h"
#include "hingespan/node/forward_token.h"
#include "hingespan/node/method_refusals.h"

namespace hingespan {
namespace {

constexpr char kJsonType[] = "application/json";
constexpr char kTextType[] = "text/plain; version=0.0.4";
constexpr char kRequestIdHeader[] = "X-Request-Id";
// Model names may contain slashes.
constexpr char kModelPath[] = "/v1/models/(.+)";
constexpr int kDefaultModelLimit = 1000;
constexpr int kMaximumModelLimit = 10000;

std::optional<std::string> Header(const httplib::Request& request, const char* name) {
  if (!request.has_header(name)) {
    return std::nullopt;
  }
  return request.get_header_value(name);
}

CallerHeaders ReadHeaders(const httplib::Request& request) {
  CallerHeaders headers;
  headers.request_timeout_ms = Header(request, "X-Request-Timeout-Ms");
  headers.repeatable = Header(request, "X-Repeatable");
  headers.idempotency_key = Header(request, "Idempotency-Key");
  headers.priority = Header(request, "X-Priority");
  headers.request_id = Header(request, kRequestIdHeader);
  return headers;
}

// A request waits no longer than its caller allows, and no longer than the limit of the row.
absl::Duration ShorterWait(absl::Duration asked, absl::Duration row) {
  return asked > absl::ZeroDuration() ? std::min(asked, row) : row;
}

int ModelLimit(const httplib::Request& request) {
  int limit = kDefaultModelLimit;
  if (request.has_param("limit") && !absl::SimpleAtoi(request.get_param_value("limit"), &limit)) {
    limit = kDefaultModelLimit;
  }
  return std::clamp(limit, 1, kMaximumModelLimit);
}

std::string ModelObject(const std::string& name) {
  return absl::StrCat("{\"id\":", JsonString(name),
                      ",\"object\":\"model\",\"created\":0,\"owned_by\":\"hingespan\"}");
}

}  // namespace

CallerFrontEnd::CallerFrontEnd(CallerFrontEndOptions options, SessionParts parts,
                               NodeMetricsSources sources)
    : options_(std::move(options)), parts_(parts), sources_(sources) {}

void CallerFrontEnd::AddRoutes(httplib::Server* server) {
  using httplib::Request;
  using httplib::Response;
  server->Post("/v1/chat/completions", [this](const Request& request, Response& response) {
    ServeCompletion(CallKind::kChat, request, &response);
  });
  server->Post("/v1/completions", [this](const Request& request, Response& response) {
    ServeCompletion(CallKind::kCompletion, request, &response);
  });
  server->Get("/v1/models", [this](const Request& request, Response& response) {
    ServeModels(request, &response);
  });
  server->Get(kModelPath, [this](const Request& request, Response& response) {
    ServeModel(request, &response);
  });
  server->Get("/healthz",
              [](const Request&, Response& response) { response.set_content("ok\n", kTextType); });
  server->Get("/readyz", [this](const Request&, Response& response) { ServeReady(&response); });
  server->Get("/metrics", [this](const Request&, Response& response) {
    response.set_content(parts_.metrics->Text(sources_), kTextType);
  });
  for (const char* const path : {"/v1/chat/completions", "/v1/completions"}) {
    RefuseOtherMethods(path, ServedMethods::kPost, server);
  }
  for (const char* const path : {"/v1/models", kModelPath, "/healthz", "/readyz", "/metrics"}) {
    RefuseOtherMethods(path, ServedMethods::kGet, server);
  }
}

bool CallerFrontEnd::Authorize(const httplib::Request& request, bool forwarded,
                               httplib::Response* response) const {
  const bool signed_forward = forwarded && !options_.cluster_key.empty();
  if (signed_forward ||
      HasBearerKey(request.get_header_value("Authorization"), options_.caller_key)) {
    return true;
  }
  Refusal refusal;
  refusal.code = RefusalCode::kUnauthorized;
  refusal.key = RunState::kMayHaveRun;
  refusal.detail = "the caller key is missing or wrong";
  FillRefusal(refusal, response);
  return false;
}

bool CallerFrontEnd::IsForwarded(const httplib::Request& request) const {
  return request.has_header(kForwardedHeader) &&
         CheckForwardToken(options_.cluster_key, request.get_header_value(kRequestIdHeader),
                           request.get_header_value(kForwardedHeader), SystemClock().WallTime());
}

// Callers may reuse their request ids, also at different nodes, so a unique suffix is added:
// engines and claims never see the same id twice.
RequestId CallerFrontEnd::NextRequestId(const std::string& caller_request_id) {
  const std::uint64_t number = next_request_++;
  const std::string own = absl::StrCat(options_.node.value(), "-",
                                       absl::Hex(options_.incarnation.value()), "-", number);
  return RequestId(caller_request_id.empty() ? own : absl::StrCat(caller_request_id, "~", own));
}

absl::Duration CallerFrontEnd::WaitLimit(const CallerRequest& request) const {
  absl::Duration row_limit = options_.default_wait;
  parts_.driver->Inspect([&](const NodeCore& core, absl::Time) {
    if (const auto row = core.store().FindRow(request.model)) {
      row_limit = absl::Milliseconds(row->max_wait_ms);
    }
  });
  return ShorterWait(request.timeout, row_limit);
}

void CallerFrontEnd::ServeCompletion(CallKind kind, const httplib::Request& request,
                                     httplib::Response* response) {
  const absl::Time arrival = SystemClock().Now();
  const bool forwarded = IsForwarded(request);
  if (!Authorize(request, forwarded, response)) {
    return;
  }
  if (request.body.size() > options_.maximum_body_bytes) {
    Refusal refusal;
    refusal.code = RefusalCode::kBodyTooLarge;
    refusal.key = RunState::kMayHaveRun;
    refusal.detail = absl::StrCat("body above ", options_.maximum_body_bytes, " bytes");
    FillRefusal(refusal, response);
    return;
  }
  const CallerHeaders headers = ReadHeaders(request);
  ParsedCallerRequest parsed = ParseCallerRequest(kind, request.body, headers);
  if (parsed.problem.has_value()) {
    parts_.metrics->CountRequest(RefusalCodeName(RefusalCode::kBadRequest));
    response->status = RefusalHttpStatus(RefusalCode::kBadRequest);
    response->set_content(BadRequestBody(*parsed.problem, headers.idempotency_key.has_value()),
                          kJsonType);
    return;
  }
  SessionRequest session_request;
  session_request.caller = std::move(parsed.request);
  session_request.id = NextRequestId(session_request.caller.caller_request_id);
  session_request.arrival = arrival;
  session_request.deadline = arrival + WaitLimit(session_request.caller);
  session_request.forwarded = forwarded;
  session_request.idle_limit = options_.idle_limit;

  const std::string echoed = session_request.caller.caller_request_id.empty()
                                 ? session_request.id.value()
                                 : session_request.caller.caller_request_id;
  response->set_header(kRequestIdHeader, echoed);
  DeadlineStream* const stream = HttpServer::CurrentStream();
  const std::unique_ptr<CallerAnswer> answer =
      session_request.caller.stream ? MakeStreamedAnswer(request, echoed, stream, response)
                                    : MakeWholeAnswer(stream, response);
  RequestSession(parts_, session_request, answer.get()).Run();
}

void CallerFrontEnd::ServeModels(const httplib::Request& request,
                                 httplib::Response* response) const {
  if (!Authorize(request, IsForwarded(request), response)) {
    return;
  }
  std::vector<std::string> names;
  parts_.driver->Inspect([&names](const NodeCore& core, absl::Time) {
    names.reserve(core.store().row_count());
    core.store().ForEachRow([&names](const ModelRow& row) { names.push_back(row.name.value()); });
  });
  const std::string after = request.get_param_value("after");
  std::sort(names.begin(), names.end());
  auto name = std::upper_bound(names.begin(), names.end(), after);
  const auto limit = static_cast<std::ptrdiff_t>(ModelLimit(request));
  const auto end = name + std::min(limit, names.end() - name);
  const bool more = end != names.end();
  std::string body = "{\"object\":\"list\",\"data\":[";
  for (const char* comma = ""; name != end; ++name, comma = ",") {
    absl::StrAppend(&body, comma, ModelObject(*name));
  }
  absl::StrAppend(&body, "],\"has_more\":", more ? "true" : "false", "}");
  response->set_content(body, kJsonType);
}

void CallerFrontEnd::ServeModel(const httplib::Request& request,
                                httplib::Response* response) const {
  if (!Authorize(request, IsForwarded(request), response)) {
    return;
  }
  const ModelName name(request.matches[1].str());
  bool known = false;
  parts_.driver->Inspect(
      [&](const NodeCore& core, absl::Time) { known = core.store().FindRow(name) != nullptr; });
  if (known) {
    response->set_content(ModelObject(name.value()), kJsonType);
    return;
  }
  Refusal refusal;
  refusal.code = RefusalCode::kUnknownModel;
  refusal.detail = "no row of this name";
  FillRefusal(refusal, response);
}

void CallerFrontEnd::ServeReady(httplib::Response* response) const {
  const bool ready = !stopping_ && parts_.driver->Ready();
  response->status = ready ? 200 : 503;
  response->set_content(ready ? "ready\n" : "not ready\n", kTextType);
}

}  // namespace hingespan
