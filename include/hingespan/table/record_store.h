// This node's replica of the platform's records. It never returns to a revision below one that it
// has seen. Rows and grants are stored encoded and decoded on access, as nearly all of them are
// idle.
#ifndef HINGESPAN_TABLE_RECORD_STORE_H_
#define HINGESPAN_TABLE_RECORD_STORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "hingespan/common/ids.h"
#include "hingespan/table/compact_records.h"
#include "hingespan/table/records.h"

namespace hingespan {

// Decoded record; null if there is none. Later changes of the store do not affect it.
using RowPointer = std::shared_ptr<const ModelRow>;
using GrantPointer = std::shared_ptr<const GrantRecord>;

// Not thread-safe, not even for concurrent reads, as lookups update a cache of decoded records.
// Invariant (I9): `revision()` and the revision held for each key never decrease. For each key, the
// store at revision r holds the platform's latest value as of r, or the platform has changed that
// key after r: a source sends only the latest value of a key, so a key that moved to a later
// revision between two pages arrives with that later page. Hence a store that reaches the
// platform's latest revision holds exactly the platform's values.
class RecordStore {
 public:
  // Called for each changed key after the change; the old value is no longer available.
  using Listener = std::function<void(const std::string& key)>;

  // Spec action: ApplyChanges. Applies changes in (after, through] if this store is at or past
  // `after`; ignores changes at or below a key's held revision or above `through`. Returns false
  // and changes nothing if `after` is beyond this store's revision or beyond `through`. Each record
  // must match its key, which the codecs check. The listener is called for the changed keys once
  // all changes are applied.
  bool Apply(TableRevision after, TableRevision through, const std::vector<RecordChange>& changes);

  // Returns the latest values of the keys changed after `after`, oldest first, until their
  // estimated size would exceed `byte_limit`. Sets `through` to the revision that they reach. The
  // changes of one revision are never split: a first revision larger than the limit forms a page of
  // its own that exceeds the limit, so transactions must stay small. Deleted keys are included,
  // without a record. Spec action: SendPage (of a node).
  std::vector<RecordChange> ChangesAfter(TableRevision after, std::size_t byte_limit,
                                         TableRevision* through) const;

  TableRevision revision() const { return revision_; }

  // Both return null if the record is absent.
  RowPointer FindRow(const ModelName& model) const;
  GrantPointer FindGrant(const ModelName& model) const;
  // Returns null if the record is absent. The pointer is valid until the next change.
  const ClaimRangeRecord* FindClaimRange(KeyRangeId range) const;
  // Returns the revision of a key; 0 if the key is absent.
  TableRevision RevisionOf(const std::string& key) const;

  // Both visit records in no particular order. A record is valid only during the visit.
  void ForEachRow(const std::function<void(const ModelRow&)>& visit) const;
  void ForEachGrant(const std::function<void(const GrantRecord&)>& visit) const;
  // Visits the keys, including deleted ones, whose latest change is after `after`, oldest first.
  // Stops after `at_most` keys and the remaining keys of the last one's revision. Returns the
  // revision reached, or `after` if there are no further keys.
  TableRevision ForEachKeyAfter(TableRevision after, std::size_t at_most,
                                const std::function<void(const std::string& key)>& visit) const;
  std::size_t row_count() const { return row_count_; }
  // Returns the number of bytes held for rows, grants and the order of changes, without allocator
  // overhead. Computed rather than measured, so that equal histories give equal results.
  std::size_t HeldBytes() const;

  void SetListener(Listener listener) { listener_ = std::move(listener); }

 private:
  enum class KeyKind : std::uint8_t { kRow, kGrant, kOther };
  // Identifies a key by number: the model's number for rows and grants, otherwise the index in
  // `other_keys_`.
  struct KeyId {
    KeyKind kind = KeyKind::kOther;
    std::uint32_t number = 0;
  };
  // Position of a key in the order of changes.
  struct ChangePosition {
    TableRevision revision;
    KeyId key;

    friend bool operator<(const ChangePosition& left, const ChangePosition& right) {
      return std::tuple(left.revision, left.key.kind, left.key.number) <
             std::tuple(right.revision, right.key.kind, right.key.number);
    }
  };
  struct OtherKey {
    std::string key;
    TableRevision revision;
  };
  template <typename T>
  struct Decoded {
    std::uint32_t model = 0;
    std::shared_ptr<const T> record;
  };
  // Direct-mapped cache of recently read records, indexed by the model's number modulo the size.
  static constexpr std::size_t kDecodedCacheSize = 64;
  template <typename T>
  using DecodedRecords = std::array<Decoded<T>, kDecodedCacheSize>;

  std::optional<KeyId> FindKey(std::string_view key) const;
  KeyId AddKey(std::string_view key);
  std::string KeyOf(KeyId id) const;
  TableRevision LatestRevision(KeyId id) const;
  bool IsPresent(KeyId id) const;
  std::optional<Record> ReadRecord(KeyId id) const;

  // Returns whether the change was newer than the revision held and was applied.
  bool ApplyOne(const RecordChange& change);
  void Store(KeyId id, const RecordChange& change);
  void StoreRow(std::uint32_t model, const RecordChange& change);
  void StoreGrant(std::uint32_t model, const RecordChange& change);
  void StoreOther(std::uint32_t number, const RecordChange& change);

  TableRevision revision_;
  CompactRecords models_;
  std::size_t row_count_ = 0;
  mutable DecodedRecords<ModelRow> decoded_rows_;
  mutable DecodedRecords<GrantRecord> decoded_grants_;
  absl::flat_hash_map<KeyRangeId, ClaimRangeRecord> claims_;
  // Keys of claim ranges and keys of unknown kinds. They are never removed, as deleted keys are
  // part of the changes.
  std::vector<OtherKey> other_keys_;
  absl::flat_hash_map<std::string, std::uint32_t> other_numbers_;
  // Latest change of every key ever seen, including deleted ones. Several keys can share a
  // revision, as one transaction can write several keys.
  absl::btree_set<ChangePosition> change_order_;
  Listener listener_;
};

}  // namespace hingespan

#endif  // HINGESPAN_TABLE_RECORD_STORE_H_
