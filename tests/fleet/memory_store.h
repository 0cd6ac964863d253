// In-memory stores for tests of what is kept in the shared store.
#ifndef TESTS_FLEET_MEMORY_STORE_H_
#define TESTS_FLEET_MEMORY_STORE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hingespan/http/event_loop.h"
#include "hingespan/serving/shared_store.h"

namespace hingespan::gateway {

// In-memory store. Keys are looked up in all tables.
class MemoryStore : public SharedStore {
 public:
  explicit MemoryStore(EventLoop* loop) : loop_(loop) {}
  void Read(const std::string& table, RowsCallback callback) override {
    ++reads;
    StoreRows rows{{}, version_};
    for (const auto& [name, row] : rows_) {
      if (row.table == table) {
        rows.rows.push_back(row);
      }
    }
    loop_->Post([callback, rows] { callback(rows); });
  }
  void Watch(const std::string&, std::uint64_t, absl::Duration, RowsCallback) override {}
  void Commit(std::vector<RowCondition> conditions, std::vector<RowWrite> writes,
              CommitCallback callback) override {
    ++commits;
    if (unanswered > 0) {
      --unanswered;
      late_.emplace_back(std::move(conditions), std::move(writes));
      loop_->Post([callback] { callback(Error::kTimeout); });
      return;
    }
    if (!Holds(conditions)) {
      loop_->Post([callback] { callback(Error::kConflict); });
      return;
    }
    Apply(writes);
    loop_->Post([callback, version = version_] { callback(version); });
  }

  std::string Value(const std::string& key) const {
    const auto row = Find(key);
    return row == rows_.end() ? std::string() : row->second.value;
  }
  int reads = 0;
  int commits = 0;
  bool Has(const std::string& key) const { return Find(key) != rows_.end(); }
  // Number of the next commits that get no answer; ApplyLate applies their writes later.
  int unanswered = 0;
  int late() const { return static_cast<int>(late_.size()); }
  void ApplyLate() {
    for (const auto& [conditions, writes] : std::exchange(late_, {})) {
      if (Holds(conditions)) {
        Apply(writes);
      }
    }
  }

 private:
  // By table and key.
  using Rows = std::map<std::pair<std::string, std::string>, StoreRow>;
  using Call = std::pair<std::vector<RowCondition>, std::vector<RowWrite>>;

  bool Holds(const std::vector<RowCondition>& conditions) const {
    return std::all_of(conditions.begin(), conditions.end(), [this](const RowCondition& condition) {
      const auto row = rows_.find({condition.table, condition.key});
      return (row == rows_.end() ? 0 : row->second.version) == condition.version;
    });
  }
  void Apply(const std::vector<RowWrite>& writes) {
    ++version_;
    for (const RowWrite& write : writes) {
      if (write.value.has_value()) {
        rows_[{write.table, write.key}] = {write.table, write.key, *write.value, version_, false};
      } else {
        rows_.erase({write.table, write.key});
      }
    }
  }
  Rows::const_iterator Find(const std::string& key) const {
    return std::find_if(rows_.begin(), rows_.end(),
                        [&](const auto& entry) { return entry.first.second == key; });
  }

  EventLoop* loop_;
  std::vector<Call> late_;
  Rows rows_;
  std::uint64_t version_ = 0;
};

// A node's way to the store, which is cut when the node is killed.
class NodeStore : public SharedStore {
 public:
  explicit NodeStore(MemoryStore* store) : store_(store) {}
  void Read(const std::string& table, RowsCallback callback) override {
    if (!cut) {
      store_->Read(table, std::move(callback));
    }
  }
  void Watch(const std::string&, std::uint64_t, absl::Duration, RowsCallback) override {}
  void Commit(std::vector<RowCondition> conditions, std::vector<RowWrite> writes,
              CommitCallback callback) override {
    if (!cut) {
      store_->Commit(std::move(conditions), std::move(writes), std::move(callback));
    }
  }

  bool cut = false;

 private:
  MemoryStore* store_;
};

}  // namespace hingespan::gateway

#endif  // TESTS_FLEET_MEMORY_STORE_H_
