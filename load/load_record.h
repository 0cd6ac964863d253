// Record of one run: the results seen by every caller and the engines' own counters. Stored as JSON
// lines: a "run" line, one "request" line per request and an "end" line.
#ifndef HINGESPAN_LOAD_LOAD_RECORD_H_
#define HINGESPAN_LOAD_LOAD_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/result.h"
#include "load/admin_client.h"
#include "load/caller_client.h"

namespace hingespan::load {

struct RunHeader {
  std::string scenario;
  // Free text that distinguishes runs, e.g. the keep-warm mode.
  std::string label;
  std::uint64_t seed = 0;
  absl::Duration duration;
  double time_compression = 1.0;
  double accelerator_mib = 1.0;
  std::int64_t started_unix_ms = 0;
  std::vector<std::string> nodes;
};

struct RequestRecord {
  std::size_t number = 0;
  // Planned start, relative to the start of the run.
  absl::Duration planned;
  std::string request_class;
  std::string model;
  // Address of the node that received the request.
  std::string node;
  bool repeatable = true;
  // Tag by which the emulator counts this request's runs; copies of one request share it.
  std::string tag;
  CallerOutcome outcome = CallerOutcome::kLost;
  int http_status = 0;
  std::string code;
  std::string attempt;
  std::string key;
  // Both durations start at the planned instant. InfiniteDuration means that no token arrived.
  absl::Duration first_token = absl::InfiniteDuration();
  absl::Duration total;
  // Delay between the planned and the actual start of the request.
  absl::Duration late;
  // True if the engines' log shows no ready replica of the model at the planned instant.
  bool cold = false;
  // True if tokens are missing, duplicated, out of order or of another model or request, or if the
  // engines generated the answer for another caller's request.
  bool wrong = false;
  absl::Duration retry_after;
  int tokens = 0;
  // Engine's id of the request that the answer's tokens belong to.
  std::string answered_request;
};

// Change of a worker's replicas or memory, taken from the engines' log.
struct ResidencyChange {
  // Time relative to the start of the run; negative before it.
  absl::Duration at;
  std::string event;
  std::string worker;
  std::string model;
  std::uint64_t memory_used_mib = 0;
  std::uint64_t replicas_of_model = 0;
};

struct RunEnd {
  // Number of requests sent more than kLateStart after their planned instant.
  std::size_t late_starts = 0;
  // Number of faults that the emulator rejected or did not receive.
  std::size_t failed_faults = 0;
  // Absent without an admin address or if it did not answer. Idle and busy memory and the number of
  // loads cover this run only.
  std::optional<Totals> totals;
  std::vector<ResidencyChange> residency;
};

struct RunRecord {
  RunHeader header;
  std::vector<RequestRecord> requests;
  RunEnd end;
};

inline constexpr char kGenerateBegin[] = "generate_begin";

// A request sent later than this after its planned instant counts as late.
constexpr absl::Duration kLateStart = absl::Milliseconds(20);

// Marks answers as wrong that the engines' log shows to be generated for another caller's request.
void MarkForeignAnswers(const std::vector<LogEntry>& log, std::vector<RequestRecord>* requests);

void WriteRecord(const RunRecord& record, std::ostream* stream);
std::error_code WriteRecordFile(const RunRecord& record, const std::string& file);
// Returns kNotFound, or kMalformed if a line is invalid or the first or last line is missing.
Result<RunRecord> ReadRecord(std::istream* stream);
Result<RunRecord> ReadRecordFile(const std::string& file);

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_LOAD_RECORD_H_
