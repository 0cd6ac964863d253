#include "hingespan/engine/stream_assembler.h"

#include "hingespan/engine/engine_json.h"

namespace hingespan {
namespace {

// A longer line can't be a chunk, and the data after it can't be trusted.
constexpr std::size_t kMaximumLineBytes = 1 << 20;

}  // namespace

void StreamAssembler::BeginConnection() { partial_line_.clear(); }

bool StreamAssembler::Add(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      partial_line_.append(bytes);
      return partial_line_.size() <= kMaximumLineBytes;
    }
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (partial_line_.empty()) {
      if (!AddLine(line)) {
        return false;
      }
      continue;
    }
    partial_line_.append(line);
    const std::string complete_line = std::move(partial_line_);
    partial_line_.clear();
    if (!AddLine(complete_line)) {
      return false;
    }
  }
  return true;
}

bool StreamAssembler::AddLine(std::string_view line) {
  if (line.empty() || complete_) {
    return true;
  }
  Result<GenerationChunk> chunk = DecodeGenerationChunk(line);
  if (!chunk.ok() || chunk->sequence > last_sequence_ + 1) {
    // A malformed line or a gap: the missing chunks must be requested again.
    return false;
  }
  if (chunk->sequence <= last_sequence_) {
    return true;
  }
  chunk->wait_is_announced = waits_are_announced_;
  if (!(*sink_)(*chunk)) {
    refused_ = true;
    return false;
  }
  last_sequence_ = chunk->sequence;
  complete_ = chunk->last;
  return true;
}

}  // namespace hingespan
