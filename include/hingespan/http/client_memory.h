// Bounds what all clients together can make a node hold: heads, bodies, bytes read ahead, and
// answers that they don't read.
#ifndef HINGESPAN_HTTP_CLIENT_MEMORY_H_
#define HINGESPAN_HTTP_CLIENT_MEMORY_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "hingespan/http/event_loop.h"
#include "hingespan/http/memory_budget.h"

namespace hingespan::gateway {

struct ClientMemorySettings {
  // All clients, in bytes. Beyond it, clients that keep the node waiting are turned away.
  std::size_t total = std::numeric_limits<std::size_t>::max();
  // A client that makes the node hold no more than this, in bytes, is never turned away.
  std::size_t small = 16 * 1024;
};

// A client's connection, as far as it makes the node hold memory.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  // Corrects the bytes that the holder has reserved, where only the kernel knows the present
  // number.
  virtual void Recount() = 0;
  // Bytes that the node holds only because it waits for this client: for the rest of its request,
  // or for it to read its answer.
  virtual std::size_t reclaimable_bytes() const = 0;
  // Time since which the node waits for this client.
  virtual absl::Time waiting_since() const = 0;
  // Turns the client away and releases its memory.
  virtual void GiveWay() = 0;
};

// Shared by all servers of a node. Not thread-safe.
class ClientMemory : public std::enable_shared_from_this<ClientMemory> {
 public:
  // `release_heap` is called some time after much memory was released, to return free pages of the
  // heap to the system; may be null.
  ClientMemory(EventLoop* loop, const ClientMemorySettings& settings,
               std::function<void()> release_heap = nullptr);

  void Add(MemoryHolder* holder) { holders_.insert(holder); }
  void Remove(MemoryHolder* holder) { holders_.erase(holder); }
  MemoryBudget* budget() { return &budget_; }
  // Sets the bytes of one holder's reservation, which must be of budget().
  void Resize(MemoryReservation* reservation, std::size_t bytes);

  // If the clients hold too much, turns away those that have held most for longest, until some room
  // is free. May turn away any holder, so callers must check whether their own is still there.
  void Relieve();
  // Like Relieve, but not within this call.
  void RelieveLater();

 private:
  bool exceeded() const { return budget_.used() > settings_.total; }
  void ReleaseHeapLater();

  EventLoop* loop_;
  ClientMemorySettings settings_;
  MemoryBudget budget_;
  std::function<void()> release_heap_;
  std::unique_ptr<LoopTimer> release_timer_;
  absl::flat_hash_set<MemoryHolder*> holders_;
  // The most that was held since the heap was last released, in bytes.
  std::size_t peak_ = 0;
  bool relief_scheduled_ = false;
  bool release_scheduled_ = false;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_HTTP_CLIENT_MEMORY_H_
