// Odd values of other writers among the rows of workers.
#include <doctest/doctest.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "tests/foreign_entries/foreign_entries_world.h"
#include "tests/foreign_entries/odd_texts.h"

namespace hingespan::foreign_entries {
namespace {

constexpr int kProcesses = 3;

}  // namespace

TEST_CASE("odd values among the workers name no worker to use") {
  ForeignEntriesWorld world(kProcesses);
  const std::string worker =
      "{\"service\":\"plain\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-a\",\"slots\":8}";
  int number = 0;
  const auto put = [&](const std::string& value) {
    world.store()->Put("servers", absl::StrCat("odd", ++number), value);
  };
  for (const std::string& value : OddValues()) {
    put(value);
  }
  for (const char* const member : {"service", "address", "slots", "zone", "version", "state",
                                   "remaining_ms", "models", "available"}) {
    for (const std::string& value : WithOddMember(worker, member)) {
      // Without a service that exists, a member that may be left out doesn't make it a worker.
      put(absl::StrCat(value.substr(0, value.size() - 1), ",\"service\":\"none\"}"));
    }
  }
  for (const char* const address :
       {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:18446744073709551616", "127.0.0.1:0",
        "127.0.0.1:", "127.0.0.1", ":80", "", "h:80", "127.0.0.1:80 ", "::1%\\r\\nX: y:80"}) {
    put(absl::StrCat("{\"service\":\"plain\",\"slots\":100,\"address\":\"", address, "\"}"));
  }
  world.CheckServed();
}

}  // namespace hingespan::foreign_entries
