// Transactional key/value store with a global revision, ordered changes and history.
#ifndef HINGESPAN_EMULATOR_TABLE_SERVICE_STORE_H_
#define HINGESPAN_EMULATOR_TABLE_SERVICE_STORE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "hingespan/backing/table_service.h"

namespace hingespan::emulator {

// Thread-safe. Kept in memory only.
class TableServiceStore {
 public:
  // Applies all writes or none; all writes of a transaction get the same new revision. A
  // transaction without writes commits without a new revision.
  TransactionResult Commit(const Transaction& transaction);
  StoredValue Read(const std::string& key) const;
  // Returns the latest values of the replicated keys that changed after `after`, oldest first.
  // Returns `limit` changes, or a few more, because keys of one revision are never split.
  ValueChangePage ReadChanges(TableRevision after, int limit) const;
  // Returns a key's history, newest first; deletions are entries without a value.
  std::vector<StoredValue> ReadHistory(const std::string& key, int limit) const;
  TableRevision revision() const;

 private:
  std::vector<StoredValue> Conflicts(const Transaction& transaction) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  StoredValue ReadLocked(const std::string& key) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Apply(const Write& write) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  TableRevision revision_ ABSL_GUARDED_BY(mutex_);
  // All values of a key, oldest first.
  absl::flat_hash_map<std::string, std::vector<StoredValue>> values_ ABSL_GUARDED_BY(mutex_);
  // Replicated keys by the revision of their latest change.
  std::map<std::pair<TableRevision, std::string>, bool> change_order_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_TABLE_SERVICE_STORE_H_
