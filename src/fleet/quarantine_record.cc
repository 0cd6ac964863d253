#include "hingespan/fleet/quarantine_record.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/common/log_line.h"
#include "hingespan/fleet/fleet_rows.h"

namespace hingespan::gateway {
namespace {

constexpr absl::string_view kKeyPrefix = "quarantine/";
constexpr std::size_t kMaxOversized = 256;

}  // namespace

QuarantineRecord::QuarantineRecord(QuarantineRecordSettings settings, QuarantineRecordParts parts)
    : settings_(std::move(settings)), parts_(parts), retry_timer_(parts_.loop->MakeTimer()) {}

QuarantineRecord::~QuarantineRecord() { *alive_ = false; }

std::string QuarantineRecord::Encode(const Quarantine& quarantine) const {
  const absl::Time since = parts_.clock->WallTime() - (parts_.loop->Now() - quarantine.since);
  return EncodeQuarantineRow({quarantine.service, quarantine.parts, since, quarantine.provisional});
}

std::optional<Quarantine> QuarantineRecord::Decode(const std::string& id,
                                                   const std::string& value) const {
  const Result<RecordedQuarantine> read = DecodeQuarantineRow(value);
  if (!read.ok()) {
    return std::nullopt;
  }
  Quarantine quarantine;
  quarantine.id = id;
  quarantine.service = read->service;
  quarantine.parts = read->parts;
  quarantine.provisional = read->provisional;
  // The wall clocks of two machines may differ.
  quarantine.since =
      parts_.loop->Now() - std::max(parts_.clock->WallTime() - read->since, absl::ZeroDuration());
  return quarantine;
}

void QuarantineRecord::Add(const Quarantine& quarantine) {
  Entry& entry = entries_[quarantine.id];
  // Most likely there is no row yet; otherwise the write conflicts and the row is read.
  entry.version = entry.version.value_or(0);
  entry.wanted = quarantine;
  Flush(quarantine.id);
}

void QuarantineRecord::Narrow(const Quarantine& quarantine) {
  entries_[quarantine.id].wanted = quarantine;
  Flush(quarantine.id);
}

void QuarantineRecord::NarrowOwn(const Quarantine& quarantine) {
  const auto entry = entries_.find(quarantine.id);
  if (entry != entries_.end() && (entry->second.own || entry->second.wanted.has_value())) {
    Narrow(quarantine);
  }
}

void QuarantineRecord::OnTable(const StoreRows& rows) {
  if (rows.version < newest_version_) {
    return;
  }
  newest_version_ = rows.version;
  std::map<std::string, const StoreRow*> present;
  for (const StoreRow& row : rows.rows) {
    if (absl::StartsWith(row.key, kKeyPrefix)) {
      present[row.key.substr(kKeyPrefix.size())] = &row;
    }
  }
  for (const auto& [id, row] : present) {
    OnRow(id, *row);
  }
  RemoveMissing(present);
  if (listener_.on_read) {
    listener_.on_read();
  }
  FlushAll();
}

void QuarantineRecord::OnRow(const std::string& id, const StoreRow& row) {
  Entry& entry = entries_[id];
  if (entry.in_flight || entry.version == row.version) {
    return;
  }
  entry.version = row.version;
  const std::optional<Quarantine> quarantine = Decode(id, row.value);
  if (!quarantine.has_value()) {
    parts_.log->Write(LogLevel::kWarning, "quarantine_row_malformed",
                      {{"id", AbbreviateForLog(id)}});
    return;
  }
  if (entry.wanted.has_value()) {
    PromptPartIds& wanted = entry.wanted->parts;
    std::erase_if(wanted, [&](const auto& part) { return !quarantine->parts.contains(part); });
    if (wanted == quarantine->parts) {
      entry.wanted.reset();
    }
  }
  if (listener_.on_recorded) {
    listener_.on_recorded(*quarantine);
  }
}

void QuarantineRecord::RemoveMissing(const std::map<std::string, const StoreRow*>& present) {
  std::vector<std::string> removed;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    Entry& each = entry->second;
    if (present.contains(entry->first) || each.in_flight) {
      ++entry;
      continue;
    }
    const bool was_there = each.version.value_or(0) > 0;
    each.version = 0;
    const bool to_write = each.wanted.has_value() && !each.wanted->parts.empty() && !was_there;
    if (was_there) {
      removed.push_back(entry->first);
    }
    entry = to_write ? std::next(entry) : entries_.erase(entry);
  }
  for (const std::string& id : removed) {
    if (listener_.on_removed) {
      listener_.on_removed(id);
    }
  }
}

