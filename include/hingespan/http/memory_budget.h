// Bounds a sum of buffers that grow independently of each other.
//
// One buffer may have a share of what is free, so that buffers that grow without end leave room for
// others. A small one always has room.
#ifndef HINGESPAN_HTTP_MEMORY_BUDGET_H_
#define HINGESPAN_HTTP_MEMORY_BUDGET_H_

#include <cstddef>

namespace hingespan::gateway {

struct MemoryBudgetSettings {
  // All buffers, in bytes.
  std::size_t total = 48 * 1024 * 1024;
  // One buffer, in bytes: at most, and even if nothing is free. A buffer that grows has up to twice
  // its content's size.
  std::size_t max_buffer = 8 * 1024 * 1024;
  std::size_t min_buffer = 16 * 1024;
};

// Not thread-safe. Outlives its reservations.
class MemoryBudget {
 public:
  explicit MemoryBudget(const MemoryBudgetSettings& settings = {}) : settings_(settings) {}

  // Size that one buffer may have now, in bytes.
  std::size_t BufferLimit() const;
  std::size_t used() const { return used_; }

 private:
  friend class MemoryReservation;

  MemoryBudgetSettings settings_;
  std::size_t used_ = 0;
};

// The part of one buffer; returned when it is destroyed.
class MemoryReservation {
 public:
  explicit MemoryReservation(MemoryBudget* budget) : budget_(budget) {}
  ~MemoryReservation() { Resize(0); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  // Sets the buffer's size in bytes. Returns whether it may be as large.
  bool Resize(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_;
  std::size_t bytes_ = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_MEMORY_BUDGET_H_
