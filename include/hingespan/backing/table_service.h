// Typed interface of the platform's transactional table service.
#ifndef HINGESPAN_BACKING_TABLE_SERVICE_H_
#define HINGESPAN_BACKING_TABLE_SERVICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/result.h"
#include "hingespan/table/records.h"

namespace hingespan {

// A value under a key. The key is absent if the revision is 0 and there is no value.
struct StoredValue {
  std::string key;
  TableRevision revision;
  std::optional<std::string> value;
};

// Requires that the key's revision is still this one; 0 requires that the key is absent.
struct Precondition {
  std::string key;
  TableRevision revision;
};

// Write of one key; deletes the key if there is no value.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

// Applies all writes if all preconditions hold, and none otherwise.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
};

struct TransactionResult {
  bool committed = false;
  // Revision that all writes of the transaction received.
  TableRevision revision;
  // Set if not committed: the current values of the keys whose precondition failed.
  std::vector<StoredValue> conflicting;
};

// Latest values of changed keys in ascending order of revision. Deleted keys have no value.
struct ValueChangePage {
  std::vector<StoredValue> changes;
  // All changes up to this revision are in this page or an earlier one.
  TableRevision through;
  // Newest revision of the service.
  TableRevision latest;
};

// Implementations are thread-safe and block up to `timeout`. Errors: kUnavailable and kRateLimited
// (the call had no effect), kTimeout and kAnswerLost (it may have had an effect).
class TableService {
 public:
  virtual ~TableService() = default;
  // Spec action: CommitEdit.
  virtual Result<TransactionResult> Commit(const Transaction& transaction,
                                           absl::Duration timeout) = 0;
  virtual Result<StoredValue> Read(const std::string& key, absl::Duration timeout) = 0;
  // Returns changes of replicated keys (rows, grants, claims) after `after`, at most `limit` of
  // them.
  // Spec action: SendPage (of the platform).
  virtual Result<ValueChangePage> ReadChanges(TableRevision after, int limit,
                                              absl::Duration timeout) = 0;
  // Returns earlier values of one key, newest first, at most `limit`. Used for the operators'
  // history.
  virtual Result<std::vector<StoredValue>> ReadHistory(const std::string& key, int limit,
                                                       absl::Duration timeout) = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_TABLE_SERVICE_H_
