#include "hingespan/operator/request_explanation.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace hingespan {
namespace {

using Json = nlohmann::json;

// Events of a worker or a model this long before a request's arrival may still affect it.
constexpr absl::Duration kContextBeforeArrival = absl::Seconds(6);
// If the first event comes this long after the request was sent, the worker is the cause of the
// delay.
constexpr int kSlowWorkerMs = 1000;
// If a request is sent this long after its arrival, the wait is the cause of the delay.
constexpr int kLateDispatchMs = 500;

struct LogLine {
  absl::Time time;
  Json json;
  std::string text;
};

std::string Field(const LogLine& line, const char* name) {
  return line.json.contains(name) && line.json[name].is_string()
             ? line.json[name].get<std::string>()
             : std::string();
}

int Number(const LogLine& line, const char* name) {
  int number = 0;
  return absl::SimpleAtoi(Field(line, name), &number) ? number : 0;
}

std::vector<LogLine> ParseLogLines(const std::vector<std::string>& texts) {
  std::vector<LogLine> lines;
  for (const std::string& text : texts) {
    // A log collector may have added a prefix before the JSON object.
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    LogLine line{absl::InfinitePast(), Json::parse(text.substr(begin), nullptr, false), text};
    if (!line.json.is_object() || Field(line, "event").empty()) {
      continue;
    }
    std::string error;
    absl::ParseTime(absl::RFC3339_full, Field(line, "time"), &line.time, &error);
    lines.push_back(std::move(line));
  }
  std::stable_sort(lines.begin(), lines.end(), [](const LogLine& left, const LogLine& right) {
    return left.time < right.time;
  });
  return lines;
}

// Log lines and properties of one request.
struct RequestLines {
  std::vector<const LogLine*> attempts;
  // The line logged at the end of the request; null if it is not in the logs.
  const LogLine* last = nullptr;
  // Set if the request was refused before it had a route. Then `last` is null.
  const LogLine* refused = nullptr;
  std::set<std::string> workers;
  std::string model;
  std::string adapter;
  absl::Time arrival_time;
  absl::Time end_time;
};

RequestLines CollectRequestLines(const std::vector<LogLine>& lines, const std::string& id) {
  RequestLines found;
  for (const LogLine& line : lines) {
    if (Field(line, "request") != id) {
      continue;
    }
    if (!Field(line, "worker").empty()) {
      found.workers.insert(Field(line, "worker"));
    }
    if (Field(line, "event") == "attempt_failed") {
      found.attempts.push_back(&line);
    } else if (Field(line, "event") == "request") {
      found.last = &line;
    } else if (Field(line, "event") == "request_refused") {
      found.refused = &line;
    }
  }
  if (found.last != nullptr) {
    const std::string model = Field(*found.last, "model");
    const std::size_t slash = model.find('/');
    found.model = model.substr(0, slash);
    found.adapter = slash == std::string::npos ? std::string() : model.substr(slash + 1);
    found.end_time = found.last->time;
    found.arrival_time = found.end_time - absl::Milliseconds(Number(*found.last, "total_ms"));
  }
  return found;
}

// Returns the events that could affect the request: orders for its model, changes of its workers,
// and changes of the placement lease and of the store's availability.
std::vector<const LogLine*> CollectContext(const std::vector<LogLine>& lines,
                                           const RequestLines& request) {
  std::vector<const LogLine*> context;
  for (const LogLine& line : lines) {
    if (line.time < request.arrival_time - kContextBeforeArrival || line.time > request.end_time) {
      continue;
    }
    const std::string event = Field(line, "event");
    const bool is_order = (event == "order" || event == "order_answered") &&
                          !request.model.empty() && Field(line, "model") == request.model;
    const bool is_worker_change = (event == "worker_gone" || event == "worker_changed") &&
                                  request.workers.contains(Field(line, "worker"));
    const bool is_state_change = event == "lease_acquired" || event == "lease_lost" ||
                                 event == "store_lost" || event == "store_regained";
    if (is_order || is_worker_change || is_state_change) {
      context.push_back(&line);
    }
  }
  return context;
}

const LogLine* FindLastOrder(const std::vector<const LogLine*>& context, const char* operation) {
  const LogLine* last = nullptr;
  for (const LogLine* const line : context) {
    if (Field(*line, "event") == "order" && Field(*line, "operation") == operation) {
      last = line;
    }
  }
  return last;
}

std::string DescribeLastLoad(const std::vector<const LogLine*>& context) {
  const LogLine* const load = FindLastOrder(context, "load");
  if (load == nullptr) {
    return "; no load of it was ordered meanwhile";
  }
  const std::string adapter = Field(*load, "adapter");
  return absl::StrCat("; a load of ", adapter.empty() ? "it" : adapter, " at worker ",
                      Field(*load, "worker"), " was ordered at ", Field(*load, "time"), " (",
                      Field(*load, "why"), ")");
}

std::string RefusedCause(const LogLine& refused) {
  const std::string why = Field(refused, "why");
  if (why == "no_route") {
    return absl::StrCat("404: version ", Field(refused, "configuration"),
                        " of the configuration, in force at ", Field(refused, "node"),
                        ", has no route for it");
  }
  if (why == "no_configuration_yet") {
    return absl::StrCat("refused: ", Field(refused, "node"),
                        " knew no configuration or no workers yet");
  }
  if (why == "stopping") {
    return absl::StrCat("refused: ", Field(refused, "node"), " was stopping");
  }
  return absl::StrCat("refused with status ", Field(refused, "status"), " (", why, ")");
}

std::string ServedCause(const RequestLines& request, const std::vector<const LogLine*>& context) {
  const int sent = Number(*request.last, "sent_after_ms");
  const int first = Number(*request.last, "first_byte_ms");
  if (sent >= kLateDispatchMs && !request.model.empty()) {
    return absl::StrCat("served late: it waited ", sent, " ms for a replica of ",
                        Field(*request.last, "model"), DescribeLastLoad(context));
  }
  if (sent >= kLateDispatchMs) {
    return absl::StrCat("served late: it waited ", sent, " ms for a worker with a free place");
  }
  if (first - sent >= kSlowWorkerMs) {
    return absl::StrCat("served late: worker ", Field(*request.last, "worker"), " needed ",
                        first - sent, " ms to its first event");
  }
  return "served in time";
}

std::string FailedCause(const RequestLines& request, const std::vector<const LogLine*>& context) {
  const LogLine& last = *request.last;
  const std::string outcome = Field(last, "outcome");
  const std::string model = Field(last, "model");
  const std::string waited = Field(last, "total_ms");
  if (outcome == "model_absent") {
    return absl::StrCat("refused after ", waited, " ms: no worker held model ", model,
                        DescribeLastLoad(context));
  }
  if (outcome == "adapter_absent") {
    return absl::StrCat("refused after ", waited, " ms: workers with free places held the model, ",
                        "none held adapter ", request.adapter, DescribeLastLoad(context));
  }
  if (outcome == "all_busy") {
    return absl::StrCat("refused after ", waited, " ms: each worker that could run it was full");
  }
  if (outcome == "no_workers") {
    return absl::StrCat("refused after ", waited, " ms: no worker of service ",
                        Field(last, "service"), " was known");
  }
  if (outcome == "unknown_stream") {
    return absl::StrCat("refused after ", waited, " ms: it takes up the stream of request ",
                        Field(last, "resumes"), ", and no node knows the version that began it");
  }
  if (outcome == "version_absent") {
    return absl::StrCat("no worker of service ", Field(last, "service"), " has the version ",
                        Field(last, "stream_version"), " that began the stream");
  }
  if (outcome == "other_service") {
    return absl::StrCat("refused: the route of stream ", Field(last, "resumes"),
                        " leads to another service now");
  }
  if (outcome == "worker_full" || outcome == "misdirected") {
    return absl::StrCat("refused: worker ", Field(last, "worker"), " did not run it (", outcome,
                        ") and its route allows no other worker");
  }
  if (outcome == "retry_budget") {
    return "not sent again: the budget of repeats was used up";
  }
  if (outcome == "broken_off" || outcome == "silent" || outcome == "malformed" ||
      outcome == "without_end") {
    std::string gone;
    for (const LogLine* const line : context) {
      if (Field(*line, "event") == "worker_gone" &&
          Field(*line, "worker") == Field(last, "worker")) {
        gone = absl::StrCat("; that worker's record went at ", Field(*line, "time"));
      }
    }
    return absl::StrCat("broken off: worker ", Field(last, "worker"), " (", outcome, ") after ",
                        Field(last, "attempts"), " attempts, and its route allows no further one",
                        gone);
  }
  if (outcome == "deadline") {
    return absl::StrCat("no answer from worker ", Field(last, "worker"), " by the deadline, ",
                        waited, " ms after it came");
  }
  if (outcome == "caller_gone") {
    return absl::StrCat(
        "the caller left after ", waited, " ms",
        Field(last, "sent_after_ms") == "never"
            ? absl::StrCat(" while it waited for a replica", DescribeLastLoad(context))
            : std::string());
  }
  if (outcome == "worker_failure") {
    return absl::StrCat("worker ", Field(last, "worker"), " ran it and failed with status ",
                        Field(last, "status"));
  }
  return absl::StrCat("ended with status ", Field(last, "status"), " (", outcome, ")");
}

}  // namespace

RequestExplanation ExplainRequest(const std::vector<std::string>& log_lines,
                                  const std::string& request_id) {
  const std::vector<LogLine> lines = ParseLogLines(log_lines);
  const RequestLines request = CollectRequestLines(lines, request_id);
  RequestExplanation explanation;
  for (const LogLine* const attempt : request.attempts) {
    explanation.lines.push_back(attempt->text);
  }
  if (request.last == nullptr && request.refused != nullptr) {
    explanation.found = true;
    explanation.lines.push_back(request.refused->text);
    explanation.cause = RefusedCause(*request.refused);
    return explanation;
  }
  if (request.last == nullptr) {
    explanation.found = !request.attempts.empty();
    explanation.cause =
        explanation.found ? "its end is not in these logs" : "no line of these logs names it";
    return explanation;
  }
  explanation.found = true;
  explanation.lines.push_back(request.last->text);
  const std::vector<const LogLine*> context = CollectContext(lines, request);
  for (const LogLine* const line : context) {
    explanation.lines.push_back(line->text);
  }
  explanation.cause = Field(*request.last, "outcome") == "served" ? ServedCause(request, context)
                                                                  : FailedCause(request, context);
  return explanation;
}

}  // namespace hingespan
