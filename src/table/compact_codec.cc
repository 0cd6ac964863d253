#include "hingespan/table/compact_codec.h"

#include <cstddef>

namespace hingespan {
namespace {

// The first varint of a row holds the kind in its lowest bits, followed by one bit for each field,
// in encoding order, that is set if the field differs from its default.
constexpr unsigned kKindBits = 2;
constexpr std::uint64_t kKindMask = (1U << kKindBits) - 1;
// Bit of the base, which is the first field so that it can be read without decoding the others.
constexpr std::uint64_t kHasBase = 1U << kKindBits;

const ModelRow& DefaultRow() {
  static const ModelRow* const kRow = new ModelRow;
  return *kRow;
}

void AppendText(std::string_view text, std::string* bytes) {
  AppendVarint(text.size(), bytes);
  bytes->append(text);
}

std::string_view ReadText(const char** bytes) {
  const std::size_t size = ReadVarint(bytes);
  const std::string_view text(*bytes, size);
  *bytes += size;
  return text;
}

template <typename Id>
Id ReadPooled(const StringPool& pool, const char** bytes) {
  return Id(pool.Text(static_cast<std::uint32_t>(ReadVarint(bytes))));
}

// Numeric fields of a row, in encoding order.
constexpr std::uint32_t ModelRow::*kNumericFields[] = {
    &ModelRow::memory_mib,  &ModelRow::max_replicas, &ModelRow::min_replicas,
    &ModelRow::max_wait_ms, &ModelRow::max_queue,    &ModelRow::max_concurrency,
    &ModelRow::idle_ms,
};

// Collects the encoded fields that differ from their defaults and the bits that mark them.
class RowWriter {
 public:
  explicit RowWriter(RowKind kind) : present_(static_cast<std::uint64_t>(kind)) {}

  // Advances to the next field and returns whether it must be written.
  bool Next(bool differs) {
    present_ |= static_cast<std::uint64_t>(differs) << next_bit_++;
    return differs;
  }
  std::string* fields() { return &fields_; }

  std::string Finish() const {
    std::string bytes;
    AppendVarint(present_, &bytes);
    return bytes + fields_;
  }

 private:
  std::uint64_t present_;
  unsigned next_bit_ = kKindBits;
  std::string fields_;
};

void AppendWeights(const ModelRow& row, StringPool* pool, std::string* bytes) {
  AppendVarint(row.weights.size(), bytes);
  for (const auto& [zone, weight] : row.weights) {
    AppendVarint(pool->Acquire(zone.value()), bytes);
    AppendVarint(weight, bytes);
  }
}

void ReadWeights(const StringPool& pool, const char** bytes, ModelRow* row) {
  const std::uint64_t count = ReadVarint(bytes);
  for (std::uint64_t index = 0; index < count; ++index) {
    const ZoneId zone = ReadPooled<ZoneId>(pool, bytes);
    row->weights.emplace_hint(row->weights.end(), zone, ReadVarint(bytes));
  }
}

}  // namespace

void AppendVarint(std::uint64_t value, std::string* bytes) {
  while (value >= kVarintContinuationBit) {
    bytes->push_back(static_cast<char>(value | kVarintContinuationBit));
    value >>= kVarintGroupBits;
  }
  bytes->push_back(static_cast<char>(value));
}

std::uint64_t ReadLongVarint(const char** bytes) {
  std::uint64_t value = 0;
  for (unsigned shift = 0;; shift += kVarintGroupBits) {
    const auto byte = static_cast<unsigned char>(**bytes);
    ++*bytes;
    value |= (byte & (kVarintContinuationBit - 1)) << shift;
    if (byte < kVarintContinuationBit) {
      return value;
    }
  }
}

std::string EncodeCompact(const ModelRow& row, StringPool* pool) {
  RowWriter writer(row.kind);
  if (writer.Next(!row.base.empty())) {
    AppendVarint(pool->Acquire(row.base.value()), writer.fields());
  }
  for (const auto number : kNumericFields) {
    if (writer.Next(row.*number != DefaultRow().*number)) {
      AppendVarint(row.*number, writer.fields());
    }
  }
  if (writer.Next(!row.checkpoint.empty())) {
    AppendText(row.checkpoint, writer.fields());
  }
  if (writer.Next(!row.weights.empty())) {
    AppendWeights(row, pool, writer.fields());
  }
  if (writer.Next(!row.edit.empty())) {
    AppendText(row.edit.value(), writer.fields());
  }
  if (writer.Next(!row.editor.empty())) {
    AppendVarint(pool->Acquire(row.editor), writer.fields());
  }
  return writer.Finish();
}

void DecodeCompact(const char* bytes, const StringPool& pool, ModelRow* row) {
  std::uint64_t present = ReadVarint(&bytes);
  row->kind = static_cast<RowKind>(present & kKindMask);
  present >>= kKindBits;
  const auto next = [&present] {
    const bool is_present = (present & 1U) != 0;
    present >>= 1U;
    return is_present;
  };
  row->base = next() ? ReadPooled<ModelName>(pool, &bytes) : ModelName();
  for (const auto number : kNumericFields) {
    row->*number = next() ? static_cast<std::uint32_t>(ReadVarint(&bytes)) : DefaultRow().*number;
  }
  row->checkpoint = next() ? ReadText(&bytes) : std::string_view();
  row->weights.clear();
  if (next()) {
    ReadWeights(pool, &bytes, row);
  }
  row->edit = next() ? EditId(std::string(ReadText(&bytes))) : EditId();
  row->editor = next() ? pool.Text(static_cast<std::uint32_t>(ReadVarint(&bytes))) : std::string();
}

void ReleaseTexts(const ModelRow& row, StringPool* pool) {
  if (!row.base.empty()) {
    pool->Release(row.base.value());
  }
  for (const auto& [zone, weight] : row.weights) {
    pool->Release(zone.value());
  }
  if (!row.editor.empty()) {
    pool->Release(row.editor);
  }
}

std::string EncodeCompact(const GrantRecord& grant, StringPool* pool) {
  std::string bytes;
  AppendVarint(grant.next_generation.value(), &bytes);
  AppendVarint(grant.slots.size(), &bytes);
  for (const GrantSlot& slot : grant.slots) {
    AppendVarint(pool->Acquire(slot.worker.value()), &bytes);
    AppendVarint(slot.incarnation.value(), &bytes);
    AppendVarint(pool->Acquire(slot.zone.value()), &bytes);
    AppendVarint(slot.generation.value(), &bytes);
    AppendVarint(static_cast<std::uint64_t>(slot.state), &bytes);
  }
  return bytes;
}

void DecodeCompact(const char* bytes, const StringPool& pool, GrantRecord* grant) {
  grant->next_generation = GrantGeneration(ReadVarint(&bytes));
  grant->slots.resize(ReadVarint(&bytes));
  for (GrantSlot& slot : grant->slots) {
    slot.worker = ReadPooled<WorkerId>(pool, &bytes);
    slot.incarnation = WorkerIncarnation(ReadVarint(&bytes));
    slot.zone = ReadPooled<ZoneId>(pool, &bytes);
    slot.generation = GrantGeneration(ReadVarint(&bytes));
    slot.state = static_cast<SlotState>(ReadVarint(&bytes));
  }
}

void ReleaseTexts(const GrantRecord& grant, StringPool* pool) {
  for (const GrantSlot& slot : grant.slots) {
    pool->Release(slot.worker.value());
    pool->Release(slot.zone.value());
  }
}

}  // namespace hingespan
