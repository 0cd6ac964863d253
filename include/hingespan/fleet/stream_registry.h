// Records of the streams that callers may take up again.
#ifndef HINGESPAN_FLEET_STREAM_REGISTRY_H_
#define HINGESPAN_FLEET_STREAM_REGISTRY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/serving/stream_source.h"

namespace hingespan::gateway {

// Size of the ids under which streams are recorded, in bytes.
inline constexpr std::size_t kMaxStreamIdBytes = 64;

// Returns the id under which a stream is recorded: its own, or a hash of it if it is long or no
// printable text. Callers choose the ids, and records outlive their requests.
std::string ShortStreamId(const std::string& stream_id);

// Does no I/O and reads no clock; not thread-safe.
class StreamRegistry {
 public:
  // Beyond this number, the record that expires first is dropped.
  static constexpr std::size_t kMaxRecords = 50000;

  struct Record {
    StreamSource source;
    absl::Time expires;
    // True if this node has begun the stream, false if it keeps the record for another node.
    bool own = false;
  };

  // Keeps the record of a stream, by the id of the request that brought its first event.
  void Add(const std::string& stream_id, Record record, absl::Time now);
  std::optional<StreamSource> Find(const std::string& stream_id, absl::Time now) const;
  // Calls `visit` for each stream that this node has begun and that has not expired.
  void ForEachOwn(
      absl::Time now,
      const std::function<void(const std::string& stream_id, const Record& record)>& visit) const;
  std::size_t size() const { return records_.size(); }

 private:
  void Expire(absl::Time now);

  absl::flat_hash_map<std::string, Record> records_;
  std::multimap<absl::Time, std::string> by_expiry_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_STREAM_REGISTRY_H_
