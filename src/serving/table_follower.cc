#include "hingespan/serving/table_follower.h"

#include <algorithm>
#include <utility>

namespace hingespan::gateway {

TableFollower::TableFollower(EventLoop* loop, SharedStore* store, TableFollowerSettings settings,
                             std::uint64_t seed, Callbacks callbacks)
    : loop_(loop),
      store_(store),
      settings_(std::move(settings)),
      random_(seed),
      callbacks_(std::move(callbacks)),
      timer_(loop->MakeTimer()) {}

TableFollower::~TableFollower() { *alive_ = false; }

void TableFollower::Start() { ReadAll(); }

void TableFollower::Next() {
  if (version_known_) {
    WatchChanges();
  } else {
    ReadAll();
  }
}

void TableFollower::SetConnected(bool connected) {
  if (connection_known_ && connected_ == connected) {
    return;
  }
  connection_known_ = true;
  connected_ = connected;
  if (callbacks_.on_connection_change) {
    callbacks_.on_connection_change(connected);
  }
}

void TableFollower::NoteAnswer(const StoreRows& rows) {
  failures_ = 0;
  as_of_ = std::max(as_of_, std::min(rows.as_of, loop_->Now()));
  SetConnected(true);
}

void TableFollower::ReadAll() {
  store_->Read(settings_.table, [this, alive = alive_](Result<StoreRows> result) {
    if (!*alive) {
      return;
    }
    // A snapshot older than the known version would revert changes.
    if (!result.ok() || result->version < version_) {
      Retry();
      return;
    }
    NoteAnswer(*result);
    version_ = result->version;
    version_known_ = true;
    callbacks_.on_snapshot(*result);
    Next();
  });
}

void TableFollower::WatchChanges() {
  // A waiting call is lost when the store fails. While the store doesn't answer, calls return at
  // once, so that its recovery is noticed.
  const absl::Duration wait = connected_ ? settings_.wait : absl::ZeroDuration();
  store_->Watch(settings_.table, version_, wait, [this, alive = alive_](Result<StoreRows> result) {
    if (!*alive) {
      return;
    }
    if (!result.ok()) {
      if (result.error() == make_error_code(Error::kNotFound)) {
        version_known_ = false;
        Next();
        return;
      }
      Retry();
      return;
    }
    NoteAnswer(*result);
    version_ = std::max(version_, result->version);
    if (result->rows.empty()) {
      Next();
      return;
    }
    callbacks_.on_changes(*result);
    timer_->Set(loop_->Now() + settings_.pause, [this] { Next(); });
  });
}

void TableFollower::Retry() {
  ++failures_;
  SetConnected(false);
  const int doublings = std::min(failures_ - 1, 4);
  const absl::Duration longest =
      std::min(settings_.longest_retry, settings_.first_retry * (1 << doublings));
  const absl::Duration wait = longest * (0.5 + 0.5 * random_.Fraction());
  timer_->Set(loop_->Now() + wait, [this] { Next(); });
}

}  // namespace hingespan::gateway
