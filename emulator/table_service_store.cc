#include "emulator/table_service_store.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "hingespan/table/records.h"

namespace hingespan::emulator {
namespace {

bool IsReplicated(const std::string& key) {
  return absl::StartsWith(key, kRowPrefix) || absl::StartsWith(key, kGrantPrefix) ||
         absl::StartsWith(key, kClaimPrefix);
}

}  // namespace

TransactionResult TableServiceStore::Commit(const Transaction& transaction) {
  absl::MutexLock lock(&mutex_);
  TransactionResult result;
  result.conflicting = Conflicts(transaction);
  if (!result.conflicting.empty()) {
    return result;
  }
  result.committed = true;
  if (!transaction.writes.empty()) {
    revision_ = revision_.Next();
  }
  for (const Write& write : transaction.writes) {
    Apply(write);
  }
  result.revision = revision_;
  return result;
}

std::vector<StoredValue> TableServiceStore::Conflicts(const Transaction& transaction) const {
  std::vector<StoredValue> conflicting;
  for (const Precondition& precondition : transaction.preconditions) {
    StoredValue present = ReadLocked(precondition.key);
    if (present.revision != precondition.revision) {
      conflicting.push_back(std::move(present));
    }
  }
  return conflicting;
}

void TableServiceStore::Apply(const Write& write) {
  std::vector<StoredValue>& history = values_[write.key];
  if (IsReplicated(write.key)) {
    if (!history.empty()) {
      change_order_.erase({history.back().revision, write.key});
    }
    change_order_[{revision_, write.key}] = true;
  }
  StoredValue stored{write.key, revision_, write.value};
  if (!history.empty() && history.back().revision == revision_) {
    history.back() = std::move(stored);
    return;
  }
  history.push_back(std::move(stored));
}

StoredValue TableServiceStore::Read(const std::string& key) const {
  absl::MutexLock lock(&mutex_);
  return ReadLocked(key);
}

StoredValue TableServiceStore::ReadLocked(const std::string& key) const {
  // A key that never existed and a deleted one both count as absent.
  auto found = values_.find(key);
  if (found == values_.end() || !found->second.back().value.has_value()) {
    return StoredValue{key, TableRevision(), std::nullopt};
  }
  return found->second.back();
}

ValueChangePage TableServiceStore::ReadChanges(TableRevision after, int limit) const {
  absl::MutexLock lock(&mutex_);
  ValueChangePage page;
  page.latest = revision_;
  page.through = revision_;
  const std::size_t wanted = static_cast<std::size_t>(std::max(1, limit));
  auto change = change_order_.lower_bound({after.Next(), std::string()});
  for (; change != change_order_.end(); ++change) {
    const auto& [revision, key] = change->first;
    const bool full = page.changes.size() >= wanted;
    if (full && page.changes.back().revision != revision) {
      page.through = page.changes.back().revision;
      break;
    }
    page.changes.push_back(values_.at(key).back());
  }
  return page;
}

std::vector<StoredValue> TableServiceStore::ReadHistory(const std::string& key, int limit) const {
  absl::MutexLock lock(&mutex_);
  std::vector<StoredValue> newest_first;
  auto found = values_.find(key);
  if (found == values_.end()) {
    return newest_first;
  }
  const std::size_t wanted = static_cast<std::size_t>(std::max(0, limit));
  for (auto value = found->second.rbegin(); value != found->second.rend(); ++value) {
    if (newest_first.size() >= wanted) {
      break;
    }
    newest_first.push_back(*value);
  }
  return newest_first;
}

TableRevision TableServiceStore::revision() const {
  absl::MutexLock lock(&mutex_);
  return revision_;
}

}  // namespace hingespan::emulator
