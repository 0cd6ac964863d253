#include "hingespan/membership/record_sync.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

// Bytes of a datagram reserved for the envelope and the frame of RecordChanges.
constexpr std::size_t kEnvelopeBytes = 200;
constexpr std::size_t kPageBytes = kMaximumDatagramBytes - kEnvelopeBytes;
// Maximum number of pages pushed to peers; a peer that needs more fetches them.
constexpr int kMaxPushedPages = 4;
// Maximum number of pages in the answer to one fetch; this reduces the round trips of a snapshot by
// that factor.
constexpr int kMaxPagesPerFetch = 8;
// Number of fetches without progress after which a revision that no node seems to have is given up
// until the next hint.
constexpr int kFetchAttempts = 10;
constexpr int kMaximumBackoffFactor = 10;
// Maximum number of undecoded records kept for the log.
constexpr std::size_t kMaxUndecodedRecords = 64;

}  // namespace

RecordSync::RecordSync(RecordStore* store, RecordSyncOptions options, std::uint64_t seed)
    : store_(store), options_(options), random_(seed) {}

void RecordSync::Tick(bool is_reader, const std::vector<NodeId>& peers,
                      const std::vector<NodeId>& other_zones, absl::Time now, Outbox* outbox) {
  is_reader_ = is_reader;
  peers_ = peers;
  RetryFetch(peers, now, outbox);
  const bool awaits_snapshot = AwaitsSnapshot(now);
  if (awaits_snapshot) {
    RequestSnapshot(now, outbox);
  }
  if (!is_reader) {
    return;
  }
  if (now >= next_read_ && !awaits_snapshot) {
    ReadPlatform(now, outbox);
  }
  if (now >= next_cross_zone_ && !other_zones.empty()) {
    next_cross_zone_ = now + options_.cross_zone_interval;
    outbox->Send(other_zones[random_.Below(other_zones.size())], RecordFetch{store_->revision()});
  }
}

bool RecordSync::AwaitsSnapshot(absl::Time now) {
  if (ready_ || peers_.empty()) {
    return false;
  }
  snapshot_began_ = std::min(snapshot_began_, now);
  const absl::Time last_progress = std::max(snapshot_began_, snapshot_progress_);
  return now - last_progress < options_.snapshot_progress_timeout &&
         now - snapshot_began_ < options_.snapshot_timeout;
}

void RecordSync::RequestSnapshot(absl::Time now, Outbox* outbox) {
  if (now < next_fetch_) {
    return;
  }
  Fetch(peers_[random_.Below(peers_.size())], now, outbox);
}

// --- The platform -------------------------------------------------------------------------------

void RecordSync::ReadPlatform(absl::Time now, Outbox* outbox) {
  if (outstanding_call_ != 0 && now - call_sent_at_ < options_.answer_timeout) {
    return;
  }
  outstanding_call_ = next_call_++;
  call_sent_at_ = now;
  call_after_ = store_->revision();
  next_read_ = now + options_.read_interval;
  PlatformCall call;
  call.call = outstanding_call_;
  call.owner = CallOwner::kRecords;
  call.request = ReadChangesCall{call_after_};
  outbox->platform_calls.push_back(std::move(call));
}

void RecordSync::HandleAnswer(const PlatformAnswer& answer, const std::vector<NodeId>& peers,
                              absl::Time now, Outbox* outbox) {
  if (answer.call != outstanding_call_ || outstanding_call_ == 0) {
    return;
  }
  outstanding_call_ = 0;
  const auto* page = std::get_if<ValueChangePage>(&answer.value);
  if (answer.error || page == nullptr) {
    HandleReadError(now);
    return;
  }
  backoff_ = absl::ZeroDuration();
  last_platform_read_ = now;
  const TableRevision before = store_->revision();
  store_->Apply(call_after_, page->through, DecodeChanges(*page));
  if (store_->revision() >= page->latest) {
    ready_ = true;
  } else {
    next_read_ = now;
  }
  PushChanges(before, peers, outbox);
}

void RecordSync::HandleReadError(absl::Time now) {
  const absl::Duration longest = options_.error_backoff * kMaximumBackoffFactor;
  backoff_ = std::clamp(backoff_ * 2, options_.error_backoff, longest);
  // Jitter keeps the readers of several zones from retrying at the same time.
  next_read_ = now + backoff_ * (0.5 + 0.5 * random_.Fraction());
}

