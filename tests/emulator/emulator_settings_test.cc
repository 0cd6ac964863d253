#include "emulator/emulator_settings.h"

#include <doctest/doctest.h>

namespace hingespan::emulator {
namespace {

TEST_CASE("all problems are reported together with their positions") {
  const LoadedEmulatorSettings loaded = ParseEmulatorSettings(
      "seed = -1\n"
      "colour = 1\n"
      "[weight_store]\n"
      "loads_per_second = \"fast\"\n"
      "[[zones]]\n"
      "name = \"z1\"\n"
      "[[workers]]\n"
      "name = \"w1\"\n"
      "zone = \"z9\"\n",
      "test.toml", {});
  const std::string text = FormatFindings(loaded.findings);
  CHECK(loaded.findings.size() == 4);
  CHECK(text.find("test.toml:1:8: seed: out of range") != std::string::npos);
  CHECK(text.find("test.toml:2:10: colour: unknown key") != std::string::npos);
  CHECK(text.find("test.toml:4:20: weight_store.loads_per_second: not a number") !=
        std::string::npos);
  CHECK(text.find("test.toml:9:8: workers[0].zone: not among the zones (allowed: z1)") !=
        std::string::npos);
}

TEST_CASE("invalid TOML is reported as one finding with its position") {
  const LoadedEmulatorSettings loaded = ParseEmulatorSettings("seed = \n", "test.toml", {});
  REQUIRE(loaded.findings.size() == 1);
  CHECK(loaded.findings[0].place.line == 1);
}

TEST_CASE("overrides take precedence over the file and are checked like it") {
  const std::string text = "[[zones]]\nname = \"z1\"\n[weight_store]\nloads_per_second = 2\n";
  const LoadedEmulatorSettings loaded = ParseEmulatorSettings(
      text, "test.toml", {{"weight_store.loads_per_second", "5"}, {"engine.memory_mib", "7"}});
  REQUIRE(FormatFindings(loaded.findings) == "");
  CHECK(loaded.settings.weight_store.begins_per_second == 5);
  const LoadedEmulatorSettings wrong =
      ParseEmulatorSettings(text, "test.toml", {{"engine.memory_mib", "much"}});
  CHECK(wrong.findings.size() == 1);
}

TEST_CASE("the deployments' files have no findings and the expected sizes") {
  const std::string folder = HINGESPAN_SOURCE_DIRECTORY "/deployments/";
  const LoadedEmulatorSettings corail = LoadEmulatorSettings(folder + "corail/emulator.toml", {});
  REQUIRE(FormatFindings(corail.findings) == "");
  CHECK(corail.settings.zones.size() == 3);
  CHECK(corail.settings.workers.size() == 12);
  CHECK(corail.settings.weight_store.begins_per_second == 2);
  CHECK(corail.settings.weight_store.full_speed_concurrency == 8);
  const LoadedEmulatorSettings constanta =
      LoadEmulatorSettings(folder + "constanta/emulator.toml", {});
  REQUIRE(FormatFindings(constanta.findings) == "");
  CHECK(constanta.settings.zones.size() == 4);
  CHECK(constanta.settings.workers.size() == 16);
  CHECK(constanta.settings.weight_store.begins_per_second == 3);
  CHECK(constanta.settings.weight_store.full_speed_concurrency == 11);
}

}  // namespace
}  // namespace hingespan::emulator
