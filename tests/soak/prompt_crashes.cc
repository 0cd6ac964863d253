#include "tests/soak/prompt_crashes.h"

#include <algorithm>
#include <map>
#include <string>

#include "absl/strings/str_cat.h"

namespace hingespan::soak {
namespace {

constexpr std::size_t kCrashesBeforeBound = 5;
constexpr int kMaxLateArrivals = 3;
// Time after the fifth crash, or the last if there are fewer, from which sound prompts count.
const absl::Duration kServedAgainAfter = 2 * kContactTime;
constexpr double kMinShareOfBefore = 0.5;
// With fewer prompts their share says nothing.
constexpr int kMinSound = 20;

int CountLateArrivals(const SoakRecords& records, const std::vector<SoakWorkerView>& workers) {
  if (records.prompt_crashes.size() < kCrashesBeforeBound) {
    return 0;
  }
  const absl::Time bound_from = records.prompt_crashes[kCrashesBeforeBound - 1] + kContactTime;
  std::map<std::string, std::size_t> gateway_of;
  for (const auto& request : records.requests) {
    if (request->prompt == PromptKind::kCrashing) {
      gateway_of[request->id] = request->gateway;
    }
  }
  int count = 0;
  for (const SoakWorkerView& view : workers) {
    for (const auto& arrival : view.worker->arrivals()) {
      const auto entry = gateway_of.find(arrival.id);
      count += entry != gateway_of.end() && arrival.at > bound_from &&
                       records.InTouch(entry->second, arrival.at, arrival.at)
                   ? 1
                   : 0;
    }
  }
  return count;
}

}  // namespace

PromptCounts CountPrompts(const SoakRecords& records, const std::vector<SoakWorkerView>& workers) {
  PromptCounts counts;
  const std::vector<absl::Time>& crashes = records.prompt_crashes;
  if (crashes.empty()) {
    return counts;
  }
  counts.late_arrivals = CountLateArrivals(records, workers);
  absl::Time last_crashing = absl::InfinitePast();
  for (const auto& request : records.requests) {
    if (request->prompt == PromptKind::kCrashing) {
      last_crashing = std::max(last_crashing, request->sent);
    }
  }
  const absl::Time served_from =
      crashes[std::min(crashes.size(), kCrashesBeforeBound) - 1] + kServedAgainAfter;
  for (const auto& request : records.requests) {
    const bool before = request->ended_at < crashes.front();
    const bool after = request->sent > served_from && request->sent <= last_crashing;
    if (request->prompt != PromptKind::kSound || !request->resumed_id.empty() ||
        request->cancelled() || !(before || after) ||
        !records.InTouch(request->gateway, request->sent, request->ended_at)) {
      continue;
    }
    PromptShare& share = before ? counts.before : counts.after;
    ++share.all;
    share.served +=
        request->head.status == 200 && request->result == gateway::ExchangeResult::kComplete ? 1
                                                                                             : 0;
  }
  return counts;
}

void CheckPromptCrashes(const SoakRecords& records, const std::vector<SoakWorkerView>& workers,
                        std::vector<BrokenPromise>* broken) {
  const PromptCounts counts = CountPrompts(records, workers);
  if (counts.late_arrivals > kMaxLateArrivals) {
    broken->push_back({"few prompts with a crashing part reach workers",
                       absl::StrCat(counts.late_arrivals, " after the fifth crash of ",
                                    records.prompt_crashes.size(), ", in touch")});
  }
  if (counts.before.all >= kMinSound && counts.after.all >= kMinSound &&
      counts.after.value() < kMinShareOfBefore * counts.before.value()) {
    broken->push_back(
        {"sound prompts are served beside crashing ones",
         absl::StrCat(counts.after.served, " of ", counts.after.all, ", before the first crash ",
                      counts.before.served, " of ", counts.before.all)});
  }
}

}  // namespace hingespan::soak
