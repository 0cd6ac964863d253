// Values of the rows that nodes write to the shared store. Another writer may have left anything
// under such a key: what can't be decoded is an error of that row alone.
#ifndef HINGESPAN_FLEET_FLEET_ROWS_H_
#define HINGESPAN_FLEET_FLEET_ROWS_H_

#include <map>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "hingespan/common/result.h"
#include "hingespan/fleet/lease_manager.h"
#include "hingespan/fleet/shared_reading.h"
#include "hingespan/serving/prompt_quarantine.h"
#include "hingespan/serving/stream_source.h"

namespace hingespan::gateway {

// Row of a node.
struct NodeAnnouncement {
  FleetNode node;
  // False for a node of an earlier release.
  bool answers_probes = false;
};

struct ArchivedStream {
  StreamSource source;
  // Wall-clock time until which the stream may be taken up.
  absl::Time expires;
};

// Streams by id.
using ArchivedStreams = std::map<std::string, ArchivedStream>;

// A quarantine as a row has it, without its id.
struct RecordedQuarantine {
  std::string service;
  PromptPartIds parts;
  // Wall-clock time of the first crash.
  absl::Time since;
  bool provisional = false;
};

std::string EncodeNodeRow(const NodeAnnouncement& announcement);
std::string EncodeLeaseRow(const LeaseRecord& record);
std::string EncodeVersionsRow(const std::set<std::string>& versions);
std::string EncodeStreamsRow(const ArchivedStreams& streams);
std::string EncodeQuarantineRow(const RecordedQuarantine& quarantine);

// All return kMalformed for a value that none of the functions above wrote, as far as can be told.
Result<NodeAnnouncement> DecodeNodeRow(const std::string& name, const std::string& value);
Result<LeaseRecord> DecodeLeaseRow(const std::string& value);
// Leaves out versions that are no texts.
Result<std::set<std::string>> DecodeVersionsRow(const std::string& value);
Result<ArchivedStreams> DecodeStreamsRow(const std::string& value);
Result<RecordedQuarantine> DecodeQuarantineRow(const std::string& value);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_FLEET_ROWS_H_
