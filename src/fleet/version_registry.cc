#include "hingespan/fleet/version_registry.h"

#include <utility>

namespace hingespan::gateway {

void VersionRegistry::Observe(const std::map<std::string, WorkerState>& workers, absl::Time now) {
  for (const auto& [id, worker] : workers) {
    seen_[worker.record.service][worker.record.software_version] = now;
  }
}

void VersionRegistry::SetRecord(std::map<std::string, std::set<std::string>> record) {
  record_ = std::move(record);
}

std::set<std::string> VersionRegistry::KnownVersions(const std::string& service,
                                                     absl::Time now) const {
  const auto recorded = record_.find(service);
  std::set<std::string> versions =
      recorded == record_.end() ? std::set<std::string>() : recorded->second;
  const auto seen = seen_.find(service);
  if (seen != seen_.end()) {
    for (const auto& [version, at] : seen->second) {
      if (now - at <= kMemory) {
        versions.insert(version);
      }
    }
  }
  return versions;
}

std::optional<std::string> VersionRegistry::OnlyVersion(const std::string& service,
                                                        absl::Time now) const {
  if (!record_.contains(service)) {
    return std::nullopt;
  }
  const std::set<std::string> versions = KnownVersions(service, now);
  return versions.size() == 1 ? std::optional<std::string>(*versions.begin()) : std::nullopt;
}

std::map<std::string, std::set<std::string>> VersionRegistry::WantedRecord(absl::Time now) {
  for (const auto& [service, versions] : record_) {
    for (const std::string& version : versions) {
      seen_[service].try_emplace(version, now);
    }
  }
  std::map<std::string, std::set<std::string>> wanted;
  for (const auto& [service, versions] : seen_) {
    for (const auto& [version, at] : versions) {
      if (now - at <= kMemory) {
        wanted[service].insert(version);
      }
    }
  }
  return wanted;
}

}  // namespace hingespan::gateway
