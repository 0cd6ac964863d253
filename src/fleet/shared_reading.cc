#include "hingespan/fleet/shared_reading.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "hingespan/fleet/copy_answer.h"

namespace hingespan::gateway {
namespace {

constexpr char kTablePath[] = "/tables/";
constexpr int kGone = 410;
constexpr int kNoCopy = 503;
// Size of a copy's answer beyond which it is no table that this node could hold.
constexpr std::size_t kMaxCopyBytes = 16 * 1024 * 1024;

// A reader is of use if its watches on the store may take at least this long.
constexpr absl::Duration kMinReaderWait = absl::Milliseconds(200);
// Time between a reader's answer from the store and the age at which its copy is stale.
constexpr absl::Duration kReaderMargin = absl::Milliseconds(300);

// Decodes the answer to a request that was sent at `sent`. Only the time for which the reader held
// it is known to have passed until the answer was sent: the rest may be its way, or a pause of this
// process.
std::optional<StoreRows> DecodeRows(const std::string& table, const std::string& bytes,
                                    absl::Time sent, absl::Time now) {
  Result<CopyAnswer> answer = DecodeCopyAnswer(table, bytes);
  if (!answer.ok()) {
    return std::nullopt;
  }
  answer->rows.as_of = std::min(now, sent + answer->held) - answer->age;
  return std::move(answer->rows);
}

std::uint64_t Rank(const std::string& node) { return XXH3_64bits(node.data(), node.size()); }

}  // namespace

// Watch request of another node that waits for changes.
struct SharedReading::PendingWatch {
  std::shared_ptr<ServerExchange> exchange;
  std::string table;
  std::uint64_t after = 0;
  absl::Time arrived;
  std::shared_ptr<LoopTimer> timer;
};

// One request to a reader; keeps itself alive until it ends.
class SharedReading::PeerCall : public AnswerReceiver,
                                public std::enable_shared_from_this<PeerCall> {
 public:
  using Callback = std::function<void(int status, const std::string& body)>;

  PeerCall(EventLoop* loop, Callback callback)
      : callback_(std::move(callback)), timer_(loop->MakeTimer()), loop_(loop) {}

  void Start(HttpClient* client, const std::string& address, const std::string& target,
             absl::Duration timeout) {
    self_ = shared_from_this();
    timer_->Set(loop_->Now() + timeout, [this] { End(0); });
    exchange_ = client->Send(address, RequestText("GET", target, address, {}, ""), this);
  }
  bool OnHead(const AnswerHead& head) override {
    status_ = head.status;
    return true;
  }
  void OnBody(absl::string_view piece) override {
    if (body_.size() + piece.size() > kMaxCopyBytes) {
      exchange_->Discard();
      End(0);
      return;
    }
    body_.append(piece.data(), piece.size());
  }
  void OnEnd(ExchangeResult result) override {
    End(result == ExchangeResult::kComplete ? status_ : 0);
  }

 private:
  void End(int status) {
    const std::shared_ptr<PeerCall> self = std::move(self_);
    if (self == nullptr) {
      return;
    }
    timer_->Cancel();
    exchange_.reset();
    callback_(status, body_);
  }

  Callback callback_;
  std::unique_ptr<LoopTimer> timer_;
  EventLoop* loop_;
  std::unique_ptr<ClientExchange> exchange_;
  int status_ = 0;
  std::string body_;
  std::shared_ptr<PeerCall> self_;
};

SharedReading::SharedReading(EventLoop* loop, SharedStore* store, HttpClient* client,
                             DecisionLog* log, SharedReadingSettings settings)
    : loop_(loop),
      store_(store),
      client_(client),
      log_(log),
      settings_(std::move(settings)),
      ages_(AgesOf(settings_)),
      server_(loop,
              [this](const std::shared_ptr<ServerExchange>& exchange) { OnRequest(exchange); }) {}

SharedReading::~SharedReading() { *alive_ = false; }

// A change that comes just after the store has confirmed a copy is known at other nodes no later
// than these times say, and a direct read follows.
SharedReading::Ages SharedReading::AgesOf(const SharedReadingSettings& settings) {
  Ages ages;
  ages.direct = settings.bound - settings.direct_read;
  ages.stale = ages.direct - settings.peer_slack;
  const absl::Duration for_reader = ages.stale - kReaderMargin;
  ages.reader_pause = std::min(settings.reader_pause, for_reader / 5);
  ages.reader_wait = std::min(settings.reader_wait, for_reader - ages.reader_pause);
  ages.allow_readers = ages.reader_wait >= kMinReaderWait;
  return ages;
}

absl::Time SharedReading::AsOf(const StoreRows& rows) const {
  return std::min(rows.as_of, loop_->Now());
}

absl::Duration SharedReading::TimeLeft(const std::string& table) const {
  const TableCopy& copy = copies_.at(table);
  return copy.known() ? copy.confirmed() + ages_.direct - loop_->Now() : absl::InfiniteDuration();
}

void SharedReading::Share(const std::string& table, TableCopy::SameMeaning same_meaning) {
  copies_.emplace(table, TableCopy(table, std::move(same_meaning)));
}

std::error_code SharedReading::Listen(const std::string& address) {
  return server_.Listen(address);
}

void SharedReading::SetNodes(const std::vector<FleetNode>& nodes) {
  std::vector<FleetNode> zone;
  for (const FleetNode& node : nodes) {
    if (node.zone == settings_.zone) {
      zone.push_back(node);
    }
  }
  const bool read_itself_before = reads_itself_;
  if (zone.size() <= settings_.max_nodes_without_readers || !ages_.allow_readers) {
    readers_.clear();
    reads_itself_ = true;
  } else {
    std::sort(zone.begin(), zone.end(), [](const FleetNode& left, const FleetNode& right) {
      if (left.link_mbps != right.link_mbps) {
        return left.link_mbps > right.link_mbps;
      }
      return Rank(left.name) < Rank(right.name);
    });
    zone.resize(settings_.readers_per_zone);
    readers_ = std::move(zone);
    reads_itself_ = readers_.front().name == settings_.node;
  }
  if (read_itself_before != reads_itself_) {
    log_->Write(LogLevel::kInfo, reads_itself_ ? "store_reader" : "store_reader_no_more",
                {{"nodes", absl::StrCat(nodes.size())}});
  }
}

const FleetNode* SharedReading::ChooseReader() const {
  const absl::Time now = loop_->Now();
  for (const FleetNode& reader : readers_) {
    const auto avoided = avoided_until_.find(reader.name);
    if (avoided == avoided_until_.end() || avoided->second <= now) {
      return reader.name == settings_.node ? nullptr : &reader;
    }
  }
  return nullptr;
}

void SharedReading::Avoid(const std::string& node, const std::string& why) {
  avoided_until_[node] = loop_->Now() + settings_.avoid_reader;
  log_->Write(LogLevel::kInfo, "store_reader_failed", {{"reader", node}, {"why", why}});
}

void SharedReading::ReadDirectly(const std::string& table, RowsCallback callback) {
  store_->Read(table, [this, alive = alive_, table, callback](Result<StoreRows> result) {
    if (!*alive) {
      return;
    }
    const auto copy = copies_.find(table);
    if (result.ok() && copy != copies_.end()) {
      copy->second.ApplySnapshot(*result, AsOf(*result));
      ScheduleAnswers(table);
    }
    callback(std::move(result));
  });
}

void SharedReading::WatchDirectly(const std::string& table, std::uint64_t after,
                                  absl::Duration wait, RowsCallback callback) {
  store_->Watch(table, after, wait,
                [this, alive = alive_, table, callback](Result<StoreRows> result) {
                  if (!*alive) {
                    return;
                  }
                  const auto copy = copies_.find(table);
                  if (result.ok() && !result->rows.empty()) {
                    changed_at_[table] = loop_->Now();
                  }
                  if (result.ok() && copy != copies_.end()) {
                    copy->second.ApplyChanges(*result, AsOf(*result));
                    ScheduleAnswers(table);
                  }
                  callback(std::move(result));
                });
}

void SharedReading::WatchAsReader(const std::string& table, std::uint64_t after,
                                  RowsCallback callback) {
  const auto changed = changed_at_.find(table);
  const absl::Time now = loop_->Now();
  if (changed == changed_at_.end() || changed->second + ages_.reader_pause <= now) {
    WatchDirectly(table, after, ages_.reader_wait, std::move(callback));
    return;
  }
  std::unique_ptr<LoopTimer>& timer = pause_timers_[table];
  if (timer == nullptr) {
    timer = loop_->MakeTimer();
  }
  timer->Set(changed->second + ages_.reader_pause, [this, table, after, callback] {
    WatchDirectly(table, after, ages_.reader_wait, callback);
  });
}

void SharedReading::Read(const std::string& table, RowsCallback callback) {
  const FleetNode* const reader = ChooseReader();
  if (reads_itself_ || reader == nullptr || !copies_.contains(table)) {
    ReadDirectly(table, std::move(callback));
    return;
  }
  const std::string name = reader->name;
  const auto on_answer = [this, alive = alive_, table, name, callback, sent = loop_->Now()](
                             int status, const std::string& body) {
    if (!*alive) {
      return;
    }
    const absl::Time now = loop_->Now();
    const std::optional<StoreRows> rows =
        status == 200 ? DecodeRows(table, body, sent, now) : std::nullopt;
    if (!rows.has_value() || now - rows->as_of > ages_.stale) {
      Avoid(name, rows.has_value() ? "stale" : absl::StrCat("status ", status));
      ReadDirectly(table, callback);
      return;
    }
    ApplyPeerAnswer(table, *rows, true);
    callback(*rows);
  };
  const absl::Duration timeout =
      std::clamp(TimeLeft(table), settings_.peer_slack, settings_.peer_wait);
  std::make_shared<PeerCall>(loop_, on_answer)
      ->Start(client_, reader->address, absl::StrCat(kTablePath, table), timeout);
}

void SharedReading::Watch(const std::string& table, std::uint64_t after, absl::Duration wait,
                          RowsCallback callback) {
  const FleetNode* const reader = ChooseReader();
  if (reads_itself_ || reader == nullptr || !copies_.contains(table)) {
    if (readers_.empty() || wait < ages_.reader_wait) {
      WatchDirectly(table, after, wait, std::move(callback));
    } else {
      WatchAsReader(table, after, std::move(callback));
    }
    return;
  }
  const std::string name = reader->name;
  const absl::Duration longest = std::min(wait, settings_.peer_wait);
  const absl::Duration left = TimeLeft(table);
  if (left <= absl::ZeroDuration()) {
    WatchDirectly(table, after, longest, std::move(callback));
    return;
  }
  const auto on_answer = [this, alive = alive_, table, name, after, longest, callback,
                          sent = loop_->Now()](int status, const std::string& body) {
    if (!*alive) {
      return;
    }
    if (status == kGone) {
      callback(Error::kNotFound);
      return;
    }
    const absl::Time now = loop_->Now();
    const std::optional<StoreRows> rows =
        status == 200 ? DecodeRows(table, body, sent, now) : std::nullopt;
    if (!rows.has_value() || now - rows->as_of > ages_.stale) {
      Avoid(name, rows.has_value() ? "stale" : absl::StrCat("status ", status));
      WatchDirectly(table, after, longest, callback);
      return;
    }
    ApplyPeerAnswer(table, *rows, false);
    callback(*rows);
  };
  const absl::Duration held =
      std::clamp(left - settings_.peer_slack, absl::ZeroDuration(), longest);
  std::make_shared<PeerCall>(loop_, on_answer)
      ->Start(client_, reader->address,
              absl::StrCat(kTablePath, table, "/", after, "/", absl::ToInt64Milliseconds(held)),
              std::min(held + settings_.peer_slack, left));
}

void SharedReading::ApplyPeerAnswer(const std::string& table, const StoreRows& rows,
                                    bool snapshot) {
  TableCopy& copy = copies_.at(table);
  if (snapshot) {
    copy.ApplySnapshot(rows, rows.as_of);
  } else {
    copy.ApplyChanges(rows, rows.as_of);
  }
}

void SharedReading::Commit(std::vector<RowCondition> conditions, std::vector<RowWrite> writes,
                           CommitCallback callback) {
  store_->Commit(std::move(conditions), std::move(writes), std::move(callback));
}

void SharedReading::OnRequest(const std::shared_ptr<ServerExchange>& exchange) {
  const std::vector<std::string> parts = absl::StrSplit(exchange->head().target, '/');
  // The parts are "", "tables" and the table, and for a watch also `after` and the wait in
  // milliseconds.
  const auto copy = parts.size() > 2 ? copies_.find(parts[2]) : copies_.end();
  const absl::Time now = loop_->Now();
  if (copy == copies_.end() || !copy->second.known() ||
      now - copy->second.confirmed() > ages_.stale) {
    exchange->Answer(kNoCopy, ReasonPhrase(kNoCopy), {}, {});
    return;
  }
  if (parts.size() < 5) {
    exchange->Answer(200, ReasonPhrase(200), {},
                     EncodeCopyAnswer({copy->second.Snapshot(), now - copy->second.confirmed(),
                                       absl::ZeroDuration()}));
    return;
  }
  PendingWatch watch{exchange, parts[2], 0, now, nullptr};
  std::int64_t wait = 0;
  if (!absl::SimpleAtoi(parts[3], &watch.after) || !absl::SimpleAtoi(parts[4], &wait)) {
    exchange->Answer(400, ReasonPhrase(400), {}, {});
    return;
  }
  if (copy->second.HasChangesAfter(watch.after)) {
    Answer(watch);
    return;
  }
  watch.timer = loop_->MakeTimer();
  pending_watches_.push_back(watch);
  const auto entry = std::prev(pending_watches_.end());
  const absl::Duration held = std::min(absl::Milliseconds(wait), settings_.peer_wait);
  watch.timer->Set(now + held, [this, entry] {
    const PendingWatch due = *entry;
    pending_watches_.erase(entry);
    Answer(due);
  });
}

void SharedReading::Answer(const PendingWatch& watch) {
  const TableCopy& copy = copies_.at(watch.table);
  const std::optional<StoreRows> changes = copy.ChangesAfter(watch.after);
  if (!changes.has_value()) {
    watch.exchange->Answer(kGone, "Gone", {}, {});
    return;
  }
  watch.exchange->Answer(
      200, ReasonPhrase(200), {},
      EncodeCopyAnswer({*changes, loop_->Now() - copy.confirmed(), loop_->Now() - watch.arrived}));
}

void SharedReading::ScheduleAnswers(const std::string& table) {
  if (batching_[table] || pending_watches_.empty()) {
    return;
  }
  batching_[table] = true;
  std::unique_ptr<LoopTimer>& timer = batch_timers_[table];
  if (timer == nullptr) {
    timer = loop_->MakeTimer();
  }
  timer->Set(loop_->Now() + settings_.batch_interval, [this, table] {
    batching_[table] = false;
    AnswerPendingWatches(table);
  });
}

void SharedReading::AnswerPendingWatches(const std::string& table) {
  const TableCopy& copy = copies_.at(table);
  for (auto entry = pending_watches_.begin(); entry != pending_watches_.end();) {
    if (entry->table != table || !copy.HasChangesAfter(entry->after)) {
      ++entry;
      continue;
    }
    const PendingWatch watch = *entry;
    entry = pending_watches_.erase(entry);
    Answer(watch);
  }
}

}  // namespace hingespan::gateway
