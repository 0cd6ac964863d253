// Knows which services have brittle workers: workers that fall over once they reject more than a
// certain number of requests within a second for want of room.
#ifndef HINGESPAN_SERVING_BRITTLE_SERVICES_H_
#define HINGESPAN_SERVING_BRITTLE_SERVICES_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace hingespan::gateway {

struct BrittleService {
  std::string service;
  // Number of rejections within a second that a worker survives.
  int survived_rejections = 0;
};

// Does no I/O and reads no clock; not thread-safe.
class BrittleServices {
 public:
  // Records what a worker's answer said. Returns whether the other nodes are to be told now.
  bool RecordAnswer(const BrittleService& service, absl::Time now);
  // Records what another node told. Returns whether it is new here.
  bool RecordNotice(const BrittleService& service, absl::Time now);
  // Returns null unless the service's workers are brittle. Valid until the next call that is not
  // const.
  const BrittleService* Find(const std::string& service, absl::Time now) const;
  std::vector<BrittleService> All(absl::Time now) const;
  // True if no service has been brittle yet, or not for a while.
  bool empty() const { return entries_.empty(); }
  // Forgets the services whose workers have not said for a while that they are brittle.
  void Expire(absl::Time now);

 private:
  struct Entry {
    BrittleService service;
    absl::Time until;
    // Time at which all nodes were last told, by any of them.
    absl::Time told_at;
    // True once the first notice was repeated, as a datagram may be lost.
    bool repeated = false;
  };
  // Returns the entry and whether it is new.
  std::pair<Entry*, bool> Refresh(const BrittleService& service, absl::Time now);

  std::map<std::string, Entry> entries_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_BRITTLE_SERVICES_H_
