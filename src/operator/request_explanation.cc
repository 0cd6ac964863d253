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

// What happened to a worker or a model this long before a request came may still concern it.
constexpr absl::Duration kBefore = absl::Seconds(6);
// A first event later than this after the request was sent is put down to the worker.
constexpr int kSlowWorkerMs = 1000;
// A request sent later than this after its arrival has waited.
constexpr int kWaitedMs = 500;

struct Line {
  absl::Time time;
  Json json;
  std::string text;
};

std::string Field(const Line& line, const char* name) {
  return line.json.contains(name) && line.json[name].is_string()
             ? line.json[name].get<std::string>()
             : std::string();
}

int Number(const Line& line, const char* name) {
  int number = 0;
  return absl::SimpleAtoi(Field(line, name), &number) ? number : 0;
}

std::vector<Line> ReadLines(const std::vector<std::string>& texts) {
  std::vector<Line> lines;
  for (const std::string& text : texts) {
    // A collector may have put its own words before the object.
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    Line line{absl::InfinitePast(), Json::parse(text.substr(begin), nullptr, false), text};
    if (!line.json.is_object() || Field(line, "event").empty()) {
      continue;
    }
    std::string error;
    absl::ParseTime(absl::RFC3339_full, Field(line, "time"), &line.time, &error);
    lines.push_back(std::move(line));
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const Line& left, const Line& right) { return left.time < right.time; });
  return lines;
}

// What the lines of one request say.
struct RequestLines {
  std::vector<const Line*> attempts;
  const Line* last = nullptr;
  // It was refused before it had a route; then there is no `last`.
  const Line* refused = nullptr;
  std::set<std::string> workers;
  std::string model;
  std::string adapter;
  absl::Time began;
  absl::Time ended;
};

RequestLines Collect(const std::vector<Line>& lines, const std::string& id) {
  RequestLines found;
  for (const Line& line : lines) {
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
    found.ended = found.last->time;
    found.began = found.ended - absl::Milliseconds(Number(*found.last, "total_ms"));
  }
  return found;
}

// Orders for the request's model, and changes of its workers, while they could concern it.
std::vector<const Line*> Context(const std::vector<Line>& lines, const RequestLines& request) {
  std::vector<const Line*> context;
  for (const Line& line : lines) {
    if (line.time < request.began - kBefore || line.time > request.ended) {
      continue;
    }
    const std::string event = Field(line, "event");
    const bool order = (event == "order" || event == "order_answered") && !request.model.empty() &&
                       Field(line, "model") == request.model;
    const bool worker = (event == "worker_gone" || event == "worker_changed") &&
                        request.workers.contains(Field(line, "worker"));
    const bool state = event == "lease_acquired" || event == "lease_lost" ||
                       event == "store_lost" || event == "store_regained";
    if (order || worker || state) {
      context.push_back(&line);
    }
  }
  return context;
}

const Line* LastOrder(const std::vector<const Line*>& context, const char* operation) {
  const Line* last = nullptr;
  for (const Line* const line : context) {
    if (Field(*line, "event") == "order" && Field(*line, "operation") == operation) {
      last = line;
    }
  }
  return last;
}

std::string LoadText(const std::vector<const Line*>& context) {
  const Line* const load = LastOrder(context, "load");
  if (load == nullptr) {
    return "; no load of it was ordered meanwhile";
  }
  const std::string adapter = Field(*load, "adapter");
  return absl::StrCat("; a load of ", adapter.empty() ? "it" : adapter, " at worker ",
                      Field(*load, "worker"), " was ordered at ", Field(*load, "time"), " (",
                      Field(*load, "why"), ")");
}

std::string RefusedCause(const Line& refused) {
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

std::string ServedCause(const RequestLines& request, const std::vector<const Line*>& context) {
  const int sent = Number(*request.last, "sent_after_ms");
  const int first = Number(*request.last, "first_byte_ms");
  if (sent >= kWaitedMs && !request.model.empty()) {
    return absl::StrCat("served late: it waited ", sent, " ms for a replica of ",
                        Field(*request.last, "model"), LoadText(context));
  }
  if (sent >= kWaitedMs) {
    return absl::StrCat("served late: it waited ", sent, " ms for a worker with a free place");
  }
  if (first - sent >= kSlowWorkerMs) {
    return absl::StrCat("served late: worker ", Field(*request.last, "worker"), " needed ",
                        first - sent, " ms to its first event");
  }
  return "served in time";
}

std::string FailedCause(const RequestLines& request, const std::vector<const Line*>& context) {
  const Line& last = *request.last;
  const std::string outcome = Field(last, "outcome");
  const std::string model = Field(last, "model");
  const std::string waited = Field(last, "total_ms");
  if (outcome == "model_absent") {
    return absl::StrCat("refused after ", waited, " ms: no worker held model ", model,
                        LoadText(context));
  }
  if (outcome == "adapter_absent") {
    return absl::StrCat("refused after ", waited, " ms: workers with free places held the model, ",
                        "none held adapter ", request.adapter, LoadText(context));
  }
  if (outcome == "all_busy") {
    return absl::StrCat("refused after ", waited, " ms: each worker that could run it was full");
  }
  if (outcome == "no_workers") {
    return absl::StrCat("refused after ", waited, " ms: no worker of service ",
                        Field(last, "service"), " was known");
  }
  if (outcome == "worker_full" || outcome == "misdirected") {
    return absl::StrCat("refused: worker ", Field(last, "worker"), " did not run it (", outcome,
                        ") and its route allows no other worker");
  }
  if (outcome == "retry_budget") {
    return "not sent again: the budget of repeats was used up";
  }
  if (outcome == "broken_off" || outcome == "silent" || outcome == "malformed") {
    std::string gone;
    for (const Line* const line : context) {
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
    return absl::StrCat("the caller left after ", waited, " ms",
                        Field(last, "sent_after_ms") == "never"
                            ? absl::StrCat(" while it waited for a replica", LoadText(context))
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
  const std::vector<Line> lines = ReadLines(log_lines);
  const RequestLines request = Collect(lines, request_id);
  RequestExplanation explanation;
  for (const Line* const attempt : request.attempts) {
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
  const std::vector<const Line*> context = Context(lines, request);
  for (const Line* const line : context) {
    explanation.lines.push_back(line->text);
  }
  explanation.cause = Field(*request.last, "outcome") == "served" ? ServedCause(request, context)
                                                                  : FailedCause(request, context);
  return explanation;
}

}  // namespace hingespan
