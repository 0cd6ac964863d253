#include "load/summary.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace hingespan::load {
namespace {

using Json = nlohmann::ordered_json;

constexpr char kAllClasses[] = "all";
constexpr char kNotRun[] = "not_run";
constexpr double kSecondsPerHour = 3600;

double NearestRank(const std::vector<double>& sorted, double fraction) {
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

// Accumulates the requests of one class.
class ClassAccumulator {
 public:
  explicit ClassAccumulator(const std::string& name) { summary_.name = name; }

  void Add(const RequestRecord& request) {
    ++summary_.requests;
    summary_.wrong += request.wrong ? 1 : 0;
    switch (request.outcome) {
      case CallerOutcome::kAnswered:
        AddAnswer(request);
        break;
      case CallerOutcome::kRefused:
        ++summary_.refused;
        ++summary_.refusals_by_code[request.code];
        break;
      case CallerOutcome::kFailed:
        ++summary_.failed;
        ++summary_.refusals_by_code[request.code];
        break;
      case CallerOutcome::kLost:
        ++summary_.lost;
        break;
    }
  }

  ClassSummary Take() {
    summary_.first_token = SummarizeLatencies(first_token_);
    summary_.total = SummarizeLatencies(total_);
    summary_.cold_first_token = SummarizeLatencies(cold_first_token_);
    return summary_;
  }

  const std::string& name() const { return summary_.name; }

 private:
  void AddAnswer(const RequestRecord& request) {
    ++summary_.answered;
    const double first_token = absl::ToDoubleMilliseconds(request.first_token);
    first_token_.push_back(first_token);
    total_.push_back(absl::ToDoubleMilliseconds(request.total));
    if (request.cold) {
      cold_first_token_.push_back(first_token);
    }
  }

  ClassSummary summary_;
  std::vector<double> first_token_;
  std::vector<double> total_;
  std::vector<double> cold_first_token_;
};

std::vector<ClassSummary> SummarizeClasses(const std::vector<RequestRecord>& requests) {
  std::vector<ClassAccumulator> accumulators;
  ClassAccumulator all(kAllClasses);
  for (const RequestRecord& request : requests) {
    auto found = std::find_if(accumulators.begin(), accumulators.end(),
                              [&](const ClassAccumulator& accumulator) {
                                return accumulator.name() == request.request_class;
                              });
    if (found == accumulators.end()) {
      accumulators.emplace_back(request.request_class);
      found = accumulators.end() - 1;
    }
    found->Add(request);
    all.Add(request);
  }
  std::vector<ClassSummary> summaries;
  summaries.reserve(accumulators.size() + 1);
  for (ClassAccumulator& accumulator : accumulators) {
    summaries.push_back(accumulator.Take());
  }
  summaries.push_back(all.Take());
  return summaries;
}

// All attempts that share one key.
struct KeyUse {
  bool repeatable = true;
  std::uint64_t attempts_that_may_have_run = 0;
  std::uint64_t runs = 0;
};

// An attempt answered with "not_run" accounts for no run. Any other attempt accounts for one run
// or, if it is repeatable, for any number.
std::uint64_t UnexplainedRuns(const KeyUse& use) {
  if (use.runs <= use.attempts_that_may_have_run) {
    return 0;
  }
  if (use.repeatable && use.attempts_that_may_have_run > 0) {
    return 0;
  }
  return use.runs - use.attempts_that_may_have_run;
}

std::map<std::string, KeyUse> CountKeyUses(const RunRecord& record) {
  std::map<std::string, KeyUse> keys;
  for (const RequestRecord& request : record.requests) {
    KeyUse& use = keys[request.tag];
    use.repeatable = request.repeatable;
    use.attempts_that_may_have_run += request.attempt == kNotRun ? 0 : 1;
  }
  for (auto& [key, use] : keys) {
    const auto runs = record.end.totals->runs_by_key.find(key);
    if (runs != record.end.totals->runs_by_key.end()) {
      use.runs = runs->second;
    }
  }
  return keys;
}

EngineSummary SummarizeEngines(const RunRecord& record) {
  EngineSummary summary;
  if (!record.end.totals.has_value()) {
    return summary;
  }
  const Totals& totals = *record.end.totals;
  summary.measured = true;
  summary.overcommits = totals.overcommits;
  summary.loads_begun = totals.loads_begun;
  const double mib_seconds_per_hour = record.header.accelerator_mib * kSecondsPerHour;
  summary.idle_accelerator_hours = totals.idle_mib_seconds / mib_seconds_per_hour;
  summary.busy_accelerator_hours = totals.busy_mib_seconds / mib_seconds_per_hour;
  for (const auto& [key, use] : CountKeyUses(record)) {
    summary.duplicates += !use.repeatable && use.runs > 1 ? 1 : 0;
    summary.false_not_run += UnexplainedRuns(use);
  }
  return summary;
}

Json LatencyToJson(const LatencySummary& latency) {
  return Json{{"count", latency.count},
              {"p50_ms", latency.p50},
              {"p99_ms", latency.p99},
              {"max_ms", latency.maximum}};
}

Json ClassToJson(const ClassSummary& summary) {
  return Json{{"class", summary.name},
              {"requests", summary.requests},
              {"answered", summary.answered},
              {"refused", summary.refused},
              {"failed", summary.failed},
              {"lost", summary.lost},
              {"wrong", summary.wrong},
              {"first_token", LatencyToJson(summary.first_token)},
              {"total", LatencyToJson(summary.total)},
              {"cold_first_token", LatencyToJson(summary.cold_first_token)},
              {"refusals_by_code", summary.refusals_by_code}};
}

void AppendClassRow(const ClassSummary& summary, std::string* table) {
  absl::StrAppendFormat(table,
                        "%-20s %8d %8d %7d %6d %5d %5d  %7.0f %7.0f %7.0f  %7.0f %7.0f %7.0f  %5d "
                        "%7.0f %7.0f %7.0f\n",
                        summary.name, summary.requests, summary.answered, summary.refused,
                        summary.failed, summary.lost, summary.wrong, summary.first_token.p50,
                        summary.first_token.p99, summary.first_token.maximum, summary.total.p50,
                        summary.total.p99, summary.total.maximum, summary.cold_first_token.count,
                        summary.cold_first_token.p50, summary.cold_first_token.p99,
                        summary.cold_first_token.maximum);
}

void AppendEngines(const EngineSummary& engines, std::string* table) {
  if (!engines.measured) {
    absl::StrAppend(table, "engines' counters: not measured\n");
    return;
  }
  absl::StrAppendFormat(table,
                        "duplicates %d, not-run refusals that ran %d, overcommits %d, loads %d\n"
                        "accelerator hours: idle %.3f, busy %.3f\n",
                        engines.duplicates, engines.false_not_run, engines.overcommits,
                        engines.loads_begun, engines.idle_accelerator_hours,
                        engines.busy_accelerator_hours);
}

}  // namespace

LatencySummary SummarizeLatencies(std::vector<double> milliseconds) {
  LatencySummary summary;
  if (milliseconds.empty()) {
    return summary;
  }
  std::sort(milliseconds.begin(), milliseconds.end());
  summary.count = milliseconds.size();
  summary.p50 = NearestRank(milliseconds, 0.50);
  summary.p99 = NearestRank(milliseconds, 0.99);
  summary.maximum = milliseconds.back();
  return summary;
}

RunSummary Summarize(const RunRecord& record) {
  RunSummary summary;
  summary.scenario = record.header.scenario;
  summary.label = record.header.label;
  summary.seed = record.header.seed;
  summary.late_starts = record.end.late_starts;
  summary.failed_faults = record.end.failed_faults;
  summary.classes = SummarizeClasses(record.requests);
  summary.engines = SummarizeEngines(record);
  return summary;
}

std::string SummaryAsTable(const RunSummary& summary) {
  std::string table = absl::StrFormat(
      "scenario %s %s, seed %d, late starts %d, failed faults %d; times in ms from the planned "
      "instant\n",
      summary.scenario, summary.label, summary.seed, summary.late_starts, summary.failed_faults);
  absl::StrAppendFormat(&table, "%-20s %8s %8s %7s %6s %5s %5s  %-23s  %-23s  %s\n", "", "", "", "",
                        "", "", "", "first token", "total", "cold first token");
  absl::StrAppendFormat(
      &table, "%-20s %8s %8s %7s %6s %5s %5s  %7s %7s %7s  %7s %7s %7s  %5s %7s %7s %7s\n", "class",
      "requests", "answered", "refused", "failed", "lost", "wrong", "p50", "p99", "max", "p50",
      "p99", "max", "count", "p50", "p99", "max");
  for (const ClassSummary& class_summary : summary.classes) {
    AppendClassRow(class_summary, &table);
  }
  if (!summary.classes.empty()) {
    absl::StrAppend(&table, "refusals and failures by code:");
    for (const auto& [code, count] : summary.classes.back().refusals_by_code) {
      absl::StrAppend(&table, " ", code, "=", count);
    }
    absl::StrAppend(&table, "\n");
  }
  AppendEngines(summary.engines, &table);
  return table;
}

std::string SummaryAsJson(const RunSummary& summary) {
  Json json{{"scenario", summary.scenario},
            {"label", summary.label},
            {"seed", summary.seed},
            {"late_starts", summary.late_starts},
            {"failed_faults", summary.failed_faults},
            {"classes", Json::array()},
            {"engines", nullptr}};
  for (const ClassSummary& class_summary : summary.classes) {
    json["classes"].push_back(ClassToJson(class_summary));
  }
  const EngineSummary& engines = summary.engines;
  if (engines.measured) {
    json["engines"] = Json{{"duplicates", engines.duplicates},
                           {"false_not_run", engines.false_not_run},
                           {"overcommits", engines.overcommits},
                           {"loads_begun", engines.loads_begun},
                           {"idle_accelerator_hours", engines.idle_accelerator_hours},
                           {"busy_accelerator_hours", engines.busy_accelerator_hours}};
  }
  return json.dump(2);
}

}  // namespace hingespan::load
