// A part of a prompt crashes each worker that begins to write an answer on it. The prompts have
// many other parts, and the requests come at one machine after the other.
#include <random>

#include "standin-2/crashing_part.h"

namespace hingespan::review {
namespace {

constexpr int kGateways = 9;
constexpr int kWorkers = 14;
constexpr const char* kCrashingPart = "f1bd3f06";
// Parts of documents that prompts share, and those that one prompt has.
constexpr int kDocuments = 600;
constexpr int kInPrompt = 45;
constexpr int kRequests = 18;
constexpr absl::Duration kInterval = absl::Seconds(2);
constexpr absl::Duration kWorkerBack = absl::Seconds(3);

int Run() {
  World world;
  std::mt19937 random(48);
  world.store()->Put("op", "config", ConfigurationJson(1).dump());
  for (int number = 1; number <= kWorkers; ++number) {
    world.AddWorker(absl::StrCat(number), kWorkerBack,
                    [] { return CrashingModelWorker(kCrashingPart); });
  }
  if (!world.StartGateways(kGateways)) {
    world.record().Line("the gateways did not start");
    return kNotRun;
  }
  // A prompt begins with the caller's part and goes on with documents, no two prompts alike.
  const auto prompt = [&random] {
    std::set<int> documents;
    while (documents.size() < kInPrompt) {
      documents.insert(static_cast<int>(random() % kDocuments));
    }
    std::string parts = "5c1e07a2:40";
    for (const int document : documents) {
      absl::StrAppend(&parts, ",", absl::StrFormat("0d0c%04x", document), ":12");
    }
    return parts;
  };
  const absl::Time begin = world.Now() + absl::Seconds(10);
  const absl::Time end = begin + kRequests * kInterval + absl::Seconds(3);
  world.Every(world.Now(), end, absl::Milliseconds(100), [&](int turn) {
    AskForStream(&world, static_cast<std::size_t>(turn % kGateways), "sound",
                 absl::StrCat("50", turn), absl::StrCat(prompt(), ",e44", turn, ":20"));
  });
  world.Every(begin, begin + kRequests * kInterval, kInterval, [&](int turn) {
    AskForStream(&world, static_cast<std::size_t>(turn % kGateways), "crashing",
                 absl::StrCat("c", turn),
                 absl::StrCat(prompt(), ",", kCrashingPart, ":14,f", turn, ":20"));
  });
  world.RunUntil(end);
  return JudgeCrashingPart(&world);
}

}  // namespace
}  // namespace hingespan::review

int main() { return hingespan::review::Run(); }
