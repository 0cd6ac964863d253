#include "hingespan/serving/table_copy.h"

#include <algorithm>
#include <set>

namespace hingespan::gateway {

void TableCopy::Take(const StoreRow& row) {
  const auto known = rows_.find(row.key);
  if (known != rows_.end()) {
    if (known->second.version >= row.version) {
      return;
    }
    const bool same = !row.removed && !known->second.removed && same_meaning_ != nullptr &&
                      same_meaning_(known->second, row);
    if (same) {
      return;
    }
  }
  rows_[row.key] = row;
  newest_change_ = std::max(newest_change_, row.version);
}

void TableCopy::ApplySnapshot(const StoreRows& rows, absl::Time confirmed) {
  if (known_ && rows.version < version_) {
    return;
  }
  std::set<std::string> present;
  for (const StoreRow& row : rows.rows) {
    present.insert(row.key);
    Take(row);
  }
  for (auto& [key, row] : rows_) {
    if (!row.removed && !present.contains(key)) {
      row.removed = true;
      row.value.clear();
      row.version = rows.version;
      newest_change_ = std::max(newest_change_, rows.version);
    }
  }
  if (!known_) {
    first_version_ = rows.version;
  }
  known_ = true;
  version_ = rows.version;
  confirmed_ = std::max(confirmed_, confirmed);
}

void TableCopy::ApplyChanges(const StoreRows& rows, absl::Time confirmed) {
  if (!known_) {
    return;
  }
  for (const StoreRow& row : rows.rows) {
    Take(row);
  }
  version_ = std::max(version_, rows.version);
  confirmed_ = std::max(confirmed_, confirmed);
}

StoreRows TableCopy::Snapshot() const {
  StoreRows snapshot;
  snapshot.version = version_;
  for (const auto& [key, row] : rows_) {
    if (!row.removed) {
      snapshot.rows.push_back(row);
    }
  }
  return snapshot;
}

std::optional<StoreRows> TableCopy::ChangesAfter(std::uint64_t version) const {
  if (!known_ || version < first_version_) {
    return std::nullopt;
  }
  StoreRows changes;
  changes.version = std::max(version, version_);
  for (const auto& [key, row] : rows_) {
    if (row.version > version) {
      changes.rows.push_back(row);
    }
  }
  return changes;
}

}  // namespace hingespan::gateway
