#include "hingespan/fleet/stream_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace hingespan::gateway {

std::string ShortStreamId(const std::string& stream_id) {
  const bool is_text = std::all_of(stream_id.begin(), stream_id.end(),
                                   [](char each) { return absl::ascii_isprint(each); });
  if (is_text && stream_id.size() <= kMaxStreamIdBytes) {
    return stream_id;
  }
  const XXH128_hash_t hash = XXH3_128bits(stream_id.data(), stream_id.size());
  return absl::StrCat(absl::Hex(hash.high64), "-", absl::Hex(hash.low64));
}

void StreamRegistry::Add(const std::string& stream_id, Record record, absl::Time now) {
  Expire(now);
  const absl::Time expires = record.expires;
  records_.insert_or_assign(stream_id, std::move(record));
  by_expiry_.emplace(expires, stream_id);
}

std::optional<StreamSource> StreamRegistry::Find(const std::string& stream_id,
                                                 absl::Time now) const {
  const auto entry = records_.find(stream_id);
  if (entry == records_.end() || entry->second.expires <= now) {
    return std::nullopt;
  }
  return entry->second.source;
}

void StreamRegistry::ForEachOwn(
    absl::Time now,
    const std::function<void(const std::string& stream_id, const Record& record)>& visit) const {
  for (const auto& [stream_id, record] : records_) {
    if (record.own && record.expires > now) {
      visit(stream_id, record);
    }
  }
}

void StreamRegistry::Expire(absl::Time now) {
  while (!by_expiry_.empty() &&
         (by_expiry_.begin()->first <= now || records_.size() >= kMaxRecords)) {
    const auto first = by_expiry_.begin();
    const auto entry = records_.find(first->second);
    // A record that was added again has a later entry of its own.
    if (entry != records_.end() && entry->second.expires <= first->first) {
      records_.erase(entry);
    }
    by_expiry_.erase(first);
  }
}

}  // namespace hingespan::gateway
