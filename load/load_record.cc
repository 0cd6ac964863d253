#include "load/load_record.h"

#include <fstream>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>
#include <utility>

namespace hingespan::load {
namespace {

using Json = nlohmann::ordered_json;

constexpr char kRunLine[] = "run";
constexpr char kRequestLine[] = "request";
constexpr char kEndLine[] = "end";

// Converts to milliseconds, rounded to microseconds; null for an infinite duration.
Json ToMs(absl::Duration duration) {
  if (duration == absl::InfiniteDuration()) {
    return nullptr;
  }
  return static_cast<double>(absl::ToInt64Microseconds(duration)) / 1000.0;
}

absl::Duration FromMs(const Json& json) {
  if (json.is_null()) {
    return absl::InfiniteDuration();
  }
  return absl::Milliseconds(json.get<double>());
}

CallerOutcome OutcomeFromName(const std::string& name) {
  for (const CallerOutcome outcome : {CallerOutcome::kAnswered, CallerOutcome::kRefused,
                                      CallerOutcome::kFailed, CallerOutcome::kLost}) {
    if (CallerOutcomeName(outcome) == name) {
      return outcome;
    }
  }
  throw std::invalid_argument("unknown outcome");
}

Json HeaderToJson(const RunHeader& header) {
  return Json{{"record", kRunLine},
              {"scenario", header.scenario},
              {"label", header.label},
              {"seed", header.seed},
              {"duration_ms", ToMs(header.duration)},
              {"time_compression", header.time_compression},
              {"accelerator_mib", header.accelerator_mib},
              {"started_unix_ms", header.started_unix_ms},
              {"nodes", header.nodes}};
}

RunHeader HeaderFromJson(const Json& json) {
  RunHeader header;
  header.scenario = json.at("scenario").get<std::string>();
  header.label = json.at("label").get<std::string>();
  header.seed = json.at("seed").get<std::uint64_t>();
  header.duration = FromMs(json.at("duration_ms"));
  header.time_compression = json.at("time_compression").get<double>();
  header.accelerator_mib = json.at("accelerator_mib").get<double>();
  header.started_unix_ms = json.at("started_unix_ms").get<std::int64_t>();
  header.nodes = json.at("nodes").get<std::vector<std::string>>();
  return header;
}

Json RequestToJson(const RequestRecord& request) {
  return Json{{"record", kRequestLine},
              {"number", request.number},
              {"planned_ms", ToMs(request.planned)},
              {"model", request.model},
              {"class", request.request_class},
              {"node", request.node},
              {"repeatable", request.repeatable},
              {"tag", request.tag},
              {"outcome", std::string(CallerOutcomeName(request.outcome))},
              {"status", request.http_status},
              {"code", request.code},
              {"attempt", request.attempt},
              {"key", request.key},
              {"first_token_ms", ToMs(request.first_token)},
              {"total_ms", ToMs(request.total)},
              {"late_ms", ToMs(request.late)},
              {"cold", request.cold},
              {"wrong", request.wrong},
              {"retry_after_ms", ToMs(request.retry_after)},
              {"tokens", request.tokens},
              {"answered_request", request.answered_request}};
}

RequestRecord RequestFromJson(const Json& json) {
  RequestRecord request;
  request.number = json.at("number").get<std::size_t>();
  request.planned = FromMs(json.at("planned_ms"));
  request.model = json.at("model").get<std::string>();
  request.request_class = json.at("class").get<std::string>();
  request.node = json.at("node").get<std::string>();
  request.repeatable = json.at("repeatable").get<bool>();
  request.tag = json.at("tag").get<std::string>();
  request.outcome = OutcomeFromName(json.at("outcome").get<std::string>());
  request.http_status = json.at("status").get<int>();
  request.code = json.at("code").get<std::string>();
  request.attempt = json.at("attempt").get<std::string>();
  request.key = json.at("key").get<std::string>();
  request.first_token = FromMs(json.at("first_token_ms"));
  request.total = FromMs(json.at("total_ms"));
  request.late = FromMs(json.at("late_ms"));
  request.cold = json.at("cold").get<bool>();
  request.wrong = json.at("wrong").get<bool>();
  request.retry_after = FromMs(json.at("retry_after_ms"));
  request.tokens = json.at("tokens").get<int>();
  request.answered_request = json.at("answered_request").get<std::string>();
  return request;
}

Json TotalsToJson(const Totals& totals) {
  return Json{{"overcommits", totals.overcommits},
              {"loads_begun", totals.loads_begun},
              {"weight_store_peak_concurrency", totals.weight_store_peak_concurrency},
              {"idle_mib_seconds", totals.idle_mib_seconds},
              {"busy_mib_seconds", totals.busy_mib_seconds},
              {"maximum_replicas", totals.maximum_replicas},
              {"runs_by_key", totals.runs_by_key}};
}

Totals TotalsFromJson(const Json& json) {
  using Counts = std::map<std::string, std::uint64_t>;
  Totals totals;
  totals.overcommits = json.at("overcommits").get<std::uint64_t>();
  totals.loads_begun = json.at("loads_begun").get<std::uint64_t>();
  totals.weight_store_peak_concurrency =
      json.at("weight_store_peak_concurrency").get<std::uint64_t>();
  totals.idle_mib_seconds = json.at("idle_mib_seconds").get<double>();
  totals.busy_mib_seconds = json.at("busy_mib_seconds").get<double>();
  totals.maximum_replicas = json.at("maximum_replicas").get<Counts>();
  totals.runs_by_key = json.at("runs_by_key").get<Counts>();
  return totals;
}

Json ChangeToJson(const ResidencyChange& change) {
  return Json{{"at_ms", ToMs(change.at)},
              {"event", change.event},
              {"worker", change.worker},
              {"model", change.model},
              {"memory_used_mib", change.memory_used_mib},
              {"replicas_of_model", change.replicas_of_model}};
}

ResidencyChange ChangeFromJson(const Json& json) {
  ResidencyChange change;
  change.at = FromMs(json.at("at_ms"));
  change.event = json.at("event").get<std::string>();
  change.worker = json.at("worker").get<std::string>();
  change.model = json.at("model").get<std::string>();
  change.memory_used_mib = json.at("memory_used_mib").get<std::uint64_t>();
  change.replicas_of_model = json.at("replicas_of_model").get<std::uint64_t>();
  return change;
}

Json EndToJson(const RunEnd& end) {
  Json json{{"record", kEndLine},
            {"late_starts", end.late_starts},
            {"failed_faults", end.failed_faults},
            {"totals", nullptr},
            {"residency", Json::array()}};
  if (end.totals.has_value()) {
    json["totals"] = TotalsToJson(*end.totals);
  }
  for (const ResidencyChange& change : end.residency) {
    json["residency"].push_back(ChangeToJson(change));
  }
  return json;
}

RunEnd EndFromJson(const Json& json) {
  RunEnd end;
  end.late_starts = json.at("late_starts").get<std::size_t>();
  end.failed_faults = json.at("failed_faults").get<std::size_t>();
  if (!json.at("totals").is_null()) {
    end.totals = TotalsFromJson(json.at("totals"));
  }
  for (const Json& change : json.at("residency")) {
    end.residency.push_back(ChangeFromJson(change));
  }
  return end;
}

// Parses the lines in their order: run, requests, end.
class RecordReader {
 public:
  // Throws if the line is invalid or out of order.
  void ParseLine(const std::string& line) {
    const Json json = Json::parse(line);
    const std::string kind = json.at("record").get<std::string>();
    if (has_end_ || has_header_ == (kind == kRunLine)) {
      throw std::invalid_argument("line out of order");
    }
    if (kind == kRunLine) {
      record_.header = HeaderFromJson(json);
      has_header_ = true;
    } else if (kind == kRequestLine) {
      record_.requests.push_back(RequestFromJson(json));
    } else if (kind == kEndLine) {
      record_.end = EndFromJson(json);
      has_end_ = true;
    } else {
      throw std::invalid_argument("unknown line");
    }
  }

