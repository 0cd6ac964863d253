#include "hingespan/serving/crashing_requests.h"

#include <algorithm>
#include <iterator>

namespace hingespan::gateway {

void CrashingRequests::RecordEnd(RequestContent request, const std::string& worker_id,
                                 absl::Time now) {
  Expire(now);
  if (WasServed(request, now)) {
    return;
  }
  if (ends_.size() >= settings_.max_requests && !ends_.contains(request)) {
    ends_.erase(std::min_element(
        ends_.begin(), ends_.end(),
        [](const auto& left, const auto& right) { return left.second.last < right.second.last; }));
  }
  Ends& ends = ends_[request];
  ends.workers.insert(worker_id);
  ends.last = now;
}

void CrashingRequests::RetractEnds(const std::string& worker_id) {
  for (auto entry = ends_.begin(); entry != ends_.end();) {
    entry->second.workers.erase(worker_id);
    entry = entry->second.workers.empty() ? ends_.erase(entry) : std::next(entry);
  }
}

void CrashingRequests::RecordServed(RequestContent request, absl::Time now) {
  ends_.erase(request);
  if (served_.size() >= settings_.max_served) {
    absl::erase_if(served_,
                   [&](const auto& entry) { return entry.second + settings_.lifetime <= now; });
  }
  if (served_.size() >= settings_.max_served) {
    served_.clear();
  }
  served_[request] = now;
}

bool CrashingRequests::WasServed(RequestContent request, absl::Time now) const {
  const auto entry = served_.find(request);
  return entry != served_.end() && now - entry->second < settings_.lifetime;
}

absl::Duration CrashingRequests::RefusedFor(RequestContent request, absl::Time now) const {
  const auto entry = ends_.find(request);
  if (entry == ends_.end() || entry->second.workers.size() < settings_.max_ends) {
    return absl::ZeroDuration();
  }
  return std::max(absl::ZeroDuration(), entry->second.last + settings_.lifetime - now);
}

std::size_t CrashingRequests::EndsUnder(RequestContent request) const {
  const auto entry = ends_.find(request);
  return entry == ends_.end() ? 0 : entry->second.workers.size();
}

std::set<std::string> CrashingRequests::WorkersEndedUnder(RequestContent request) const {
  const auto entry = ends_.find(request);
  return entry == ends_.end() ? std::set<std::string>() : entry->second.workers;
}

std::set<RequestContent> CrashingRequests::EndedBy(const std::string& worker_id) const {
  std::set<RequestContent> requests;
  for (const auto& [request, ends] : ends_) {
    if (ends.workers.contains(worker_id)) {
      requests.insert(request);
    }
  }
  return requests;
}

void CrashingRequests::Expire(absl::Time now) {
  std::erase_if(ends_,
                [&](const auto& entry) { return entry.second.last + settings_.lifetime <= now; });
}

}  // namespace hingespan::gateway
