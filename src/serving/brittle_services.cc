#include "hingespan/serving/brittle_services.h"

#include <algorithm>
#include <utility>

namespace hingespan::gateway {
namespace {

// Workers say in each answer that they are brittle; longer than the pauses between answers.
constexpr absl::Duration kLifetime = absl::Seconds(15);
constexpr absl::Duration kRepeatAfter = absl::Milliseconds(100);
constexpr absl::Duration kTellInterval = absl::Seconds(3);

}  // namespace

std::pair<BrittleServices::Entry*, bool> BrittleServices::Refresh(const BrittleService& service,
                                                                  absl::Time now) {
  const auto [entry, added] = entries_.try_emplace(service.service);
  Entry& refreshed = entry->second;
  const bool fresh = added || refreshed.until <= now;
  if (fresh) {
    refreshed = {service, now, absl::InfinitePast(), false};
  }
  refreshed.service = service;
  refreshed.until = now + kLifetime;
  return {&refreshed, fresh};
}

bool BrittleServices::RecordAnswer(const BrittleService& service, absl::Time now) {
  Entry* const entry = Refresh(service, now).first;
  const absl::Duration interval = entry->repeated ? kTellInterval : kRepeatAfter;
  if (now - entry->told_at < interval) {
    return false;
  }
  entry->repeated = entry->told_at != absl::InfinitePast();
  entry->told_at = now;
  return true;
}

bool BrittleServices::RecordNotice(const BrittleService& service, absl::Time now) {
  const auto [entry, fresh] = Refresh(service, now);
  entry->told_at = now;
  entry->repeated = true;
  return fresh;
}

const BrittleService* BrittleServices::Find(const std::string& service, absl::Time now) const {
  const auto entry = entries_.find(service);
  return entry == entries_.end() || entry->second.until <= now ? nullptr : &entry->second.service;
}

std::vector<BrittleService> BrittleServices::All(absl::Time now) const {
  std::vector<BrittleService> services;
  for (const auto& [name, entry] : entries_) {
    if (entry.until > now) {
      services.push_back(entry.service);
    }
  }
  return services;
}

void BrittleServices::Expire(absl::Time now) {
  std::erase_if(entries_, [now](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace hingespan::gateway
