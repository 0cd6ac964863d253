#include "emulator/answer_stream.h"

#include <utility>

namespace hingespan::emulator {

std::uint64_t AnswerStream::connection_round() const {
  absl::MutexLock lock(&mutex_);
  return connection_round_;
}

AnswerStream::Read AnswerStream::WaitAfter(std::uint64_t after, std::uint64_t connection_round) {
  absl::MutexLock lock(&mutex_);
  while (!Ready(after, connection_round)) {
    changed_.Wait(&mutex_);
  }
  Read read;
  if (connection_round != connection_round_) {
    read.close_connection = true;
    return read;
  }
  if (after < chunks_.size()) {
    read.chunks.assign(chunks_.begin() + static_cast<std::ptrdiff_t>(after), chunks_.end());
  }
  read.close_connection = read.chunks.empty();
  return read;
}

bool AnswerStream::Ready(std::uint64_t after, std::uint64_t round) const {
  const bool complete = !chunks_.empty() && chunks_.back().last;
  return after < chunks_.size() || round != connection_round_ || abandoned_ || complete;
}

void AnswerStream::Append(GenerationChunk chunk) {
  absl::MutexLock lock(&mutex_);
  chunk.sequence = chunks_.size() + 1;
  chunks_.push_back(std::move(chunk));
  changed_.SignalAll();
}

void AnswerStream::BreakConnections() {
  absl::MutexLock lock(&mutex_);
  ++connection_round_;
  changed_.SignalAll();
}

void AnswerStream::Abandon() {
  absl::MutexLock lock(&mutex_);
  abandoned_ = true;
  changed_.SignalAll();
}

}  // namespace hingespan::emulator
