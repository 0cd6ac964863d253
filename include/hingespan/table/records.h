// Persistent typed records. They are stored in the platform's table service, and every node holds a
// replica of them. There is one record per key:
//   rows/<model>     ModelRow          written by operators
//   grants/<model>   GrantRecord       written by placers
//   claims/<range>   ClaimRangeRecord  written by owners of key ranges
#ifndef HINGESPAN_TABLE_RECORDS_H_
#define HINGESPAN_TABLE_RECORDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"

namespace hingespan {

enum class RowKind { kModel, kAdapter, kVersion };

// Row of the table that operators edit.
struct ModelRow {
  ModelName name;
  RowKind kind = RowKind::kModel;
  // For adapters: the row that must be loaded on the same worker. For versions: the row that this
  // one belongs to. Otherwise empty.
  ModelName base;
  // Name in the weight store; empty means the row's own name.
  std::string checkpoint;
  // Accelerator memory of one replica, in MiB.
  std::uint32_t memory_mib = 0;
  // Maximum number of replicas across all zones; 0 rejects every request.
  std::uint32_t max_replicas = 1;
  // Number of replicas kept loaded while idle, across all zones.
  std::uint32_t min_replicas = 0;
  // Maximum wait of a request in milliseconds, unless the caller specifies a shorter one.
  std::uint32_t max_wait_ms = 30000;
  // Maximum number of requests waiting at one node.
  std::uint32_t max_queue = 64;
  // Maximum number of requests running at one replica.
  std::uint32_t max_concurrency = 8;
  // Idle time before unloading in milliseconds; 0 uses the deployment's policy.
  std::uint32_t idle_ms = 0;
  // Relative share of traffic by zone; a zone that isn't listed has weight 0. If empty, all zones
  // have equal weight.
  std::map<ZoneId, std::uint32_t> weights;
  // Edit that wrote this value and its author, used for history and retries.
  EditId edit;
  std::string editor;

  friend bool operator==(const ModelRow&, const ModelRow&) = default;
};

enum class SlotState { kGranted, kRevoking };

// Permission for one incarnation of a worker to hold one replica of a model.
struct GrantSlot {
  WorkerId worker;
  WorkerIncarnation incarnation;
  ZoneId zone;
  // While granted, the generation that fences load orders. While revoking, the larger generation of
  // the unload order.
  GrantGeneration generation;
  SlotState state = SlotState::kGranted;

  friend bool operator==(const GrantSlot&, const GrantSlot&) = default;
};

// All slots of a model. Invariant: when a slot is granted, slots.size() is at most the row's
// max_replicas.
struct GrantRecord {
  ModelName model;
  // Next generation to issue; never decreases, even if slots are removed.
  GrantGeneration next_generation{1};
  std::vector<GrantSlot> slots;

  friend bool operator==(const GrantRecord&, const GrantRecord&) = default;
};

// Segment of a key range that belongs permanently to one incarnation of a node. That incarnation
// decides on keys issued from `from_ms` until the next segment's `from_ms`, or until the record's
// `until_ms` for the last segment.
struct ClaimSegment {
  // Start of the segment, inclusive, as key issue time in milliseconds since 1970.
  std::uint64_t from_ms = 0;
  NodeId owner;
  NodeIncarnation incarnation;
  ZoneId zone;

  friend bool operator==(const ClaimSegment&, const ClaimSegment&) = default;
};

// Owners that decide on the keys of one range, by the time at which a key was issued.
struct ClaimRangeRecord {
  KeyRangeId range;
  std::vector<ClaimSegment> segments;
  // End of the last segment, exclusive, in milliseconds since 1970.
  std::uint64_t until_ms = 0;

  friend bool operator==(const ClaimRangeRecord&, const ClaimRangeRecord&) = default;
};

using Record = std::variant<ModelRow, GrantRecord, ClaimRangeRecord>;

// Change of one key; `record` is empty if the key was deleted.
struct RecordChange {
  std::string key;
  TableRevision revision;
  std::optional<Record> record;

  friend bool operator==(const RecordChange&, const RecordChange&) = default;
};

inline constexpr char kRowPrefix[] = "rows/";
inline constexpr char kGrantPrefix[] = "grants/";
inline constexpr char kClaimPrefix[] = "claims/";
// Prefix of claims on keys without an issue time. Written and read only in the platform, never
// replicated.
inline constexpr char kKeyPrefix[] = "keys/";
// Prefix of ids of operators' edits that took effect. Written and read only in the platform, never
// replicated.
inline constexpr char kEditPrefix[] = "edits/";

std::string RowKey(const ModelName& model);
std::string GrantKey(const ModelName& model);
std::string ClaimKey(KeyRangeId range);
std::string EditKey(const EditId& edit);

}  // namespace hingespan

#endif  // HINGESPAN_TABLE_RECORDS_H_
