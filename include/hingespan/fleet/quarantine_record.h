// The fleet's record of quarantines: rows in the shared store, which outlive all nodes.
//
// A quarantine has a row in the table that all nodes read anyway, so that each learns of it without
// a call of its own. A row is written only when its quarantine changes, by the node that changed
// it. Writes are conditional, and those whose outcome is unknown are repeated after a read.
#ifndef HINGESPAN_FLEET_QUARANTINE_RECORD_H_
#define HINGESPAN_FLEET_QUARANTINE_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>

#include "absl/time/time.h"
#include "hingespan/common/clock.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/prompt_quarantine.h"
#include "hingespan/serving/shared_store.h"

namespace hingespan::gateway {

struct QuarantineRecordSettings {
  std::string table = "hingespan";
  absl::Duration retry_interval = absl::Milliseconds(500);
  // Maximum size of a row's value.
  std::size_t row_bytes = 49152;
};

struct QuarantineRecordParts {
  EventLoop* loop = nullptr;
  Clock* clock = nullptr;
  SharedStore* store = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
};

// Not thread-safe; runs on the thread of its event loop.
class QuarantineRecord {
 public:
  struct Listener {
    // Called when another node has recorded or narrowed a quarantine.
    std::function<void(const Quarantine&)> on_recorded;
    // Called when another node has removed a quarantine.
    std::function<void(const std::string& id)> on_removed;
    // Called after each read of the table.
    std::function<void()> on_read;
  };

  QuarantineRecord(QuarantineRecordSettings settings, QuarantineRecordParts parts);
  ~QuarantineRecord();
  QuarantineRecord(const QuarantineRecord&) = delete;
  QuarantineRecord& operator=(const QuarantineRecord&) = delete;

  void SetListener(Listener listener) { listener_ = std::move(listener); }
  // Records a quarantine that this node has imposed.
  void Add(const Quarantine& quarantine);
  // Records that this node has narrowed the quarantine, or lifted it if no parts are left.
  void Narrow(const Quarantine& quarantine);
  // Brings what this node has written or is about to write up to date with what another node has
  // narrowed. That node may not have read the row yet.
  void NarrowOwn(const Quarantine& quarantine);
  // Returns whether the quarantine is in the record, or was found too large for it.
  bool Has(const std::string& id) const { return entries_.contains(id) || oversized_.contains(id); }
  // Takes the rows of the whole table.
  void OnTable(const StoreRows& rows);

 private:
  struct Entry {
    // Version of the row, 0 if there is none; absent while it isn't known.
    std::optional<std::uint64_t> version;
    // What is to be written; it has no parts if the row is to be removed.
    std::optional<Quarantine> wanted;
    // Parts in the value that is being written.
    PromptPartIds in_flight_parts;
    bool in_flight = false;
    // True if this process has written the row.
    bool own = false;
  };

  std::string Encode(const Quarantine& quarantine) const;
  std::optional<Quarantine> Decode(const std::string& id, const std::string& value) const;
  void OnRow(const std::string& id, const StoreRow& row);
  void RemoveMissing(const std::map<std::string, const StoreRow*>& present);
  void Flush(const std::string& id);
  void FlushAll();
  void OnCommitted(const std::string& id, const Result<std::uint64_t>& result);
  void RetryLater();
  void Read();

  QuarantineRecordSettings settings_;
  QuarantineRecordParts parts_;
  Listener listener_;
  std::map<std::string, Entry> entries_;
  // Quarantines that have too many parts for a row.
  std::set<std::string> oversized_;
  // Version of the newest table read or row written here. Copies of the table may be older.
  std::uint64_t newest_version_ = 0;
  bool read_in_flight_ = false;
  std::unique_ptr<LoopTimer> retry_timer_;
  // Lets callbacks of the store detect that this object was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_QUARANTINE_RECORD_H_
