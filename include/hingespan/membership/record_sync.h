// Keeps a node's RecordStore up to date from the platform (on the zone's reader), from zone peers,
// and from a node of another zone while the platform is unreachable.
#ifndef HINGESPAN_MEMBERSHIP_RECORD_SYNC_H_
#define HINGESPAN_MEMBERSHIP_RECORD_SYNC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/ids.h"
#include "hingespan/common/random.h"
#include "hingespan/table/record_store.h"
#include "hingespan/transport/message.h"
#include "hingespan/transport/outbox.h"

namespace hingespan {

struct RecordSyncOptions {
  // Interval at which the zone's reader reads changes from the platform.
  absl::Duration read_interval = absl::Milliseconds(500);
  // Interval at which the reader exchanges revisions with one node of another zone.
  absl::Duration cross_zone_interval = absl::Seconds(2);
  // Interval at which a node that is behind repeats its fetch.
  absl::Duration fetch_interval = absl::Milliseconds(200);
  // Initial backoff of the reader after an error; doubles up to ten times this value.
  absl::Duration error_backoff = absl::Milliseconds(500);
  // A node that is not ready requests a snapshot from its peers. The reader reads the platform
  // instead if no page has arrived for snapshot_progress_timeout, or after snapshot_timeout in
  // total.
  absl::Duration snapshot_progress_timeout = absl::Seconds(1);
  absl::Duration snapshot_timeout = absl::Seconds(5);
  // A platform call without an answer is abandoned after this time.
  absl::Duration answer_timeout = absl::Seconds(15);
};

// Change read from the platform whose record could not be decoded; its key keeps the earlier value.
struct UndecodedRecord {
  std::string key;
  TableRevision revision;

  friend bool operator==(const UndecodedRecord&, const UndecodedRecord&) = default;
};

// Not thread-safe. Spec action: ApplyChanges (through RecordStore).
//
// A node that is behind fetches a few pages at a time. Only a ready node answers a fetch or pushes
// changes, so that two new nodes do not accept each other's empty tables as complete. Pages are
// split only between revisions: a transaction that is larger than a datagram is sent as one larger
// message, in fragments, so a transaction must stay below kMaximumMessageBytes.
class RecordSync {
 public:
  RecordSync(RecordStore* store, RecordSyncOptions options, std::uint64_t seed);

  // `is_reader` is true if this node is its zone's kPlatformReader. `peers` are the zone peers to
  // push changes to. `other_zones` are nodes of other zones; one of them is chosen at random.
  void Tick(bool is_reader, const std::vector<NodeId>& peers,
            const std::vector<NodeId>& other_zones, absl::Time now, Outbox* outbox);
  // Handles RecordFetch and RecordChanges, and the revision in Probe and ProbeAck.
  void Handle(const Envelope& envelope, absl::Time now, Outbox* outbox);
  void HandleAnswer(const PlatformAnswer& answer, const std::vector<NodeId>& peers, absl::Time now,
                    Outbox* outbox);

  // True if this node has caught up with the platform or a peer since its start and may serve
  // requests.
  bool ready() const { return ready_; }
  // Time of this node's last successful read of the platform; InfinitePast if there was none.
  absl::Time last_platform_read() const { return last_platform_read_; }
  // Number of changes skipped since the start because their records could not be decoded.
  std::uint64_t undecoded_count() const { return undecoded_count_; }
  // Returns the first of these changes since the last call, for the log.
  std::vector<UndecodedRecord> TakeUndecoded();

 private:
  // Returns true while a peer's snapshot may still arrive, so that the whole table need not be read
  // from the platform.
  bool AwaitsSnapshot(absl::Time now);
  void RequestSnapshot(absl::Time now, Outbox* outbox);
  void ReadPlatform(absl::Time now, Outbox* outbox);
  void HandleReadError(absl::Time now);
  // Returns the changes of a page that can be decoded. A record of unknown format is skipped: its
  // key keeps the earlier value, and other keys are not delayed.
  std::vector<RecordChange> DecodeChanges(const ValueChangePage& page);
  void RecordUndecoded(const StoredValue& stored);
  // Spec action: ApplyChanges.
  void HandleChanges(const Envelope& envelope, const RecordChanges& changes, absl::Time now,
                     Outbox* outbox);
  void FetchIfBehind(const NodeId& from, TableRevision theirs, absl::Time now, Outbox* outbox);
  // Repeats an unanswered fetch, at the same node or at a peer.
  void RetryFetch(const std::vector<NodeId>& peers, absl::Time now, Outbox* outbox);
  void Fetch(const NodeId& from, absl::Time now, Outbox* outbox);
  void AnswerFetch(const Envelope& envelope, const RecordFetch& fetch, Outbox* outbox);
  RecordChanges MakePage(TableRevision after) const;
  void PushChanges(TableRevision after, const std::vector<NodeId>& peers, Outbox* outbox);

  RecordStore* store_;
  RecordSyncOptions options_;
  Random random_;
  absl::Time next_read_ = absl::InfinitePast();
  absl::Time next_cross_zone_ = absl::InfinitePast();
  absl::Time snapshot_began_ = absl::InfiniteFuture();
  absl::Time snapshot_progress_ = absl::InfinitePast();
  absl::Time next_fetch_ = absl::InfinitePast();
  // Number of pages that made progress since the last fetch.
  int pages_since_fetch_ = 0;
  absl::Time last_platform_read_ = absl::InfinitePast();
  absl::Duration backoff_ = absl::ZeroDuration();
  std::uint64_t outstanding_call_ = 0;
  absl::Time call_sent_at_ = absl::InfinitePast();
  // Revision after which the outstanding call reads.
  TableRevision call_after_;
  std::uint64_t next_call_ = 1;
  // Newest known revision, the node that has it, and the number of fetches left without progress.
  TableRevision newest_known_;
  NodeId newest_source_;
  int fetches_left_ = 0;
  // Arguments of the last Tick; the reader pushes changes from other nodes to these peers.
  bool is_reader_ = false;
  std::vector<NodeId> peers_;
  bool ready_ = false;
  std::uint64_t undecoded_count_ = 0;
  std::vector<UndecodedRecord> undecoded_;
};

}  // namespace hingespan

#endif  // HINGESPAN_MEMBERSHIP_RECORD_SYNC_H_
