// The platform's machine list over HTTP with JSON, as docs/EMULATOR.md describes it.
#ifndef HINGESPAN_BACKING_HTTP_MACHINE_LIST_H_
#define HINGESPAN_BACKING_HTTP_MACHINE_LIST_H_

#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"

namespace hingespan {

class JsonHttpClient;

// Thread-safe. Errors: kUnavailable and kRateLimited (no effect), kTimeout and kAnswerLost (maybe
// an effect), kMalformed for an unreadable answer, others by HTTP status.
//
// Holds the last list that came with an entity tag, and names the tag with the next read: the
// platform may then answer that it has not changed. A platform without tags sends it whole.
class HttpMachineList : public MachineList {
 public:
  // `address`: "ip:port" of the platform.
  explicit HttpMachineList(const std::string& address);
  ~HttpMachineList() override;

  Result<MachineListing> Read(const ZoneId& zone, absl::Duration timeout) override;
  Result<bool> Announce(const NodeMachine& machine, absl::Duration timeout) override;
  Result<bool> AnnounceWorker(const WorkerId& worker, MachineState state,
                              absl::Duration timeout) override;

 private:
  struct HeldListing {
    ZoneId zone;
    std::string etag;
    MachineListing listing;
  };

  // Null when none is held as seen from the zone.
  std::shared_ptr<const HeldListing> HeldFor(const ZoneId& zone) const;
  void Hold(HeldListing held);
  Result<bool> Put(const std::string& name, std::string body, absl::Duration timeout);

  std::unique_ptr<JsonHttpClient> client_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const HeldListing> held_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_HTTP_MACHINE_LIST_H_