void QuarantineRecord::FlushAll() {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : entries_) {
    if (entry.wanted.has_value()) {
      ids.push_back(id);
    }
  }
  for (const std::string& id : ids) {
    Flush(id);
  }
}

void QuarantineRecord::Flush(const std::string& id) {
  Entry& entry = entries_.at(id);
  if (entry.in_flight || !entry.wanted.has_value()) {
    return;
  }
  if (!entry.version.has_value()) {
    Read();
    return;
  }
  const bool removes = entry.wanted->parts.empty();
  if (removes && *entry.version == 0) {
    entries_.erase(id);
    return;
  }
  std::string value = removes ? std::string() : Encode(*entry.wanted);
  if (value.size() > settings_.row_bytes) {
    parts_.log->Write(LogLevel::kWarning, "quarantine_not_recorded",
                      {{"id", id}, {"bytes", absl::StrCat(value.size())}});
    entries_.erase(id);
    if (oversized_.size() >= kMaxOversized) {
      oversized_.clear();
    }
    oversized_.insert(id);
    return;
  }
  entry.in_flight = true;
  entry.in_flight_parts = entry.wanted->parts;
  ++parts_.metrics->quarantine_writes;
  const std::string key = absl::StrCat(kKeyPrefix, id);
  parts_.store->Commit(
      {{settings_.table, key, *entry.version}},
      {{settings_.table, key, removes ? std::nullopt : std::make_optional(std::move(value))}},
      [this, alive = alive_, id](const Result<std::uint64_t>& result) {
        if (*alive) {
          OnCommitted(id, result);
        }
      });
}

void QuarantineRecord::OnCommitted(const std::string& id, const Result<std::uint64_t>& result) {
  Entry& entry = entries_.at(id);
  entry.in_flight = false;
  const PromptPartIds written = std::exchange(entry.in_flight_parts, {});
  if (!result.ok()) {
    parts_.log->Write(LogLevel::kInfo, "quarantine_write_failed",
                      {{"id", id}, {"error", result.error().message()}});
    // The row is read before the next write, as the outcome may be unknown.
    entry.version.reset();
    if (result.error() == make_error_code(Error::kConflict)) {
      Read();
    }
    RetryLater();
    return;
  }
  newest_version_ = std::max(newest_version_, *result);
  entry.own = true;
  entry.version = written.empty() ? 0 : *result;
  if (entry.wanted->parts != written) {
    Flush(id);  // It was narrowed meanwhile.
    return;
  }
  entry.wanted.reset();
  if (written.empty()) {
    entries_.erase(id);
  }
}

void QuarantineRecord::RetryLater() {
  retry_timer_->Set(parts_.loop->Now() + settings_.retry_interval, [this] {
    const bool pending = std::any_of(entries_.begin(), entries_.end(), [](const auto& entry) {
      return entry.second.wanted.has_value() && !entry.second.in_flight;
    });
    if (pending) {
      Read();
      RetryLater();
    }
  });
}

void QuarantineRecord::Read() {
  if (read_in_flight_) {
    return;
  }
  read_in_flight_ = true;
  parts_.store->Read(settings_.table, [this, alive = alive_](const Result<StoreRows>& result) {
    if (!*alive) {
      return;
    }
    read_in_flight_ = false;
    if (result.ok()) {
      OnTable(*result);
      return;
    }
    parts_.log->Write(LogLevel::kInfo, "quarantine_read_failed",
                      {{"error", result.error().message()}});
    RetryLater();
  });
}

}  // namespace hingespan::gateway
