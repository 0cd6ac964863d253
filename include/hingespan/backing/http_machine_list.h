// Client of the platform's machine list over HTTP with JSON, as described in docs/EMULATOR.md.
#ifndef HINGESPAN_BACKING_HTTP_MACHINE_LIST_H_
#define HINGESPAN_BACKING_HTTP_MACHINE_LIST_H_

#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hingespan/backing/machine_list.h"

namespace hingespan {

class JsonHttpClient;

// Thread-safe. Errors: kUnavailable and kRateLimited (the call had no effect), kTimeout and
// kAnswerLost (it may have had an effect), kMalformed for an unreadable answer, others by HTTP
// status.
//
// Caches the last list that came with an entity tag and sends the tag with the next read. The
// platform may then answer that the list has not changed. A platform without tags always sends the
// whole list.
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
  struct CachedListing {
    ZoneId zone;
    std::string etag;
    MachineListing listing;
  };

  // Returns the cached list as seen from the zone, or null if there is none.
  std::shared_ptr<const CachedListing> FindCached(const ZoneId& zone) const;
  void SetCached(CachedListing cached);
  Result<bool> Put(const std::string& name, std::string body, absl::Duration timeout);

  std::unique_ptr<JsonHttpClient> client_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const CachedListing> cached_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_HTTP_MACHINE_LIST_H_
