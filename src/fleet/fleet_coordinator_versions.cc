// The fleet's record of software versions: a row for each service, written by the lease holder when
// a version comes or is forgotten.
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/common/log_line.h"
#include "hingespan/fleet/fleet_coordinator.h"
#include "hingespan/fleet/fleet_rows.h"

namespace hingespan::gateway {
namespace {

constexpr absl::string_view kVersionsPrefix = "versions/";

}  // namespace

void FleetCoordinator::ReadVersions(const StoreRows& rows) {
  std::map<std::string, std::set<std::string>> record;
  version_rows_.clear();
  for (const StoreRow& row : rows.rows) {
    if (!absl::StartsWith(row.key, kVersionsPrefix)) {
      continue;
    }
    const std::string service = row.key.substr(kVersionsPrefix.size());
    version_rows_[service] = row.version;
    Result<std::set<std::string>> versions = DecodeVersionsRow(row.value);
    if (!versions.ok()) {
      parts_.log->Write(LogLevel::kWarning, "version_row_malformed",
                        {{"service", AbbreviateForLog(service)}});
      continue;
    }
    if (!versions->empty()) {
      record[service] = *std::move(versions);
    }
  }
  parts_.versions->SetRecord(std::move(record));
}

void FleetCoordinator::WriteVersions() {
  if (version_write_in_flight_) {
    return;
  }
  const absl::Time now = parts_.loop->Now();
  parts_.versions->Observe(parts_.workers->workers(), now);
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  for (const auto& [service, versions] : parts_.versions->WantedRecord(now)) {
    const auto recorded = parts_.versions->record().find(service);
    if (recorded != parts_.versions->record().end() && recorded->second == versions) {
      continue;
    }
    const std::string key = absl::StrCat(kVersionsPrefix, service);
    const auto row = version_rows_.find(service);
    conditions.push_back({settings_.table, key, row == version_rows_.end() ? 0 : row->second});
    writes.push_back({settings_.table, key, EncodeVersionsRow(versions)});
  }
  if (writes.empty()) {
    return;
  }
  version_write_in_flight_ = true;
  parts_.store->Commit(std::move(conditions), std::move(writes),
                       [this](const Result<std::uint64_t>&) {
                         version_write_in_flight_ = false;
                         // Whatever became of the write, the table shows it.
                         ReadTable();
                       });
}

}  // namespace hingespan::gateway
