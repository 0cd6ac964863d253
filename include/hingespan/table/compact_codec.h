// Compact binary encoding of rows and grants, used only in this process's memory. Fields with
// default values are omitted, and strings that records share are stored as numbers of a StringPool.
#ifndef HINGESPAN_TABLE_COMPACT_CODEC_H_
#define HINGESPAN_TABLE_COMPACT_CODEC_H_

#include <cstdint>
#include <string>

#include "hingespan/table/records.h"
#include "hingespan/table/string_pool.h"

namespace hingespan {

// Integers are encoded as varints: groups of this many bits, lowest first, where the bit above a
// group is set if another group follows.
inline constexpr unsigned kVarintGroupBits = 7;
inline constexpr std::uint64_t kVarintContinuationBit = 1U << kVarintGroupBits;

void AppendVarint(std::uint64_t value, std::string* bytes);
// Reads a varint of any length and advances `*bytes` past it.
std::uint64_t ReadLongVarint(const char** bytes);
// Reads the varint at `*bytes` and advances `*bytes` past it. Inline for the common case of a
// single group.
inline std::uint64_t ReadVarint(const char** bytes) {
  const auto first = static_cast<unsigned char>(**bytes);
  if (first >= kVarintContinuationBit) {
    return ReadLongVarint(bytes);
  }
  ++*bytes;
  return first;
}

// Returns the encoding of a record without the model's name; never empty. Acquires the pooled
// strings that the encoding refers to.
std::string EncodeCompact(const ModelRow& row, StringPool* pool);
std::string EncodeCompact(const GrantRecord& grant, StringPool* pool);

// Sets every field except the model's name from the output of EncodeCompact with the same pool.
void DecodeCompact(const char* bytes, const StringPool& pool, ModelRow* row);
void DecodeCompact(const char* bytes, const StringPool& pool, GrantRecord* grant);

// Releases the pooled strings that were acquired when the record was encoded.
void ReleaseTexts(const ModelRow& row, StringPool* pool);
void ReleaseTexts(const GrantRecord& grant, StringPool* pool);

}  // namespace hingespan

#endif  // HINGESPAN_TABLE_COMPACT_CODEC_H_
