// Applies rows of the store to the gateway: the current configuration and the workers.
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/common/log_line.h"
#include "hingespan/serving/gateway.h"

namespace hingespan::gateway {

void Gateway::ApplyConfiguration(const StoreRow& row) {
  if (row.removed || row.key != parts_.reader->configuration_key()) {
    return;
  }
  Result<Configuration> read = parts_.reader->ReadConfiguration(row);
  if (!read.ok()) {
    parts_.log->Write(LogLevel::kError, "configuration_malformed",
                      {{"row_version", absl::StrCat(row.version)}});
    return;
  }
  if (routes_ != nullptr && read->version <= routes_->configuration().version) {
    return;
  }
  auto configuration = std::make_shared<const Configuration>(std::move(*read));
  routes_ = std::make_shared<const RouteTable>(configuration);
  ServerLimits limits;
  limits.message.head_bytes = configuration->limits.max_head_bytes;
  limits.message.body_bytes = configuration->limits.max_body_bytes;
  limits.head_timeout = configuration->limits.head_timeout;
  limits.idle_timeout = configuration->limits.idle_timeout;
  SetRequestLimits(limits);
  fleet_->SetConfiguration(configuration);
  parts_.metrics->configuration_version = configuration->version;
  parts_.log->Write(LogLevel::kInfo, "configuration_applied",
                    {{"version", absl::StrCat(configuration->version)},
                     {"row_version", absl::StrCat(row.version)},
                     {"routes", absl::StrCat(configuration->routes.size())}});
  ScheduleDispatch();
}

void Gateway::ApplyWorkerRow(const StoreRow& row) {
  if (row.removed) {
    if (workers_.Remove(row.key, row.version)) {
      parts_.log->Write(LogLevel::kInfo, "worker_gone",
                        {{"worker", row.key}, {"row_version", absl::StrCat(row.version)}});
    }
    return;
  }
  Result<WorkerRecord> record = parts_.reader->ReadWorker(row);
  if (!record.ok()) {
    parts_.log->Write(LogLevel::kWarning, "worker_row_malformed",
                      {{"worker", AbbreviateForLog(row.key)}});
    return;
  }
  const bool draining = record->draining;
  const std::string address = record->address;
  const std::string software_version = record->software_version;
  const std::size_t models = record->models.size();
  if (workers_.Update(std::move(*record), row.version, parts_.loop->Now())) {
    parts_.log->Write(LogLevel::kInfo, "worker_changed",
                      {{"worker", row.key},
                       {"address", address},
                       {"software_version", software_version},
                       {"draining", draining ? "true" : "false"},
                       {"models", absl::StrCat(models)},
                       {"row_version", absl::StrCat(row.version)}});
  }
}

void Gateway::RefreshWorkers(std::function<void(bool read)> done) {
  parts_.store->Read(parts_.reader->worker_table(), [this, alive = alive_, done = std::move(done)](
                                                        const Result<StoreRows>& rows) {
    if (!*alive) {
      return;
    }
    if (rows.ok()) {
      ApplyWorkerSnapshot(*rows);
    } else {
      parts_.log->Write(LogLevel::kInfo, "workers_not_read", {{"error", rows.error().message()}});
    }
    done(rows.ok());
  });
}

void Gateway::ApplyWorkerSnapshot(const StoreRows& rows) {
  ObserveVersions();
  std::set<std::string> present;
  for (const StoreRow& row : rows.rows) {
    present.insert(row.key);
    ApplyWorkerRow(row);
  }
  workers_.RetainOnly(present, rows.version);
  workers_known_ = true;
  UpdateMixedServices();
  fleet_->WorkersChanged();
  ScheduleDispatch();
}

}  // namespace hingespan::gateway
