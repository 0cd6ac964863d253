// Counts requests with a part that crashes workers, as the users' rule does.
#ifndef REVIEW_STANDIN_2_CRASHING_PART_H_
#define REVIEW_STANDIN_2_CRASHING_PART_H_

#include <algorithm>
#include <string>
#include <vector>

#include "standin-2/world.h"

namespace hingespan::review {

// The rule allows so many requests later than contact_ms after the fifth crash.
constexpr int kAllowed = 3;
constexpr std::size_t kFifth = 5;

inline emulator::PlatformWorkerOptions CrashingModelWorker(const std::string& crashing_part) {
  emulator::PlatformWorkerOptions options;
  options.service = "slot-writer";
  options.slots = 64;
  options.models["daka510000"];
  options.events = 10;
  options.event_interval = absl::Milliseconds(30);
  options.prompt_time = absl::Milliseconds(100);
  if (World::Trouble()) {
    options.crashing_part = crashing_part;
  }
  return options;
}

inline void AskForStream(World* world, std::size_t gateway, const std::string& kind,
                         const std::string& id, const std::string& parts) {
  world->Send(gateway, kind, id, "POST", "/stream/note",
              {{"Deadline-Ms", "10000"},
               {"Model", "daka510000"},
               {"Token-Count", "640,20"},
               {"Prompt-Prefix", parts}},
              "notice");
}

// Time until which no machine is in touch; those after it are.
inline int JudgeCrashingPart(World* world, absl::Time in_touch_from = absl::InfinitePast()) {
  std::vector<absl::Time> crashes;
  std::vector<emulator::PlatformWorker::Run> runs;
  for (const auto& worker : world->workers()) {
    crashes.insert(crashes.end(), worker->crashes().begin(), worker->crashes().end());
    for (const auto& life : worker->lives()) {
      runs.insert(runs.end(), life->runs().begin(), life->runs().end());
    }
  }
  std::sort(crashes.begin(), crashes.end());
  std::sort(runs.begin(), runs.end(),
            [](const auto& left, const auto& right) { return left.began < right.began; });
  int counted = 0;
  for (const emulator::PlatformWorker::Run& run : runs) {
    if (!absl::StartsWith(run.id, "c")) {
      continue;
    }
    const bool late = crashes.size() >= kFifth && run.began > crashes[kFifth - 1] + kContact &&
                      run.began > in_touch_from;
    world->record().Line("run ", run.id,
                         late ? " later than contact_ms after the fifth crash" : "");
    counted += late ? 1 : 0;
  }
  int sound = 0;
  int served = 0;
  for (const Try& each : world->tries()) {
    sound += each.kind == "sound" ? 1 : 0;
    served += each.kind == "sound" && each.complete() && each.head.status == 200 ? 1 : 0;
  }
  world->record().Line("crashes of workers: ", crashes.size(), "; sound requests served: ", served,
                       " of ", sound);
  world->record().Line("requests with the part that reached workers later than contact_ms after ",
                       "the fifth crash: ", counted);
  if (World::Trouble() && crashes.size() < kFifth) {
    world->record().Line("fewer than five crashes");
    return kNotRun;
  }
  const bool broken = counted > kAllowed;
  world->record().Line(broken ? "BROKEN" : "HELD");
  return broken ? kBroken : kHeld;
}

}  // namespace hingespan::review

#endif  // REVIEW_STANDIN_2_CRASHING_PART_H_
