// Follows one table of the shared store: reads a snapshot, then watches for changes indefinitely.
#ifndef HINGESPAN_SERVING_TABLE_FOLLOWER_H_
#define HINGESPAN_SERVING_TABLE_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "hingespan/common/random.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/serving/shared_store.h"

namespace hingespan::gateway {

struct TableFollowerSettings {
  std::string table;
  // Time for which one watch call waits for changes.
  absl::Duration wait = absl::Seconds(2.5);
  // Delay between an answer with changes and the next watch call, so that changes in quick
  // succession cost one call.
  absl::Duration pause = absl::ZeroDuration();
  absl::Duration first_retry = absl::Milliseconds(100);
  absl::Duration longest_retry = absl::Milliseconds(500);
};

// Not thread-safe; used only on its event loop.
class TableFollower {
 public:
  struct Callbacks {
    // Called with all rows of the table as of a version.
    std::function<void(const StoreRows&)> on_snapshot;
    std::function<void(const StoreRows&)> on_changes;
    // Called when the store begins or stops answering.
    std::function<void(bool connected)> on_connection_change;
  };

  TableFollower(EventLoop* loop, SharedStore* store, TableFollowerSettings settings,
                std::uint64_t seed, Callbacks callbacks);
  ~TableFollower();
  void Start();
  // Reads a new snapshot instead of continuing with changes.
  void Resynchronize() { version_known_ = false; }
  bool connected() const { return connected_; }
  // Time as of which the store had what this node knows of the table.
  absl::Time as_of() const { return as_of_; }

 private:
  void ReadAll();
  void WatchChanges();
  void Next();
  void Retry();
  void SetConnected(bool connected);
  void NoteAnswer(const StoreRows& rows);

  EventLoop* loop_;
  SharedStore* store_;
  TableFollowerSettings settings_;
  Random random_;
  Callbacks callbacks_;
  std::unique_ptr<LoopTimer> timer_;
  // Lets callbacks of the store detect that this object was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t version_ = 0;
  absl::Time as_of_ = absl::InfinitePast();
  bool version_known_ = false;
  bool connected_ = false;
  bool connection_known_ = false;
  int failures_ = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_TABLE_FOLLOWER_H_
