// The software versions of each service's workers at which a stream that can still be taken up may
// have begun.
#ifndef HINGESPAN_FLEET_VERSION_REGISTRY_H_
#define HINGESPAN_FLEET_VERSION_REGISTRY_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "hingespan/serving/worker_directory.h"

namespace hingespan::gateway {

// Combines the versions that this process has seen with the fleet's record in the store, which
// outlives all processes. Only the lease holder writes the record. Does no I/O; not thread-safe.
class VersionRegistry {
 public:
  // Time after the last sight of a version until it is forgotten: longer than any caller waits for
  // a stream, and than a worker without a row goes on serving.
  static constexpr absl::Duration kMemory = absl::Seconds(60);

  // Notes the versions of the workers that are present.
  void Observe(const std::map<std::string, WorkerState>& workers, absl::Time now);
  // Replaces the fleet's record, by service.
  void SetRecord(std::map<std::string, std::set<std::string>> record);

  // Returns the versions in the fleet's record or seen lately by this process.
  std::set<std::string> KnownVersions(const std::string& service, absl::Time now) const;
  // Returns the version if there is only one; std::nullopt if there are others, or if the fleet's
  // record is not known.
  std::optional<std::string> OnlyVersion(const std::string& service, absl::Time now) const;
  // Returns the versions that the record of each service should hold. At the lease holder, versions
  // in the record that this process has not seen are forgotten after kMemory too.
  std::map<std::string, std::set<std::string>> WantedRecord(absl::Time now);
  const std::map<std::string, std::set<std::string>>& record() const { return record_; }

 private:
  // Time at which a version was last seen, by service and version.
  std::map<std::string, std::map<std::string, absl::Time>> seen_;
  std::map<std::string, std::set<std::string>> record_;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_VERSION_REGISTRY_H_
