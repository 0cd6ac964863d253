// An in-memory table service that can lose answers and run concurrent edits between commits.
#ifndef HINGESPAN_TESTS_OPERATOR_FAKE_TABLE_SERVICE_H_
#define HINGESPAN_TESTS_OPERATOR_FAKE_TABLE_SERVICE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hingespan/backing/table_service.h"
#include "hingespan/table/records.h"

namespace hingespan {

// Fault injected into a commit.
enum class CommitFault {
  kNone,
  // The commit fails without an effect.
  kUnavailable,
  kRateLimited,
  // The commit takes effect, then the caller gets an error.
  kAnswerLost,
  kTimeoutAfterEffect,
  // The commit has no effect, but the caller can't tell from the error.
  kTimeoutWithoutEffect,
};

// Not thread-safe.
class FakeTableService : public TableService {
 public:
  // Faults of the next commits, in order.
  std::deque<CommitFault> faults;
  // Called once, before the next commit. Tests make another operator's edit here.
  std::function<void()> before_next_commit;
  int commits = 0;
  // Maximum number of changes in one page.
  int page_limit = 1000;

  Result<TransactionResult> Commit(const Transaction& transaction, absl::Duration) override {
    ++commits;
    if (before_next_commit) {
      const std::function<void()> hook = std::move(before_next_commit);
      before_next_commit = nullptr;
      hook();
    }
    switch (NextFault()) {
      case CommitFault::kUnavailable:
        return Error::kUnavailable;
      case CommitFault::kRateLimited:
        return Error::kRateLimited;
      case CommitFault::kTimeoutWithoutEffect:
        return Error::kTimeout;
      case CommitFault::kAnswerLost:
        CommitWithoutFaults(transaction);
        return Error::kAnswerLost;
      case CommitFault::kTimeoutAfterEffect:
        CommitWithoutFaults(transaction);
        return Error::kTimeout;
      case CommitFault::kNone:
        break;
    }
    return CommitWithoutFaults(transaction);
  }

  // Commits without faults. For test setup and edits by other operators.
  TransactionResult CommitWithoutFaults(const Transaction& transaction) {
    TransactionResult result;
    for (const Precondition& precondition : transaction.preconditions) {
      const StoredValue present = Present(precondition.key);
      if (present.revision != precondition.revision) {
        result.conflicting.push_back(present);
      }
    }
    if (!result.conflicting.empty()) {
      return result;
    }
    latest_ = latest_.Next();
    for (const Write& write : transaction.writes) {
      history_[write.key].push_back({write.key, latest_, write.value});
    }
    result.committed = true;
    result.revision = latest_;
    return result;
  }

  Result<StoredValue> Read(const std::string& key, absl::Duration) override { return Present(key); }

  Result<ValueChangePage> ReadChanges(TableRevision after, int, absl::Duration) override {
    std::vector<StoredValue> changes;
    for (const auto& [key, values] : history_) {
      if (IsReplicated(key) && values.back().revision > after) {
        changes.push_back(values.back());
      }
    }
    std::sort(changes.begin(), changes.end(),
              [](const StoredValue& left, const StoredValue& right) {
                return left.revision < right.revision;
              });
    ValueChangePage page{{}, latest_, latest_};
    if (static_cast<int>(changes.size()) > page_limit) {
      changes.resize(page_limit);
      page.through = changes.back().revision;
    }
    page.changes = std::move(changes);
    return page;
  }

  Result<std::vector<StoredValue>> ReadHistory(const std::string& key, int limit,
                                               absl::Duration) override {
    std::vector<StoredValue> values = history_[key];
    std::reverse(values.begin(), values.end());
    values.resize(std::min<std::size_t>(values.size(), limit));
    return values;
  }

 private:
  static bool IsReplicated(const std::string& key) {
    return key.starts_with(kRowPrefix) || key.starts_with(kGrantPrefix) ||
           key.starts_with(kClaimPrefix);
  }

  CommitFault NextFault() {
    if (faults.empty()) {
      return CommitFault::kNone;
    }
    const CommitFault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  StoredValue Present(const std::string& key) const {
    const auto found = history_.find(key);
    if (found == history_.end() || !found->second.back().value.has_value()) {
      return {key, TableRevision(), std::nullopt};
    }
    return found->second.back();
  }

  TableRevision latest_;
  std::map<std::string, std::vector<StoredValue>> history_;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_OPERATOR_FAKE_TABLE_SERVICE_H_
