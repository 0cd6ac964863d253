// The platform's store of rows, as the product uses it: snapshots, changes, conditional writes.
// Implemented by the adapter of the platform. Callbacks come from the loop, never from within a
// call.
#ifndef HINGESPAN_SERVING_SHARED_STORE_H_
#define HINGESPAN_SERVING_SHARED_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/result.h"

namespace hingespan::gateway {

struct StoreRow {
  std::string table;
  std::string key;
  std::string value;
  // Rises with every transaction of the store.
  std::uint64_t version = 0;
  // Of a change: the row is gone.
  bool removed = false;
};

// The rows of a table, or its changes, as of `version`.
struct StoreRows {
  std::vector<StoreRow> rows;
  std::uint64_t version = 0;
};

struct RowCondition {
  std::string table;
  std::string key;
  // 0: the row must not exist.
  std::uint64_t version = 0;
};

struct RowWrite {
  std::string table;
  std::string key;
  // Absent: the row is removed.
  std::optional<std::string> value;
};

class SharedStore {
 public:
  using RowsCallback = std::function<void(Result<StoreRows>)>;
  using CommitCallback = std::function<void(Result<std::uint64_t>)>;

  virtual ~SharedStore() = default;
  virtual void Read(const std::string& table, RowsCallback callback) = 0;
  // Waits up to `wait` for changes after `after`. kNotFound: the history to there is gone.
  virtual void Watch(const std::string& table, std::uint64_t after, absl::Duration wait,
                     RowsCallback callback) = 0;
  // All or nothing; the new version. kConflict: a condition doesn't hold. An error for which
  // MayHaveTakenEffect holds says nothing: the write may also happen seconds later.
  virtual void Commit(std::vector<RowCondition> conditions, std::vector<RowWrite> writes,
                      CommitCallback callback) = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_SHARED_STORE_H_
