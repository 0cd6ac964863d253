#include "hingespan/fleet/stream_archive.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/common/log_line.h"

namespace hingespan::gateway {
namespace {

// Time after the last expiry in a row until which its node may still come back, and by which the
// wall clocks of two machines may differ.
constexpr absl::Duration kStaleAfter = absl::Minutes(1);
// Number of parts of the table.
constexpr int kParts = 8;

std::string TableOfPart(const std::string& table, int part) {
  return absl::StrCat(table, "/", part);
}

}  // namespace

StreamArchive::StreamArchive(StreamArchiveSettings settings, StreamArchiveParts parts)
    : settings_(std::move(settings)), parts_(parts), write_timer_(parts_.loop->MakeTimer()) {}

StreamArchive::~StreamArchive() = default;

std::string StreamArchive::TableOf(const std::string& table, const std::string& node) {
  return TableOfPart(table, static_cast<int>(XXH3_64bits(node.data(), node.size()) % kParts));
}

void StreamArchive::Add(const std::string& stream_id, const StreamSource& source,
                        absl::Duration lifetime) {
  own_[stream_id] = {source, parts_.clock->WallTime() + lifetime};
  changed_ = true;
  ScheduleWrite();
}

void StreamArchive::ScheduleWrite() {
  if (write_in_flight_ || read_in_flight_) {
    return;
  }
  const absl::Time now = parts_.loop->Now();
  const absl::Duration interval = settings_.write_interval + settings_.write_interval_per_node *
                                                                 static_cast<double>(fleet_size_);
  absl::Time due = std::max(now, last_write_ + interval);
  if (!changed_) {
    // Nothing but the removal of what expires is left to write.
    absl::Time last_expiry = parts_.clock->WallTime();
    for (const auto& [stream_id, entry] : own_) {
      last_expiry = std::max(last_expiry, entry.expires);
    }
    due = std::max(due, now + (last_expiry - parts_.clock->WallTime()));
  }
  write_timer_->Set(due, [this] { Write(); });
}

std::string StreamArchive::TakeRowValue() {
  const absl::Time now = parts_.clock->WallTime();
  std::erase_if(own_, [now](const auto& stream) { return stream.second.expires <= now; });
  std::string value = EncodeStreamsRow(own_);
  while (value.size() > settings_.row_bytes) {
    std::vector<absl::Time> expiries;
    for (const auto& [stream_id, entry] : own_) {
      expiries.push_back(entry.expires);
    }
    const auto middle = expiries.begin() + static_cast<std::ptrdiff_t>(expiries.size() / 4);
    std::nth_element(expiries.begin(), middle, expiries.end());
    const std::size_t before = own_.size();
    std::erase_if(own_, [&](const auto& stream) { return stream.second.expires <= *middle; });
    parts_.log->Write(LogLevel::kWarning, "stream_archive_full",
                      {{"left_out", absl::StrCat(before - own_.size())}});
    value = EncodeStreamsRow(own_);
  }
  return value;
}

void StreamArchive::Write() {
  if (!row_version_.has_value()) {
    Read();
    return;
  }
  const std::string value = TakeRowValue();
  const bool removes = own_.empty();
  changed_ = false;
  if (removes && *row_version_ == 0) {
    return;
  }
  write_in_flight_ = true;
  last_write_ = parts_.loop->Now();
  ++parts_.metrics->stream_archive_writes;
  // The version is a condition, as a write of an earlier process may take effect late.
  const std::string table = TableOf(settings_.table, settings_.node);
  parts_.store->Commit(
      {{table, settings_.node, *row_version_}},
      {{table, settings_.node, removes ? std::nullopt : std::make_optional(value)}},
      [this, removes](Result<std::uint64_t> result) { OnWritten(result, removes); });
}

void StreamArchive::OnWritten(const Result<std::uint64_t>& result, bool removed) {
  write_in_flight_ = false;
  if (result.ok()) {
    row_version_ = removed ? 0 : *result;
  } else {
    parts_.log->Write(LogLevel::kInfo, "stream_archive_write_failed",
                      {{"error", result.error().message()}});
    // The row is read before the next write, as the outcome may be unknown.
    row_version_.reset();
    changed_ = true;
  }
  if (changed_ || !own_.empty()) {
    ScheduleWrite();
  }
}

void StreamArchive::Find(const std::string& stream_id, Callback done) {
  const auto own = own_.find(stream_id);
  if (own != own_.end()) {
    done(own->second.source);
    return;
  }
  searches_.push_back({stream_id, std::move(done)});
  if (parts_.loop->Now() - last_read_ <= settings_.read_interval) {
    EndSearches();
    return;
  }
  Read();
}

void StreamArchive::Read() {
  if (read_in_flight_) {
    return;
  }
  read_in_flight_ = true;
  const auto reading = std::make_shared<Reading>();
  reading->parts_left = kParts;
  for (int part = 0; part < kParts; ++part) {
    parts_.store->Read(
        TableOfPart(settings_.table, part), [this, reading](Result<StoreRows> result) {
          if (result.ok()) {
            std::move(result->rows.begin(), result->rows.end(), std::back_inserter(reading->rows));
          } else {
            reading->error = result.error();
          }
          if (--reading->parts_left == 0) {
            OnRead(*reading);
          }
        });
  }
}

void StreamArchive::OnRead(const Reading& reading) {
  read_in_flight_ = false;
  if (!reading.error) {
    OnRows(reading.rows);
  } else {
    last_write_ = parts_.loop->Now();
    parts_.log->Write(LogLevel::kInfo, "stream_archive_read_failed",
                      {{"error", reading.error.message()}});
  }
  EndSearches();
  if (changed_) {
    ScheduleWrite();
  }
}

void StreamArchive::OnRows(const std::vector<StoreRow>& rows) {
  last_read_ = parts_.loop->Now();
  read_.clear();
  const absl::Time stale = parts_.clock->WallTime() - kStaleAfter;
  std::optional<std::uint64_t> version = 0;
  for (const StoreRow& row : rows) {
    Result<ArchivedStreams> decoded = DecodeStreamsRow(row.value);
    if (!decoded.ok()) {
      parts_.log->Write(LogLevel::kWarning, "stream_archive_row_malformed",
                        {{"node", AbbreviateForLog(row.key)}});
    }
    ArchivedStreams streams = decoded.ok() ? *std::move(decoded) : ArchivedStreams();
    for (const auto& [stream_id, stream] : streams) {
      read_[stream_id] = stream.source;
    }
    if (row.key == settings_.node) {
      version = row.version;
      TakeOver(row, std::move(streams));
    } else if (std::all_of(streams.begin(), streams.end(),
                           [stale](const auto& stream) { return stream.second.expires < stale; })) {
      RemoveStale(row);
    }
  }
  if (!row_version_.has_value() && !write_in_flight_) {
    row_version_ = version;
  }
}

void StreamArchive::TakeOver(const StoreRow& row, ArchivedStreams streams) {
  if (row_version_.has_value() || write_in_flight_) {
    return;  // This process has written the row.
  }
  parts_.log->Write(
      LogLevel::kInfo, "stream_archive_taken_over",
      {{"streams", absl::StrCat(streams.size())}, {"row_version", absl::StrCat(row.version)}});
  own_.merge(streams);
  changed_ = true;
}

void StreamArchive::RemoveStale(const StoreRow& row) {
  const std::string table = TableOf(settings_.table, row.key);
  parts_.store->Commit({{table, row.key, row.version}}, {{table, row.key, std::nullopt}},
                       [this, key = row.key](const Result<std::uint64_t>& result) {
                         if (!result.ok()) {
                           parts_.log->Write(LogLevel::kInfo, "stream_archive_removal_failed",
                                             {{"node", key}, {"error", result.error().message()}});
                         }
                       });
}

void StreamArchive::EndSearches() {
  for (const Search& search : std::exchange(searches_, {})) {
    const auto found = read_.find(search.stream_id);
    search.done(found == read_.end() ? std::nullopt : std::make_optional(found->second));
  }
}

}  // namespace hingespan::gateway
