// Chunks of one answer: written by an engine and read by the connections that carry the answer.
#ifndef HINGESPAN_EMULATOR_ANSWER_STREAM_H_
#define HINGESPAN_EMULATOR_ANSWER_STREAM_H_

#include <cstdint>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "hingespan/engine/engine_client.h"

namespace hingespan::emulator {

// Thread-safe. Outlives the engine that writes it.
class AnswerStream {
 public:
  // Result of a read: new chunks, or a request to close the reader's connection.
  struct Read {
    std::vector<GenerationChunk> chunks;
    bool close_connection = false;
  };

  // Identifies the current set of connections; BreakConnections starts a new round.
  std::uint64_t connection_round() const;
  // Waits until there are chunks after `after` or the reader's connection must be closed.
  Read WaitAfter(std::uint64_t after, std::uint64_t connection_round);

  // Appends a chunk and assigns it the next sequence number.
  void Append(GenerationChunk chunk);
  // Closes the connections that are reading now. The stream continues and can be read again.
  void BreakConnections();
  // Marks the stream as abandoned: readers get the remaining chunks, then their connections are
  // closed.
  void Abandon();

 private:
  bool Ready(std::uint64_t after, std::uint64_t round) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  std::vector<GenerationChunk> chunks_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t connection_round_ ABSL_GUARDED_BY(mutex_) = 0;
  bool abandoned_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_ANSWER_STREAM_H_
