// Summary of one run, by request class and in total.
#ifndef HINGESPAN_LOAD_SUMMARY_H_
#define HINGESPAN_LOAD_SUMMARY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/load_record.h"

namespace hingespan::load {

// Percentiles in milliseconds, by nearest rank; all 0 if `count` is 0.
struct LatencySummary {
  std::size_t count = 0;
  double p50 = 0;
  double p99 = 0;
  double maximum = 0;
};

LatencySummary SummarizeLatencies(std::vector<double> milliseconds);

struct ClassSummary {
  std::string name;
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  std::size_t lost = 0;
  std::size_t wrong = 0;
  // Latencies of answered requests; `cold_first_token` covers only cold ones.
  LatencySummary first_token;
  LatencySummary total;
  LatencySummary cold_first_token;
  // Number of refused and failed requests, by code.
  std::map<std::string, std::size_t> refusals_by_code;
};

// Comparison of the engines' counters with the answers that callers received. Not measured if the
// totals are absent.
struct EngineSummary {
  bool measured = false;
  // Number of keys of non-repeatable requests that ran more than once.
  std::size_t duplicates = 0;
  // Number of runs of requests whose attempts were all answered with "not_run".
  std::size_t false_not_run = 0;
  std::uint64_t overcommits = 0;
  std::uint64_t loads_begun = 0;
  double idle_accelerator_hours = 0;
  double busy_accelerator_hours = 0;
};

struct RunSummary {
  std::string scenario;
  std::string label;
  std::uint64_t seed = 0;
  std::size_t late_starts = 0;
  std::size_t failed_faults = 0;
  // Classes in the order of their first request; the last one, "all", covers all classes.
  std::vector<ClassSummary> classes;
  EngineSummary engines;
};

RunSummary Summarize(const RunRecord& record);
std::string SummaryAsTable(const RunSummary& summary);
std::string SummaryAsJson(const RunSummary& summary);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_SUMMARY_H_
