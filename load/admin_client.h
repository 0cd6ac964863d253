// Client of the emulator's admin interface: log, counters and fault injection.
#ifndef HINGESPAN_LOAD_ADMIN_CLIENT_H_
#define HINGESPAN_LOAD_ADMIN_CLIENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/result.h"

namespace hingespan::load {

// One entry of the emulator's log; fields that do not apply to the event are empty or 0.
struct LogEntry {
  std::uint64_t sequence = 0;
  double at_ms = 0;
  std::string event;
  std::string worker;
  std::string model;
  std::string request;
  std::string key;
  std::string reason;
  std::string outcome;
  std::uint64_t incarnation = 0;
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t memory_used_mib = 0;
  std::uint64_t replicas_of_model = 0;
};

// Selects the entry to wait for; empty fields match everything.
struct LogFilter {
  std::string event;
  std::string worker;
  std::string model;
  std::string request;
  // Matches only entries with a larger sequence number.
  std::uint64_t after = 0;
};

// Counters since the start of the emulator.
struct Totals {
  std::uint64_t overcommits = 0;
  std::uint64_t loads_begun = 0;
  std::uint64_t weight_store_peak_concurrency = 0;
  double idle_mib_seconds = 0;
  double busy_mib_seconds = 0;
  // Maximum number of concurrent replicas, by model.
  std::map<std::string, std::uint64_t> maximum_replicas;
  // Number of times an engine started a request, by request and by idempotency key.
  std::map<std::string, std::uint64_t> runs;
  std::map<std::string, std::uint64_t> runs_by_key;
};

enum class PlatformMode { kUp, kDown, kSlow, kLoseAnswers };
enum class LinkMode { kUp, kCut, kDelay };

struct PlatformFault {
  PlatformMode mode = PlatformMode::kUp;
  absl::Duration delay;
  // Zone that is affected; empty means all zones.
  ZoneId zone;
  double probability = 1.0;
  // Number of calls that are affected; -1 means all.
  int count = -1;
};

// Thread-safe; each call opens its own connection and has a timeout.
class AdminClient {
 public:
  // `address` is "ip:port".
  explicit AdminClient(std::string address);

  Result<std::vector<LogEntry>> Log(std::uint64_t after) const;
  // Returns kTimeout if no matching entry arrived.
  Result<LogEntry> WaitForEntry(const LogFilter& filter, absl::Duration timeout) const;
  Result<Totals> ReadTotals() const;

  // Injects a fault given as the emulator's JSON, as in scenario files.
  std::error_code PostFault(const std::string& json) const;
  std::error_code SetPlatform(const PlatformFault& fault) const;
  // A slowdown of 1.0 restores full speed.
  std::error_code SlowWeightStore(double slowdown) const;
  std::error_code RestartEngine(const WorkerId& worker) const;
  std::error_code FreezeEngine(const WorkerId& worker, bool frozen) const;
  std::error_code BreakStreams(const WorkerId& worker) const;
  // `state` is live, leaving or gone.
  std::error_code SetMachine(const WorkerId& worker, const std::string& state) const;
  // Sets both directions of the link.
  std::error_code SetLink(const ZoneId& from, const ZoneId& to, LinkMode mode,
                          absl::Duration delay = absl::ZeroDuration()) const;
  std::error_code DuplicateOrders(const WorkerId& worker, absl::Duration delay) const;

 private:
  std::string address_;
};

}  // namespace hingespan::load

#endif  // HINGESPAN_LOAD_ADMIN_CLIENT_H_
