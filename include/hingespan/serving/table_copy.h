// Copy of one table of the shared store, kept by a node that reads the store, for other nodes to
// read from.
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

// Does no I/O; not thread-safe.
class TableCopy {
 public:
  // Returns whether two values of a row are equivalent, e.g. differ only in a heartbeat's number.
  // Such a change is not passed on.
  using SameMeaning = std::function<bool(const StoreRow& left, const StoreRow& right)>;

  TableCopy(std::string table, SameMeaning same_meaning)
      : table_(std::move(table)), same_meaning_(std::move(same_meaning)) {}

  // `confirmed` is the time as of which the store had these rows.
  void ApplySnapshot(const StoreRows& rows, absl::Time confirmed);
  void ApplyChanges(const StoreRows& rows, absl::Time confirmed);

  bool known() const { return known_; }
  std::uint64_t version() const { return version_; }
  // Time at which the store last confirmed that the copy was up to date.
  absl::Time confirmed() const { return confirmed_; }
  StoreRows Snapshot() const;
  // Returns the rows that changed after `version`, including removed ones; absent if the copy's
  // history doesn't reach back to `version`.
  std::optional<StoreRows> ChangesAfter(std::uint64_t version) const;
  bool HasChangesAfter(std::uint64_t version) const { return newest_change_ > version; }

 private:
  void Take(const StoreRow& row);

  std::string table_;
  SameMeaning same_meaning_;
  // Includes removed rows, so that their removal can be reported.
  std::map<std::string, StoreRow> rows_;
  bool known_ = false;
  std::uint64_t version_ = 0;
  std::uint64_t newest_change_ = 0;
  // Version of the first snapshot; earlier removals are not known.
  std::uint64_t first_version_ = 0;
  absl::Time confirmed_ = absl::InfinitePast();
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_TABLE_COPY_H_
