// A crash whose notice would not fit into one packet is told in several pieces, which the receiver
// puts together again.
#ifndef HINGESPAN_FLEET_CRASH_PIECES_H_
#define HINGESPAN_FLEET_CRASH_PIECES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/fleet/fleet_messages.h"

namespace hingespan::gateway {

// Returns notices of the same crash that together have all parts and requests of `whole`; at least
// one.
std::vector<CrashNotice> SplitNotice(const CrashNotice& whole);

// The parts of the prompts that one node sent to a worker count together only: a quarantine
// explains the crash if the node told of all its parts. Does no I/O; not thread-safe.
class CrashPieces {
 public:
  // Takes a piece. Returns the notice with the parts of all pieces once, when the last one has
  // come.
  std::optional<CrashNotice> Add(const CrashNotice& piece, absl::Time now);
  // Returns what has come of the notices that are not whole after all their rounds.
  std::vector<CrashNotice> TakeOverdue(absl::Time now);
  // Time at which TakeOverdue has something to return; InfiniteFuture if it never has.
  absl::Time NextOverdue() const;

 private:
  // Worker and the address of the node that tells of it.
  using Key = std::pair<std::string, std::string>;
  struct Assembly {
    CrashNotice notice;
    std::set<int> pieces;
    absl::Time since;
    // The notice was returned; its pieces still come in further rounds.
    bool returned = false;
  };

  std::map<Key, Assembly> assemblies_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_CRASH_PIECES_H_
