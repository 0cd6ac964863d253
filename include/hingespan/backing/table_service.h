// The platform's transactional table service, behind typed calls.
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

// A value under a key. Revision 0 and no value: the key is absent.
struct StoredValue {
  std::string key;
  TableRevision revision;
  std::optional<std::string> value;
};

// The key's revision must still be this one; 0 means that the key must be absent.
struct Precondition {
  std::string key;
  TableRevision revision;
};

// Without a value the key is deleted.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

// All writes or none, if all preconditions hold.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
};

struct TransactionResult {
  bool committed = false;
  // The revision that all writes of the transaction received.
  TableRevision revision;
  // When not committed: the present values of the keys whose precondition failed.
  std::vector<StoredValue> conflicting;
};

// Latest values of changed keys, oldest revision first. Deleted keys have no value.
struct ValueChangePage {
  std::vector<StoredValue> changes;
  // All changes up to this revision are in this page or before it.
  TableRevision through;
  // The newest revision of the service.
  TableRevision latest;
};

// Implementations are thread-safe and block up to `timeout`.
// Errors: kUnavailable and kRateLimited (no effect), kTimeout and kAnswerLost (maybe an effect).
class TableService {
 public:
  virtual ~TableService() = default;
  // Spec action: CommitEdit.
  virtual Result<TransactionResult> Commit(const Transaction& transaction,
                                           absl::Duration timeout) = 0;
  virtual Result<StoredValue> Read(const std::string& key, absl::Duration timeout) = 0;
  // Changes of replicated keys (rows, grants, claims) after `after`, at most `limit` of them.
  // Spec action: SendPage (of the platform).
  virtual Result<ValueChangePage> ReadChanges(TableRevision after, int limit,
                                              absl::Duration timeout) = 0;
  // Earlier values of one key, newest first, at most `limit` (for the operators' history).
  virtual Result<std::vector<StoredValue>> ReadHistory(const std::string& key, int limit,
                                                       absl::Duration timeout) = 0;
};

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_TABLE_SERVICE_H_
