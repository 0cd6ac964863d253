// Checks that the operators' documentation lists the present settings.
#include <doctest/doctest.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "hingespan/operator/settings_command.h"
#include "hingespan/settings/toml_document.h"

namespace hingespan {
namespace {

constexpr std::string_view kBegin = "<!-- settings: begin -->\n";
constexpr std::string_view kEnd = "<!-- settings: end -->";

TEST_CASE("docs/OPERATIONS.md holds the output of check-settings --describe") {
  const Result<std::string> page =
      ReadTextFile(absl::StrCat(HINGESPAN_SOURCE_DIRECTORY, "/docs/OPERATIONS.md"));
  REQUIRE(page.ok());
  const std::size_t begin = page->find(kBegin);
  const std::size_t end = page->find(kEnd);
  REQUIRE(begin != std::string::npos);
  REQUIRE(end != std::string::npos);
  const std::size_t first = begin + kBegin.size();
  CHECK(page->substr(first, end - first) == SettingsAsMarkdown());
}

}  // namespace
}  // namespace hingespan
