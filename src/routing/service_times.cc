#include "hingespan/routing/service_times.h"

namespace hingespan {
namespace {

// Weight of the newest observation in the moving average.
constexpr double kSmoothing = 0.2;
constexpr absl::Duration kForgetAfter = absl::Minutes(10);
constexpr absl::Duration kForgetInterval = absl::Minutes(1);

}  // namespace

void ServiceTimes::Observe(const ModelName& model, absl::Duration taken, absl::Time now) {
  ForgetOld(now);
  const auto [entry, is_new] = entries_.try_emplace(model, Entry{taken, now});
  if (!is_new) {
    entry->second.average += (taken - entry->second.average) * kSmoothing;
    entry->second.seen = now;
  }
}

absl::Duration ServiceTimes::Find(const ModelName& model) const {
  const auto entry = entries_.find(model);
  return entry == entries_.end() ? absl::ZeroDuration() : entry->second.average;
}

void ServiceTimes::ForgetOld(absl::Time now) {
  if (now < next_forget_) {
    return;
  }
  next_forget_ = now + kForgetInterval;
  absl::erase_if(entries_,
                 [now](const auto& entry) { return now - entry.second.seen >= kForgetAfter; });
}

}  // namespace hingespan
