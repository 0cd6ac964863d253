#include "hingespan/http/client_memory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hingespan::gateway {
namespace {

// Fraction of the total that is free after relief, so that it isn't needed again at once.
constexpr std::size_t kReliefDivisor = 8;
// The heap is released once the clients held this fraction of the total, and hold half of that.
constexpr std::size_t kMuchDivisor = 4;
// Lets a burst of releases end first.
constexpr absl::Duration kReleaseDelay = absl::Milliseconds(500);
// A holder counts as having waited for at least this long.
constexpr absl::Duration kMinWait = absl::Milliseconds(1);

struct Candidate {
  // Bytes multiplied by the seconds for which they were held.
  double cost = 0;
  MemoryHolder* holder = nullptr;
};

}  // namespace

ClientMemory::ClientMemory(EventLoop* loop, const ClientMemorySettings& settings,
                           std::function<void()> release_heap)
    : loop_(loop),
      settings_(settings),
      budget_({settings.total, settings.total, settings.small}),
      release_heap_(std::move(release_heap)),
      release_timer_(loop->MakeTimer()) {}

void ClientMemory::Resize(MemoryReservation* reservation, std::size_t bytes) {
  reservation->Resize(bytes);
  peak_ = std::max(peak_, budget_.used());
  if (peak_ > settings_.total / kMuchDivisor && budget_.used() < peak_ / 2) {
    ReleaseHeapLater();
  }
}

void ClientMemory::Relieve() {
  if (!exceeded()) {
    return;
  }
  for (MemoryHolder* const holder : holders_) {
    holder->Recount();
  }
  if (!exceeded()) {
    return;
  }
  const absl::Time now = loop_->Now();
  std::vector<Candidate> candidates;
  for (MemoryHolder* const holder : holders_) {
    const std::size_t bytes = holder->reclaimable_bytes();
    if (bytes > settings_.small) {
      const absl::Duration wait = std::max(kMinWait, now - holder->waiting_since());
      candidates.push_back({static_cast<double>(bytes) * absl::ToDoubleSeconds(wait), holder});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) { return left.cost > right.cost; });
  const std::size_t target = settings_.total - settings_.total / kReliefDivisor;
  for (const Candidate& candidate : candidates) {
    if (budget_.used() <= target) {
      return;
    }
    // One that has given way may have taken others with it.
    if (holders_.contains(candidate.holder)) {
      candidate.holder->GiveWay();
    }
  }
}

void ClientMemory::RelieveLater() {
  if (!exceeded() || relief_scheduled_) {
    return;
  }
  relief_scheduled_ = true;
  loop_->Post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->relief_scheduled_ = false;
      self->Relieve();
    }
  });
}

void ClientMemory::ReleaseHeapLater() {
  if (release_heap_ == nullptr || release_scheduled_) {
    return;
  }
  release_scheduled_ = true;
  release_timer_->Set(loop_->Now() + kReleaseDelay, [this] {
    release_scheduled_ = false;
    peak_ = budget_.used();
    release_heap_();
  });
}

}  // namespace hingespan::gateway
