#include "hingespan/table/record_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "hingespan/table/record_codec.h"

namespace hingespan {
namespace {

// Allowance for a change's revision and for the framing of its key and record.
constexpr std::size_t kChangeOverheadBytes = 32;

// Returns a high estimate of a change's size on the wire. The JSON text names every field, so it is
// longer than the positional encoding that is sent. The message codec can't be used here, as it
// depends on this module.
std::size_t EstimatedSize(const RecordChange& change) {
  const std::size_t frame = change.key.size() + kChangeOverheadBytes;
  if (!change.record) {
    return frame;
  }
  return frame + EncodeRecord(*change.record).size();
}

// Returns the number at the end of a claim range's key, or nullopt for any other key.
std::optional<KeyRangeId> RangeOfKey(absl::string_view key) {
  std::uint64_t number = 0;
  if (!absl::ConsumePrefix(&key, kClaimPrefix) || !absl::SimpleAtoi(key, &number)) {
    return std::nullopt;
  }
  return KeyRangeId(number);
}

// Returns the part of the key after `prefix`, or nullopt if the key has another prefix.
std::optional<std::string_view> AfterPrefix(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  return key.substr(prefix.size());
}

// Returns the cached record, or reads it with `read` and caches it. Returns null if it is absent.
template <typename T, typename Cache, typename Read>
std::shared_ptr<const T> FindDecoded(std::uint32_t model, Cache* cache, const Read& read) {
  auto& entry = (*cache)[model % cache->size()];
  if (entry.record != nullptr && entry.model == model) {
    return entry.record;
  }
  auto record = std::make_shared<T>();
  if (!read(record.get())) {
    return nullptr;
  }
  entry = {model, std::move(record)};
  return entry.record;
}

// Removes the record of `model` from the cache.
template <typename Cache>
void EvictDecoded(std::uint32_t model, Cache* cache) {
  auto& entry = (*cache)[model % cache->size()];
  if (entry.model == model) {
    entry.record = nullptr;
  }
}

}  // namespace

bool RecordStore::Apply(TableRevision after, TableRevision through,
                        const std::vector<RecordChange>& changes) {
  if (after > revision_ || through < after) {
    return false;
  }
  std::vector<std::string> changed;
  for (const RecordChange& change : changes) {
    if (change.revision <= through && ApplyOne(change)) {
      changed.push_back(change.key);
    }
  }
  revision_ = std::max(revision_, through);
  if (listener_) {
    for (const std::string& key : changed) {
      listener_(key);
    }
  }
  return true;
}

bool RecordStore::ApplyOne(const RecordChange& change) {
  const std::optional<KeyId> found = FindKey(change.key);
  const TableRevision held = found ? LatestRevision(*found) : TableRevision();
  if (change.revision <= held) {
    return false;
  }
  const KeyId id = found ? *found : AddKey(change.key);
  change_order_.erase(ChangePosition{held, id});
  change_order_.insert(change_order_.end(), ChangePosition{change.revision, id});
  Store(id, change);
  return true;
}

void RecordStore::Store(KeyId id, const RecordChange& change) {
  switch (id.kind) {
    case KeyKind::kRow:
      return StoreRow(id.number, change);
    case KeyKind::kGrant:
      return StoreGrant(id.number, change);
    case KeyKind::kOther:
      return StoreOther(id.number, change);
  }
}

void RecordStore::StoreRow(std::uint32_t model, const RecordChange& change) {
  const ModelRow* row = change.record ? std::get_if<ModelRow>(&*change.record) : nullptr;
  row_count_ -= models_.HasRow(model) ? 1 : 0;
  models_.SetRow(model, change.revision, row);
  row_count_ += row != nullptr ? 1 : 0;
  EvictDecoded(model, &decoded_rows_);
}

void RecordStore::StoreGrant(std::uint32_t model, const RecordChange& change) {
  const GrantRecord* grant = change.record ? std::get_if<GrantRecord>(&*change.record) : nullptr;
  models_.SetGrant(model, change.revision, grant);
  EvictDecoded(model, &decoded_grants_);
}

void RecordStore::StoreOther(std::uint32_t number, const RecordChange& change) {
  other_keys_[number].revision = change.revision;
  const std::optional<KeyRangeId> range = RangeOfKey(change.key);
  if (!range) {
    return;
  }
  const auto* claim = change.record ? std::get_if<ClaimRangeRecord>(&*change.record) : nullptr;
  if (claim == nullptr) {
    claims_.erase(*range);
  } else {
    claims_[*range] = *claim;
  }
}

// --- Keys ---------------------------------------------------------------------------------------

std::optional<RecordStore::KeyId> RecordStore::FindKey(std::string_view key) const {
  if (const auto row = AfterPrefix(key, kRowPrefix)) {
    const auto model = models_.Find(*row);
    return model ? std::optional(KeyId{KeyKind::kRow, *model}) : std::nullopt;
  }
  if (const auto grant = AfterPrefix(key, kGrantPrefix)) {
    const auto model = models_.Find(*grant);
    return model ? std::optional(KeyId{KeyKind::kGrant, *model}) : std::nullopt;
  }
  const auto other = other_numbers_.find(std::string(key));
  return other == other_numbers_.end() ? std::nullopt
                                       : std::optional(KeyId{KeyKind::kOther, other->second});
}

RecordStore::KeyId RecordStore::AddKey(std::string_view key) {
  if (const auto row = AfterPrefix(key, kRowPrefix)) {
    return {KeyKind::kRow, models_.FindOrAdd(*row)};
  }
  if (const auto grant = AfterPrefix(key, kGrantPrefix)) {
    return {KeyKind::kGrant, models_.FindOrAdd(*grant)};
  }
  const auto number = static_cast<std::uint32_t>(other_keys_.size());
  other_keys_.push_back({std::string(key), TableRevision()});
  other_numbers_.emplace(key, number);
  return {KeyKind::kOther, number};
}

std::string RecordStore::KeyOf(KeyId id) const {
  switch (id.kind) {
    case KeyKind::kRow:
      return std::string(kRowPrefix).append(models_.Name(id.number));
    case KeyKind::kGrant:
      return std::string(kGrantPrefix).append(models_.Name(id.number));
    case KeyKind::kOther:
      return other_keys_[id.number].key;
  }
  return {};
}

TableRevision RecordStore::LatestRevision(KeyId id) const {
  switch (id.kind) {
    case KeyKind::kRow:
      return models_.RowRevision(id.number);
    case KeyKind::kGrant:
      return models_.GrantRevision(id.number);
    case KeyKind::kOther:
      return other_keys_[id.number].revision;
  }
  return {};
}

bool RecordStore::IsPresent(KeyId id) const {
  switch (id.kind) {
    case KeyKind::kRow:
      return models_.HasRow(id.number);
    case KeyKind::kGrant:
      return models_.HasGrant(id.number);
    case KeyKind::kOther:
      return ReadRecord(id).has_value();
  }
  return false;
}

std::optional<Record> RecordStore::ReadRecord(KeyId id) const {
  ModelRow row;
  if (id.kind == KeyKind::kRow && models_.ReadRow(id.number, &row)) {
    return row;
  }
  GrantRecord grant;
  if (id.kind == KeyKind::kGrant && models_.ReadGrant(id.number, &grant)) {
    return grant;
  }
  if (id.kind != KeyKind::kOther) {
    return std::nullopt;
  }
  const std::optional<KeyRangeId> range = RangeOfKey(other_keys_[id.number].key);
  const ClaimRangeRecord* claim = range ? FindClaimRange(*range) : nullptr;
  return claim == nullptr ? std::nullopt : std::optional<Record>(*claim);
}

// --- Reading ------------------------------------------------------------------------------------

std::vector<RecordChange> RecordStore::ChangesAfter(TableRevision after, std::size_t byte_limit,
                                                    TableRevision* through) const {
  std::vector<RecordChange> page;
  *through = std::max(after, revision_);
  std::size_t size = 0;
  // Number of changes in `page` that belong to complete revisions, and the last such revision.
  std::size_t complete = 0;
  TableRevision complete_through = after;
  auto position = change_order_.lower_bound(ChangePosition{after.Next(), KeyId{KeyKind::kRow, 0}});
  for (; position != change_order_.end(); ++position) {
    if (!page.empty() && page.back().revision != position->revision) {
      complete = page.size();
      complete_through = page.back().revision;
    }
    page.push_back({KeyOf(position->key), position->revision, ReadRecord(position->key)});
    size += EstimatedSize(page.back());
    if (size > byte_limit && complete > 0) {
      page.resize(complete);
      *through = complete_through;
      return page;
    }
  }
  return page;
}

RowPointer RecordStore::FindRow(const ModelName& model) const {
  const std::optional<std::uint32_t> number = models_.Find(model.value());
  if (!number) {
    return nullptr;
  }
  return FindDecoded<ModelRow>(*number, &decoded_rows_,
                               [&](ModelRow* row) { return models_.ReadRow(*number, row); });
}

GrantPointer RecordStore::FindGrant(const ModelName& model) const {
  const std::optional<std::uint32_t> number = models_.Find(model.value());
  if (!number) {
    return nullptr;
  }
  return FindDecoded<GrantRecord>(*number, &decoded_grants_, [&](GrantRecord* grant) {
    return models_.ReadGrant(*number, grant);
  });
}

const ClaimRangeRecord* RecordStore::FindClaimRange(KeyRangeId range) const {
  const auto found = claims_.find(range);
  return found == claims_.end() ? nullptr : &found->second;
}

TableRevision RecordStore::RevisionOf(const std::string& key) const {
  const std::optional<KeyId> id = FindKey(key);
  return id && IsPresent(*id) ? LatestRevision(*id) : TableRevision();
}

void RecordStore::ForEachRow(const std::function<void(const ModelRow&)>& visit) const {
  ModelRow row;
  for (std::uint32_t model = 0; model < models_.size(); ++model) {
    if (models_.ReadRow(model, &row)) {
      visit(row);
    }
  }
}

TableRevision RecordStore::ForEachKeyAfter(
    TableRevision after, std::size_t at_most,
    const std::function<void(const std::string& key)>& visit) const {
  TableRevision reached = after;
  std::size_t visited = 0;
  auto position = change_order_.lower_bound(ChangePosition{after.Next(), KeyId{KeyKind::kRow, 0}});
  for (; position != change_order_.end(); ++position) {
    if (visited >= at_most && position->revision != reached) {
      break;
    }
    visit(KeyOf(position->key));
    reached = position->revision;
    ++visited;
  }
  return reached;
}

void RecordStore::ForEachGrant(const std::function<void(const GrantRecord&)>& visit) const {
  GrantRecord grant;
  for (std::uint32_t model = 0; model < models_.size(); ++model) {
    if (models_.ReadGrant(model, &grant)) {
      visit(grant);
    }
  }
}

std::size_t RecordStore::HeldBytes() const {
  return models_.HeldBytes() + change_order_.size() * sizeof(ChangePosition);
}

}  // namespace hingespan
