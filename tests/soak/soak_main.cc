// soak: plays runs with injected faults against gateway processes and checks the promises.
#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/soak/soak_run.h"

namespace hingespan::soak {
namespace {

constexpr int kExitBroken = 1;
constexpr int kMaxGateways = 64;
const std::map<std::string, Style> kStyles = {
    {"single", Style::kSingle},     {"mixed", Style::kMixed},     {"planned", Style::kPlanned},
    {"streams", Style::kStreams},   {"prompts", Style::kPrompts}, {"brittle", Style::kBrittle},
    {"requests", Style::kRequests}, {"paused", Style::kPaused}};

struct Flags {
  std::vector<std::uint64_t> seeds;
  double seconds = 20;
  std::size_t gateways = 4;
  std::string folder = "soak-logs";
  std::string program = HINGESPAN_PROGRAM_DIRECTORY "/hingespan-gateway";
  // Empty if the seed decides the style.
  std::string style;
  bool show_plan = false;
};

std::string PlanText(const std::vector<PlannedFault>& plan) {
  std::string text;
  for (const PlannedFault& fault : plan) {
    absl::StrAppend(&text, "  ", absl::FormatDuration(fault.at), " ", FaultName(fault.kind),
                    " for ", absl::FormatDuration(fault.duration), " target ", fault.target, "\n");
  }
  return text;
}

// Plays one run and returns whether all promises were kept.
bool PlaySeed(const Flags& flags, std::uint64_t seed) {
  SoakOptions options;
  options.seed = seed;
  options.length = absl::Seconds(flags.seconds);
  options.gateways = flags.gateways;
  options.style = flags.style.empty() ? SoakRun::DefaultStyle(seed) : kStyles.at(flags.style);
  options.program = flags.program;
  options.worker_program = HINGESPAN_PROGRAM_DIRECTORY "/soak-worker";
  options.folder = absl::StrCat(flags.folder, "/seed-", seed);
  // The addresses in the logs of an earlier run would be mistaken for those of this one.
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  SoakRun run(options);
  const std::vector<BrokenPromise> broken = run.Play();
  std::string report = absl::StrCat("seed ", seed, ": ", broken.empty() ? "kept" : "BROKEN", "; ",
                                    run.plan().size(), " faults, ", run.Summary(), "\n");
  for (const BrokenPromise& promise : broken) {
    absl::StrAppend(&report, "  ", promise.promise, ": ", promise.what, "\n");
  }
  if (flags.show_plan || !broken.empty()) {
    absl::StrAppend(&report, PlanText(run.plan()));
  }
  // Written in one piece, as other runs write to the same output.
  std::cout << report << std::flush;
  if (broken.empty()) {
    std::filesystem::remove_all(options.folder);
  }
  return broken.empty();
}

int Main(int argc, char** argv) {
  CLI::App app("soak: faults from outside against gateways as processes, promises checked");
  Flags flags;
  app.add_option("seeds", flags.seeds, "Seeds to play, one run each")->required();
  app.add_option("--seconds", flags.seconds, "How long faults come in each run");
  app.add_option("--gateways", flags.gateways, "Gateways")->check(CLI::Range(1, kMaxGateways));
  app.add_option("--style", flags.style,
                 "single, mixed, planned, streams, prompts, brittle, requests or paused; by the "
                 "seed if not "
                 "given")
      ->check(CLI::IsMember(kStyles));
  app.add_option("--logs", flags.folder, "Folder for settings and logs; those of kept runs go");
  app.add_option("--program", flags.program, "The gateway's program");
  app.add_flag("--plan", flags.show_plan, "Print the plan of each run");
  CLI11_PARSE(app, argc, argv);
  signal(SIGPIPE, SIG_IGN);
  bool kept = true;
  for (const std::uint64_t seed : flags.seeds) {
    kept = PlaySeed(flags, seed) && kept;
  }
  return kept ? 0 : kExitBroken;
}

}  // namespace
}  // namespace hingespan::soak

int main(int argc, char** argv) { return hingespan::soak::Main(argc, argv); }
