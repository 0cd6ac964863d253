// Strongly typed identifiers and counters, so that a worker's name can't be used as a node's.
#ifndef HINGESPAN_COMMON_IDS_H_
#define HINGESPAN_COMMON_IDS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace hingespan {

// Name that is unique among objects of one kind. `Tag` makes each kind a distinct type.
template <typename Tag>
class NamedId {
 public:
  NamedId() = default;
  explicit NamedId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const NamedId&, const NamedId&) = default;
  template <typename H>
  friend H AbslHashValue(H state, const NamedId& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  std::string value_;
};

// Unsigned counter of one kind; 0 means "none yet".
template <typename Tag>
class CounterId {
 public:
  constexpr CounterId() = default;
  constexpr explicit CounterId(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }
  constexpr CounterId Next() const { return CounterId(value_ + 1); }

  friend constexpr auto operator<=>(const CounterId&, const CounterId&) = default;
  template <typename H>
  friend H AbslHashValue(H state, const CounterId& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  std::uint64_t value_ = 0;
};

// A machine that runs hingespand; stable over restarts of the process.
using NodeId = NamedId<struct NodeIdTag>;
// A back end: one engine process with its accelerators.
using WorkerId = NamedId<struct WorkerIdTag>;
// A zone. The sites that the table's weights name are zones.
using ZoneId = NamedId<struct ZoneIdTag>;
// Name of a table row: a model, an adapter or a version.
using ModelName = NamedId<struct ModelNameTag>;
// A request of a caller; unique among all nodes.
using RequestId = NamedId<struct RequestIdTag>;
// An operator's edit; stored in the row so that a retry can detect that it already took effect.
using EditId = NamedId<struct EditIdTag>;
// A caller's idempotency key.
using IdempotencyKey = NamedId<struct IdempotencyKeyTag>;

// Incarnation of a node's process (its start in microseconds since 1970); grows with each restart.
using NodeIncarnation = CounterId<struct NodeIncarnationTag>;
// Incarnation of an engine's process; grows with each restart.
using WorkerIncarnation = CounterId<struct WorkerIncarnationTag>;
// Fencing token of a worker's keeper; the engine rejects orders below the highest it has seen.
using KeeperEpoch = CounterId<struct KeeperEpochTag>;
// Number of a keeper's order in its epoch; the engine rejects repeated and late ones per model.
using OrderSequence = CounterId<struct OrderSequenceTag>;
// Fencing token of a grant; the engine rejects load orders below the highest seen for the model.
using GrantGeneration = CounterId<struct GrantGenerationTag>;
// Revision of the platform's table service; a single counter for all keys.
using TableRevision = CounterId<struct TableRevisionTag>;
// Version of a worker's replica list as announced by its keeper, within one keeper epoch.
using ReplicaListVersion = CounterId<struct ReplicaListVersionTag>;
// Number of a range of idempotency keys of non-repeatable requests.
using KeyRangeId = CounterId<struct KeyRangeIdTag>;

}  // namespace hingespan

#endif  // HINGESPAN_COMMON_IDS_H_
