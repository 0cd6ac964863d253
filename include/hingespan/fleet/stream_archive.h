// Keeps the sources of streams in the shared store, so that they outlive all nodes.
//
// Each node has a row of its own, which holds the streams that it has begun and whose callers may
// still take them up. New ones are written together, at intervals; no event waits for them. A
// process takes over the row that its predecessor left under the same name. The rows are divided
// among parts of the table, each of which takes only so many writes.
#ifndef HINGESPAN_FLEET_STREAM_ARCHIVE_H_
#define HINGESPAN_FLEET_STREAM_ARCHIVE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/clock.h"
#include "hingespan/fleet/fleet_rows.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/serving/decision_log.h"
#include "hingespan/serving/gateway_metrics.h"
#include "hingespan/serving/shared_store.h"
#include "hingespan/serving/stream_source.h"

namespace hingespan::gateway {

struct StreamArchiveSettings {
  std::string node;
  std::string table = "hingespan-streams";
  absl::Duration write_interval = absl::Milliseconds(100);
  // Added for each node of the fleet, which bounds the rate of all nodes together.
  absl::Duration write_interval_per_node = absl::Milliseconds(3);
  // Age up to which the rows that were read last are used again.
  absl::Duration read_interval = absl::Seconds(1);
  // Maximum size of a row's value; the streams that expire first are left out beyond it.
  std::size_t row_bytes = 49152;
};

struct StreamArchiveParts {
  EventLoop* loop = nullptr;
  Clock* clock = nullptr;
  SharedStore* store = nullptr;
  DecisionLog* log = nullptr;
  GatewayMetrics* metrics = nullptr;
};

// Not thread-safe; runs on the thread of its event loop.
class StreamArchive {
 public:
  // Gets std::nullopt if the source is not known.
  using Callback = std::function<void(std::optional<StreamSource>)>;

  StreamArchive(StreamArchiveSettings settings, StreamArchiveParts parts);
  ~StreamArchive();
  StreamArchive(const StreamArchive&) = delete;
  StreamArchive& operator=(const StreamArchive&) = delete;

  // Name of the table, with its part, that has a node's row.
  static std::string TableOf(const std::string& table, const std::string& node);

  void SetFleetSize(std::size_t nodes) { fleet_size_ = nodes; }
  // Records a stream of this node; written at the next interval.
  void Add(const std::string& stream_id, const StreamSource& source, absl::Duration lifetime);
  // Looks for the stream in all nodes' rows. May call `done` within this call.
  void Find(const std::string& stream_id, Callback done);

 private:
  struct Search {
    std::string stream_id;
    Callback done;
  };
  // A read of all parts.
  struct Reading {
    std::vector<StoreRow> rows;
    int parts_left = 0;
    std::error_code error;
  };

  void ScheduleWrite();
  void Write();
  // Drops the streams that have expired, and those for which the row has no room.
  std::string TakeRowValue();
  void OnWritten(const Result<std::uint64_t>& result, bool removed);
  // Reads all rows, unless a read is under way.
  void Read();
  void OnRead(const Reading& reading);
  void OnRows(const std::vector<StoreRow>& rows);
  // Takes over what a former process of this node has left.
  void TakeOver(const StoreRow& row, ArchivedStreams streams);
  // Removes the row of a node that has not used it for long.
  void RemoveStale(const StoreRow& row);
  void EndSearches();

  StreamArchiveSettings settings_;
  StreamArchiveParts parts_;
  std::size_t fleet_size_ = 1;
  // This node's streams.
  ArchivedStreams own_;
  // Version of this node's row, 0 if there is none; absent while it isn't known.
  std::optional<std::uint64_t> row_version_;
  bool changed_ = false;
  bool write_in_flight_ = false;
  bool read_in_flight_ = false;
  absl::Time last_write_ = absl::InfinitePast();
  // All nodes' streams, as last read.
  std::map<std::string, StreamSource> read_;
  absl::Time last_read_ = absl::InfinitePast();
  std::vector<Search> searches_;
  std::unique_ptr<LoopTimer> write_timer_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_STREAM_ARCHIVE_H_
