// Checks that a stream holds events of one software version only, and that streams go on when their
// callers take them up.
#ifndef TESTS_SOAK_STREAM_VERSIONS_H_
#define TESTS_SOAK_STREAM_VERSIONS_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "tests/soak/promises.h"

namespace hingespan::soak {

// Returns the part of an event that names the software version, " by VERSION"; empty if there is
// none.
std::string VersionSuffix(absl::string_view event);

// Streams of one group, and those of them that brought events.
struct StreamShare {
  int all = 0;
  int served = 0;
  double value() const { return all == 0 ? 1 : static_cast<double>(served) / all; }
};

// Resumable streams at gateways in touch: new ones, and those taken up while two workers of their
// software version take work.
struct StreamShares {
  StreamShare fresh;
  StreamShare taken_up;
};
StreamShares CountStreams(const SoakRecords& records);

void CheckStreamVersions(const SoakRecords& records, std::vector<BrokenPromise>* broken);
void CheckStreamsGoOn(const SoakRecords& records, std::vector<BrokenPromise>* broken);

}  // namespace hingespan::soak

#endif  // TESTS_SOAK_STREAM_VERSIONS_H_
