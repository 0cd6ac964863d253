// One table of the shared store as a node that reads it holds it, for other nodes to read from.
#ifndef HINGESPAN_SERVING_TABLE_COPY_H_
#define HINGESPAN_SERVING_TABLE_COPY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "hingespan/serving/shared_store.h"

namespace hingespan::gateway {

// Pure; not thread-safe.
class TableCopy {
 public:
  // Whether two values of a row mean the same, e.g. differ in a heartbeat's number only: such a
  // change is not passed on.
  using SameMeaning = std::function<bool(const StoreRow& left, const StoreRow& right)>;

  TableCopy(std::string table, SameMeaning same_meaning)
      : table_(std::move(table)), same_meaning_(std::move(same_meaning)) {}

  void TakeSnapshot(const StoreRows& rows, absl::Time now);
  void TakeChanges(const StoreRows& rows, absl::Time now);

  bool known() const { return known_; }
  std::uint64_t version() const { return version_; }
  // When the store last confirmed that nothing newer was there.
  absl::Time confirmed() const { return confirmed_; }
  StoreRows Snapshot() const;
  // Rows that changed after a version, removed ones among them. Absent: the copy doesn't reach
  // back.
  std::optional<StoreRows> ChangesAfter(std::uint64_t version) const;
  bool HasChangesAfter(std::uint64_t version) const { return newest_change_ > version; }

 private:
  void Take(const StoreRow& row);

  std::string table_;
  SameMeaning same_meaning_;
  // Removed rows stay, so that their removal can be told.
  std::map<std::string, StoreRow> rows_;
  bool known_ = false;
  std::uint64_t version_ = 0;
  std::uint64_t newest_change_ = 0;
  // Of the first snapshot: removals before it are not known.
  std::uint64_t first_version_ = 0;
  absl::Time confirmed_ = absl::InfinitePast();
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_TABLE_COPY_H_