std::vector<RecordChange> RecordSync::DecodeChanges(const ValueChangePage& page) {
  std::vector<RecordChange> changes;
  for (const StoredValue& stored : page.changes) {
    RecordChange change;
    change.key = stored.key;
    change.revision = stored.revision;
    if (stored.value) {
      Result<Record> record = DecodeRecord(stored.key, *stored.value);
      if (!record.ok()) {
        RecordUndecoded(stored);
        continue;
      }
      change.record = std::move(*record);
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

void RecordSync::RecordUndecoded(const StoredValue& stored) {
  ++undecoded_count_;
  if (undecoded_.size() < kMaxUndecodedRecords) {
    undecoded_.push_back({stored.key, stored.revision});
  }
}

std::vector<UndecodedRecord> RecordSync::TakeUndecoded() { return std::exchange(undecoded_, {}); }

// --- Peers --------------------------------------------------------------------------------------

void RecordSync::Handle(const Envelope& envelope, absl::Time now, Outbox* outbox) {
  if (const auto* probe = std::get_if<Probe>(&envelope.message)) {
    FetchIfBehind(envelope.from, probe->table_revision, now, outbox);
  } else if (const auto* ack = std::get_if<ProbeAck>(&envelope.message)) {
    FetchIfBehind(envelope.from, ack->table_revision, now, outbox);
  } else if (const auto* fetch = std::get_if<RecordFetch>(&envelope.message)) {
    AnswerFetch(envelope, *fetch, outbox);
    FetchIfBehind(envelope.from, fetch->after, now, outbox);
  } else if (const auto* changes = std::get_if<RecordChanges>(&envelope.message)) {
    HandleChanges(envelope, *changes, now, outbox);
  }
}

void RecordSync::HandleChanges(const Envelope& envelope, const RecordChanges& changes,
                               absl::Time now, Outbox* outbox) {
  const TableRevision before = store_->revision();
  store_->Apply(changes.after, changes.through, changes.changes);
  const bool progress = store_->revision() > before;
  if (store_->revision() >= changes.latest) {
    ready_ = true;
  }
  if (progress) {
    snapshot_progress_ = now;
    fetches_left_ = kFetchAttempts;
    ++pages_since_fetch_;
  }
  if (pages_since_fetch_ >= kMaxPagesPerFetch) {
    // This is the last page of the answer, so the next pages are requested immediately.
    next_fetch_ = absl::InfinitePast();
  }
  if (progress && is_reader_) {
    PushChanges(before, peers_, outbox);
  }
  FetchIfBehind(envelope.from, changes.latest, now, outbox);
}

void RecordSync::FetchIfBehind(const NodeId& from, TableRevision theirs, absl::Time now,
                               Outbox* outbox) {
  if (theirs <= store_->revision()) {
    return;
  }
  if (theirs >= newest_known_) {
    newest_known_ = theirs;
    newest_source_ = from;
    fetches_left_ = kFetchAttempts;
  }
  if (now < next_fetch_) {
    return;
  }
  Fetch(from, now, outbox);
}

void RecordSync::Fetch(const NodeId& from, absl::Time now, Outbox* outbox) {
  next_fetch_ = now + options_.fetch_interval;
  pages_since_fetch_ = 0;
  outbox->Send(from, RecordFetch{store_->revision()});
}

void RecordSync::RetryFetch(const std::vector<NodeId>& peers, absl::Time now, Outbox* outbox) {
  if (store_->revision() >= newest_known_ || fetches_left_ == 0 || now < next_fetch_) {
    return;
  }
  --fetches_left_;
  const std::size_t choice = random_.Below(peers.size() + 1);
  Fetch(choice == peers.size() ? newest_source_ : peers[choice], now, outbox);
}

RecordChanges RecordSync::MakePage(TableRevision after) const {
  RecordChanges page;
  page.after = after;
  page.latest = store_->revision();
  page.changes = store_->ChangesAfter(after, kPageBytes, &page.through);
  return page;
}

void RecordSync::AnswerFetch(const Envelope& envelope, const RecordFetch& fetch, Outbox* outbox) {
  if (!ready_) {
    return;
  }
  TableRevision after = fetch.after;
  for (int sent = 0; sent == 0 || (sent < kMaxPagesPerFetch && after < store_->revision());
       ++sent) {
    RecordChanges page = MakePage(after);
    after = page.through;
    outbox->Send(envelope.from, std::move(page));
  }
}

void RecordSync::PushChanges(TableRevision after, const std::vector<NodeId>& peers,
                             Outbox* outbox) {
  if (!ready_) {
    return;
  }
  for (int pushed = 0; pushed < kMaxPushedPages && after < store_->revision(); ++pushed) {
    const RecordChanges page = MakePage(after);
    after = page.through;
    for (const NodeId& peer : peers) {
      outbox->Send(peer, page);
    }
  }
}

}  // namespace hingespan
