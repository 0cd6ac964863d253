// A part of a prompt crashes each worker that begins to write an answer on it. All processes of the
// system are killed at the same moment; requests with the part come again once all machines are in
// touch.
#include "standin-2/crashing_part.h"

namespace hingespan::review {
namespace {

constexpr int kGateways = 3;
constexpr int kWorkers = 12;
constexpr const char* kCrashingPart = "91bd3f06";
constexpr int kInWave = 20;
constexpr absl::Duration kInterval = absl::Milliseconds(35);
constexpr absl::Duration kWorkerBack = absl::Seconds(3);
constexpr absl::Duration kDown = absl::Milliseconds(1200);

int Run() {
  World world;
  world.store()->Put("op", "config", ConfigurationJson(1).dump());
  for (int number = 1; number <= kWorkers; ++number) {
    world.AddWorker(absl::StrCat(number), kWorkerBack,
                    [] { return CrashingModelWorker(kCrashingPart); });
  }
  if (!world.StartGateways(kGateways)) {
    world.record().Line("the gateways did not start");
    return kNotRun;
  }
  int sound = 0;
  int crashing = 0;
  const auto ask_sound = [&](int turn) {
    ++sound;
    AskForStream(&world, static_cast<std::size_t>(turn % kGateways), "sound",
                 absl::StrCat("50", sound), absl::StrCat("5c1e07a2:400,e44", sound, ":240"));
  };
  const auto ask_crashing = [&](int turn) {
    ++crashing;
    AskForStream(&world, static_cast<std::size_t>(turn % kGateways), "crashing",
                 absl::StrCat("c", crashing),
                 absl::StrCat("5c1e07a2:400,", kCrashingPart, ":140,f", crashing, ":100"));
  };
  const absl::Time begin = world.Now();
  const absl::Time first_wave = begin + absl::Seconds(8);
  const absl::Time kill = first_wave + kInWave * kInterval + absl::Seconds(8);
  world.Every(begin, kill, absl::Milliseconds(300), ask_sound);
  world.Every(first_wave, first_wave + kInWave * kInterval, kInterval, ask_crashing);
  world.RunUntil(kill);
  // Without the disruptions nothing is killed, and the time passes all the same.
  if (World::Trouble()) {
    for (const auto& gateway : world.gateways()) {
      gateway->Signal(SIGKILL);
    }
    world.record().Line("all processes are killed");
  }
  world.RunFor(kDown);
  if (World::Trouble()) {
    for (const auto& gateway : world.gateways()) {
      int status = 0;
      (void)gateway->Reap(&status);
      gateway->Launch();
    }
  }
  if (!world.AwaitGateways(absl::Seconds(10))) {
    world.record().Line("the gateways did not start again");
    return kNotRun;
  }
  const absl::Time back = world.Now();
  world.record().Line("all processes serve again");
  const absl::Time second_wave = back + kContact + absl::Seconds(3);
  const absl::Time end = second_wave + kInWave * kInterval + absl::Seconds(5);
  world.Every(back, end, absl::Milliseconds(300), ask_sound);
  world.Every(second_wave, second_wave + kInWave * kInterval, kInterval, ask_crashing);
  world.RunUntil(end);
  return JudgeCrashingPart(&world, back + kContact);
}

}  // namespace
}  // namespace hingespan::review

int main() { return hingespan::review::Run(); }
