#include "hingespan/fleet/fleet_coordinator.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/fleet/fleet_rows.h"

namespace hingespan::gateway {
namespace {

constexpr char kLeaseKey[] = "lease/placement";
constexpr absl::Duration kPauseTick = absl::Milliseconds(400);
// Reports that are kept until an update includes them. Beyond, the newest one is taken for it.
constexpr std::size_t kMaxOwnReports = 32;

}  // namespace

FleetCoordinator::FleetCoordinator(FleetCoordinatorSettings settings, FleetCoordinatorParts parts)
    : settings_(std::move(settings)),
      parts_(std::move(parts)),
      lease_(settings_.lease),
      liveness_(settings_.liveness),
      placer_(settings_.placer),
      store_timer_(parts_.loop->MakeTimer()),
      report_timer_(parts_.loop->MakeTimer()),
      placement_timer_(parts_.loop->MakeTimer()),
      pause_timer_(parts_.loop->MakeTimer()),
      withdraw_timer_(parts_.loop->MakeTimer()) {}

void FleetCoordinator::Start() {
  last_tick_ = parts_.loop->Now();
  StoreTick();
  PauseTick();
}

void FleetCoordinator::Stop() {
  stopped_ = true;
  lease_.Resign();
  WithdrawNode();
}

void FleetCoordinator::SetConfiguration(std::shared_ptr<const Configuration> configuration) {
  configuration_ = std::move(configuration);
}

void FleetCoordinator::PauseTick() {
  NotePause();
  pause_timer_->Set(last_tick_ + kPauseTick, [this] { PauseTick(); });
}

void FleetCoordinator::NotePause() {
  const absl::Time now = parts_.loop->Now();
  if (now - last_tick_ > settings_.pause_limit) {
    parts_.log->Write(LogLevel::kWarning, "process_paused",
                      {{"for_ms", absl::StrCat(absl::ToInt64Milliseconds(now - last_tick_))}});
    lease_.OnPaused();
  }
  last_tick_ = now;
}

void FleetCoordinator::StoreTick() {
  ++store_ticks_;
  store_timer_->Set(parts_.loop->Now() + StoreInterval(), [this] { StoreTick(); });
  if (!announced_ && !stopped_) {
    AnnounceNode();
  }
  // The holder's renewals tell it all it needs; other nodes read the row.
  if (lease_.holding() && !lease_.needs_read() && announced_) {
    WriteLease();
    WriteVersions();
    CheckNodes();
    const bool due = store_ticks_ % settings_.renewals_between_reads == 0;
    if (!due && !parts_.reads_for_others()) {
      return;
    }
  }
  ReadTable();
}

absl::Duration FleetCoordinator::StoreInterval() const {
  // The rows of other nodes are still being written during the first ticks.
  constexpr int kFirstTicks = 3;
  if (parts_.reads_store() || store_ticks_ < kFirstTicks || lease_.holding()) {
    return settings_.store_interval;
  }
  const std::size_t own = std::hash<std::string>{}(settings_.node);
  // Spreads the nodes' reads over the interval by name.
  const double part = static_cast<double>(own % 1000) / 1000.0;
  return settings_.relaxed_store_interval * (0.75 + 0.5 * part);
}

void FleetCoordinator::ReadTable() {
  if (read_in_flight_) {
    return;
  }
  read_in_flight_ = true;
  parts_.store->Read(settings_.table,
                     [this, read_started = parts_.loop->Now()](Result<StoreRows> result) {
                       read_in_flight_ = false;
                       const absl::Time now = parts_.loop->Now();
                       if (!result.ok()) {
                         lease_.OnReadFailed(now);
                         return;
                       }
                       OnTable(*result, read_started);
                       // At the first read the rows of other nodes may be missing.
                       if (store_ticks_ > 1 || lease_.record().has_value()) {
                         WriteLease();
                       }
                     });
}

void FleetCoordinator::OnTable(const StoreRows& rows, absl::Time read_started) {
  CheckOwnRow(rows);
  ReadVersions(rows);
  std::optional<LeaseRecord> lease;
  std::uint64_t lease_version = 0;
  for (const StoreRow& row : rows.rows) {
    if (row.key == kLeaseKey) {
      const Result<LeaseRecord> read = DecodeLeaseRow(row.value);
      if (read.ok()) {
        lease = *read;
      } else {
        parts_.log->Write(LogLevel::kWarning, "lease_row_malformed",
                          {{"row_version", absl::StrCat(row.version)}});
      }
      lease_version = row.version;
    }
  }
  ReadNodes(rows, read_started);
  parts_.on_table(rows);
  const bool held_before = lease_.holding();
  const std::string holder_before =
      lease_.record().has_value() ? lease_.record()->holder : std::string();
  lease_.OnRead(lease, lease_version, parts_.loop->Now());
  if (lease.has_value()) {
    holder_address_ = lease->address;
    inherited_estimate_ = lease->weight_store;
  }
  if (lease.has_value() && lease->holder != holder_before) {
    parts_.log->Write(LogLevel::kInfo, "lease_seen",
                      {{"holder", lease->holder}, {"row_version", absl::StrCat(lease_version)}});
    ScheduleReport(absl::ZeroDuration());
  }
  NoteLeaseChange(held_before);
}

void FleetCoordinator::WriteLease() {
  std::optional<LeaseManager::Write> write = lease_.NextWrite(parts_.loop->Now());
  if (!write.has_value()) {
    return;
  }
  write->record.weight_store =
      lease_.holding() ? placer_.weight_store().estimate() : inherited_estimate_;
  parts_.store->Commit({{settings_.table, kLeaseKey, write->condition_version}},
                       {{settings_.table, kLeaseKey, EncodeLeaseRow(write->record)}},
                       [this](Result<std::uint64_t> result) {
                         const bool held_before = lease_.holding();
                         const absl::Time now = parts_.loop->Now();
                         if (result.ok()) {
                           lease_.OnCommitted(*result, now);
                         } else if (result.error() == make_error_code(Error::kConflict)) {
                           lease_.OnConflict(now);
                         } else {
                           lease_.OnCommitFailed(now);
                         }
                         NoteLeaseChange(held_before);
                         if (lease_.needs_read()) {
                           ReadTable();
                         }
                       });
}

void FleetCoordinator::NoteLeaseChange(bool held_before) {
  if (lease_.holding() == held_before) {
    return;
  }
  const absl::Time now = parts_.loop->Now();
  if (lease_.holding()) {
    ++parts_.metrics->lease_acquisitions;
    placer_.Begin(inherited_estimate_, now);
    liveness_.Begin(now);
    parts_.log->Write(LogLevel::kInfo, "lease_acquired",
                      {{"token", absl::StrCat(lease_.token())},
                       {"loads_at_once", absl::StrCat(placer_.weight_store().estimate().limit)}});
    // The other nodes have sent their reports to the former holder, so the first update carries no
    // loads.
    last_load_update_ = now + settings_.report_interval;
    SendUpdates({});
    ScheduleReport(absl::ZeroDuration());
    SchedulePlacement(now);
    return;
  }
  ++parts_.metrics->lease_losses;
  parts_.log->Write(LogLevel::kWarning, "lease_lost", {});
}

void FleetCoordinator::DemandWaits() { ScheduleReport(absl::Milliseconds(3)); }

void FleetCoordinator::DemandChanged() { ScheduleReport(settings_.report_interval); }

void FleetCoordinator::ScheduleReport(absl::Duration within) {
  const absl::Time due = parts_.loop->Now() + within;
  if (due >= report_due_) {
    return;
  }
  report_due_ = due;
  report_timer_->Set(due, [this] {
    report_due_ = absl::InfiniteFuture();
    SendReport();
  });
}

void FleetCoordinator::SendReport() {
  DemandReport report;
  report.node = settings_.node;
  report.incarnation = settings_.incarnation;
  report.number = ++report_number_;
  parts_.fill_report(&report);
  bool waiting = false;
  bool anything = !report.loads.empty();
  for (const ModelDemand& demand : report.demands) {
    waiting = waiting || demand.waiting > 0;
    anything = true;
  }
  std::map<std::string, PeersLoad>& own = own_reports_[report.number];
  for (const WorkerLoad& load : report.loads) {
    own[load.worker_id] = {load.running, load.unread_tokens};
  }
  if (own_reports_.size() > kMaxOwnReports) {
    own_reports_.erase(own_reports_.begin());
  }
  if (lease_.holding()) {
    placer_.OnReport(report, parts_.loop->Now());
    SchedulePlacement(parts_.loop->Now());
  } else if (!holder_address_.empty() && holder_address_ != settings_.address) {
    parts_.send(holder_address_, EncodeFleetMessage(report));
  }
  if (waiting) {
    ScheduleReport(settings_.waiting_report_interval);
  } else if (anything) {
    ScheduleReport(settings_.report_interval);
  }
}

void FleetCoordinator::WorkersChanged() {
  if (lease_.holding()) {
    WriteVersions();
    SchedulePlacement(parts_.loop->Now());
  }
}

void FleetCoordinator::OnReport(const DemandReport& report) {
  liveness_.OnHeard(report.node, parts_.loop->Now());
  placer_.OnReport(report, parts_.loop->Now());
  if (lease_.holding()) {
    SchedulePlacement(parts_.loop->Now());
  }
}

void FleetCoordinator::OnUpdate(const PlacementUpdate& update) {
  const bool older = update.token < last_update_token_ ||
                     (update.token == last_update_token_ && update.number <= last_update_number_);
  if (older) {
    return;
  }
  last_update_token_ = update.token;
  last_update_number_ = update.number;
  holder_address_ = update.address;
  ApplyUpdate(update);
}

}  // namespace hingespan::gateway
