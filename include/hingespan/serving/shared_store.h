// Interface to the platform's store of rows: snapshots, change notifications and conditional
// writes. Implemented by the platform adapter. Callbacks are invoked from the event loop, never
// from within a call.
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
  // Increases with every transaction of the store.
  std::uint64_t version = 0;
  // True for a change that removed the row.
  bool removed = false;
};

// Rows of a table, or changes to it, as of `version`.
struct StoreRows {
  std::vector<StoreRow> rows;
  std::uint64_t version = 0;
  // Time on this machine's steady clock as of which the store had these rows, whatever way the
  // answer took and however late it was read. InfiniteFuture if the store doesn't tell.
  absl::Time as_of = absl::InfiniteFuture();
};

struct RowCondition {
  std::string table;
  std::string key;
  // Version that the row must have; 0 if the row must not exist.
  std::uint64_t version = 0;
};

struct RowWrite {
  std::string table;
  std::string key;
  // New value; absent to remove the row.
  std::optional<std::string> value;
};

// Tables are named TABLE or TABLE/PART. The store writes a part's rows one after another, and the
// rows of different parts independently of each other. All rows of a transaction have one part.
class SharedStore {
 public:
  using RowsCallback = std::function<void(Result<StoreRows>)>;
  using CommitCallback = std::function<void(Result<std::uint64_t>)>;

  virtual ~SharedStore() = default;
  virtual void Read(const std::string& table, RowsCallback callback) = 0;
  // Waits up to `wait` for changes after version `after`. Errors: kNotFound if the store no longer
  // has the history back to `after`.
  virtual void Watch(const std::string& table, std::uint64_t after, absl::Duration wait,
                     RowsCallback callback) = 0;
  // Applies all writes or none and returns the new version. Errors: kConflict if a condition
  // doesn't hold. After an error for which MayHaveTakenEffect holds, the outcome is unknown: the
  // write may still take effect seconds later.
  virtual void Commit(std::vector<RowCondition> conditions, std::vector<RowWrite> writes,
                      CommitCallback callback) = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_SHARED_STORE_H_