  bool complete() const { return has_header_ && has_end_; }
  RunRecord Take() { return std::move(record_); }

 private:
  RunRecord record_;
  bool has_header_ = false;
  bool has_end_ = false;
};

}  // namespace

void MarkForeignAnswers(const std::vector<LogEntry>& log, std::vector<RequestRecord>* requests) {
  std::map<std::string, std::string> tags;
  for (const LogEntry& entry : log) {
    if (entry.event == kGenerateBegin && !entry.key.empty()) {
      tags[entry.request] = entry.key;
    }
  }
  for (RequestRecord& request : *requests) {
    const auto found = tags.find(request.answered_request);
    if (found != tags.end() && found->second != request.tag) {
      request.wrong = true;
    }
  }
}

void WriteRecord(const RunRecord& record, std::ostream* stream) {
  *stream << HeaderToJson(record.header).dump() << '\n';
  for (const RequestRecord& request : record.requests) {
    *stream << RequestToJson(request).dump() << '\n';
  }
  *stream << EndToJson(record.end).dump() << '\n';
}

std::error_code WriteRecordFile(const RunRecord& record, const std::string& file) {
  std::ofstream stream(file);
  WriteRecord(record, &stream);
  stream.flush();
  return stream.good() ? std::error_code() : make_error_code(Error::kUnavailable);
}

Result<RunRecord> ReadRecord(std::istream* stream) {
  RecordReader reader;
  std::string line;
  try {
    while (std::getline(*stream, line)) {
      reader.ParseLine(line);
    }
  } catch (const std::exception&) {
    return Error::kMalformed;
  }
  if (!reader.complete()) {
    return Error::kMalformed;
  }
  return reader.Take();
}

Result<RunRecord> ReadRecordFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return Error::kNotFound;
  }
  return ReadRecord(&stream);
}

}  // namespace hingespan::load
