#include "hingespan/table/compact_records.h"

#include <string>
#include <utility>

#include "absl/hash/hash.h"
#include "hingespan/table/compact_codec.h"

namespace hingespan {
namespace {

// Returns the sizes of the three parts followed by the parts.
std::string Join(std::string_view name, std::string_view row, std::string_view grant) {
  std::string bytes;
  AppendVarint(name.size(), &bytes);
  AppendVarint(row.size(), &bytes);
  AppendVarint(grant.size(), &bytes);
  bytes.append(name);
  bytes.append(row);
  bytes.append(grant);
  return bytes;
}

}  // namespace

std::size_t CompactRecords::NameHash::operator()(std::string_view name) const {
  return absl::HashOf(name);
}

std::size_t CompactRecords::NameHash::operator()(std::uint32_t model) const {
  return absl::HashOf(PartsOf((*models)[model]).name);
}

bool CompactRecords::NameEqual::operator()(std::uint32_t model, std::string_view name) const {
  return PartsOf((*models)[model]).name == name;
}

bool CompactRecords::NameEqual::operator()(std::string_view name, std::uint32_t model) const {
  return PartsOf((*models)[model]).name == name;
}

CompactRecords::CompactRecords() : by_name_(0, NameHash{&models_}, NameEqual{&models_}) {}

std::optional<std::uint32_t> CompactRecords::Find(std::string_view model) const {
  const auto found = by_name_.find(model);
  return found == by_name_.end() ? std::nullopt : std::optional<std::uint32_t>(*found);
}

std::uint32_t CompactRecords::FindOrAdd(std::string_view model) {
  if (const auto found = Find(model)) {
    return *found;
  }
  const std::uint32_t added = size();
  models_.emplace_back();
  Replace({model, {}, {}}, &models_.back());
  by_name_.insert(added);
  return added;
}

std::string_view CompactRecords::Name(std::uint32_t model) const {
  return PartsOf(models_[model]).name;
}

void CompactRecords::SetRow(std::uint32_t model, TableRevision revision, const ModelRow* row) {
  ModelRow old;
  const bool had_row = ReadRow(model, &old);
  Model& entry = models_[model];
  const std::string encoded = row == nullptr ? std::string() : EncodeCompact(*row, &pool_);
  Parts parts = PartsOf(entry);
  parts.row = encoded;
  Replace(parts, &entry);
  entry.row_revision = revision;
  if (had_row) {
    ReleaseTexts(old, &pool_);
  }
}

void CompactRecords::SetGrant(std::uint32_t model, TableRevision revision,
                              const GrantRecord* grant) {
  GrantRecord old;
  const bool had_grant = ReadGrant(model, &old);
  Model& entry = models_[model];
  const std::string encoded = grant == nullptr ? std::string() : EncodeCompact(*grant, &pool_);
  Parts parts = PartsOf(entry);
  parts.grant = encoded;
  Replace(parts, &entry);
  entry.grant_revision = revision;
  if (had_grant) {
    ReleaseTexts(old, &pool_);
  }
}

bool CompactRecords::HasRow(std::uint32_t model) const {
  return !PartsOf(models_[model]).row.empty();
}

bool CompactRecords::HasGrant(std::uint32_t model) const {
  return !PartsOf(models_[model]).grant.empty();
}

bool CompactRecords::ReadRow(std::uint32_t model, ModelRow* row) const {
  const Parts parts = PartsOf(models_[model]);
  if (parts.row.empty()) {
    return false;
  }
  row->name = ModelName(std::string(parts.name));
  DecodeCompact(parts.row.data(), pool_, row);
  return true;
}

bool CompactRecords::ReadGrant(std::uint32_t model, GrantRecord* grant) const {
  const Parts parts = PartsOf(models_[model]);
  if (parts.grant.empty()) {
    return false;
  }
  grant->model = ModelName(std::string(parts.name));
  DecodeCompact(parts.grant.data(), pool_, grant);
  return true;
}

std::size_t CompactRecords::HeldBytes() const {
  return buffer_bytes_ + models_.size() * sizeof(Model) +
         by_name_.capacity() * (sizeof(std::uint32_t) + 1) + pool_.HeldBytes();
}

CompactRecords::Parts CompactRecords::PartsOf(const Model& model) {
  const char* name = model.bytes.get();
  const std::size_t name_size = ReadVarint(&name);
  const std::size_t row_size = ReadVarint(&name);
  const std::size_t grant_size = ReadVarint(&name);
  const char* const row = name + name_size;
  const char* const grant = row + row_size;
  return {{name, name_size}, {row, row_size}, {grant, grant_size}};
}

std::size_t CompactRecords::SizeOf(const Model& model) {
  const std::string_view last = PartsOf(model).grant;
  return static_cast<std::size_t>(last.data() + last.size() - model.bytes.get());
}

void CompactRecords::Replace(const Parts& parts, Model* model) {
  const std::string joined = Join(parts.name, parts.row, parts.grant);
  auto bytes = std::make_unique<char[]>(joined.size());
  joined.copy(bytes.get(), joined.size());
  if (model->bytes != nullptr) {
    buffer_bytes_ -= SizeOf(*model);
  }
  buffer_bytes_ += joined.size();
  model->bytes = std::move(bytes);
}

}  // namespace hingespan
