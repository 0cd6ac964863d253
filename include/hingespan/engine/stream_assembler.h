// Reassembles a streamed answer from byte fragments across broken and resumed connections.
#ifndef HINGESPAN_ENGINE_STREAM_ASSEMBLER_H_
#define HINGESPAN_ENGINE_STREAM_ASSEMBLER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hingespan/engine/engine_client.h"

namespace hingespan {

// Not thread-safe.
class StreamAssembler {
 public:
  // Passes each chunk to `sink` exactly once and in order; `sink` must outlive this object.
  // `waits_are_announced` is copied into GenerationChunk::wait_is_announced of each chunk.
  explicit StreamAssembler(const ChunkSink* sink, bool waits_are_announced = false)
      : sink_(sink), waits_are_announced_(waits_are_announced) {}

  // Starts a new connection; discards an incomplete line of the previous one.
  void BeginConnection();
  // Consumes bytes. Returns false if the connection can't be used any further: a line was malformed
  // or too long, a sequence number was skipped, or the sink refused a chunk.
  bool Add(std::string_view bytes);

  // True once the terminal marker was received.
  bool complete() const { return complete_; }
  // True if the sink refused a chunk.
  bool refused() const { return refused_; }
  // Sequence number of the latest chunk passed to the sink.
  std::uint64_t last_sequence() const { return last_sequence_; }

 private:
  bool AddLine(std::string_view line);

  const ChunkSink* const sink_;
  const bool waits_are_announced_;
  std::string partial_line_;
  std::uint64_t last_sequence_ = 0;
  bool complete_ = false;
  bool refused_ = false;
};

}  // namespace hingespan

#endif  // HINGESPAN_ENGINE_STREAM_ASSEMBLER_H_
