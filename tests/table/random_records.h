// Records for tests: random ones and ones that are typical of a large deployment.
#ifndef HINGESPAN_TESTS_TABLE_RANDOM_RECORDS_H_
#define HINGESPAN_TESTS_TABLE_RANDOM_RECORDS_H_

#include <rapidcheck.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "hingespan/table/records.h"

namespace hingespan {

// Returns one of five names, including the empty one, so that names collide.
inline std::string RandomName() {
  const int number = *rc::gen::inRange(0, 5);
  return std::string(static_cast<std::size_t>(number) * 70, static_cast<char>('a' + number));
}

// Returns the usual value, 0, a value below 100 or any value.
inline std::uint32_t RandomCount(std::uint32_t usual) {
  const auto any = *rc::gen::arbitrary<std::uint32_t>();
  return *rc::gen::element(usual, std::uint32_t{0}, any % 100, any);
}

inline ModelRow RandomRow(const std::string& name) {
  ModelRow row;
  row.name = ModelName(name);
  row.kind = *rc::gen::element(RowKind::kModel, RowKind::kAdapter, RowKind::kVersion);
  row.base = ModelName(RandomName());
  row.checkpoint = RandomName();
  for (std::uint32_t* count :
       {&row.memory_mib, &row.max_replicas, &row.min_replicas, &row.max_wait_ms, &row.max_queue,
        &row.max_concurrency, &row.idle_ms}) {
    *count = RandomCount(*count);
  }
  const int zones = *rc::gen::inRange(0, 4);
  for (int zone = 0; zone < zones; ++zone) {
    row.weights[ZoneId(RandomName())] = RandomCount(0);
  }
  row.edit = EditId(RandomName());
  row.editor = RandomName();
  return row;
}

inline GrantRecord RandomGrant(const std::string& name) {
  GrantRecord grant;
  grant.model = ModelName(name);
  grant.next_generation = GrantGeneration(*rc::gen::arbitrary<std::uint64_t>());
  const int slots = *rc::gen::inRange(0, 4);
  for (int slot = 0; slot < slots; ++slot) {
    grant.slots.push_back(
        {WorkerId(RandomName()), WorkerIncarnation(*rc::gen::arbitrary<std::uint64_t>()),
         ZoneId(RandomName()), GrantGeneration(*rc::gen::arbitrary<std::uint64_t>()),
         *rc::gen::element(SlotState::kGranted, SlotState::kRevoking)});
  }
  return grant;
}

// Returns an adapter's row as written by an operator's edit.
inline ModelRow TypicalRow(const std::string& name, std::uint64_t number) {
  ModelRow row;
  row.name = ModelName(name);
  row.kind = RowKind::kAdapter;
  row.base = ModelName(absl::StrCat("base-model-", number % 61));
  row.memory_mib = 256;
  row.max_replicas = 4;
  row.max_wait_ms = 20000;
  row.weights = {{ZoneId("zone-1"), 80}, {ZoneId("zone-2"), 20}};
  row.edit = EditId(absl::StrCat("5f0c1e52-7a8b-4c1d-9e0f-", 100000000000 + number));
  row.editor = "operations-team";
  return row;
}

// Returns a grant with two slots on workers whose incarnations are microseconds since 1970.
inline GrantRecord TypicalGrant(const std::string& name, std::uint64_t number) {
  constexpr std::uint64_t kIncarnation = 1'790'000'000'000'000;
  GrantRecord grant;
  grant.model = ModelName(name);
  grant.next_generation = GrantGeneration(3);
  for (std::uint64_t slot = 1; slot <= 2; ++slot) {
    grant.slots.push_back({WorkerId(absl::StrCat("worker-", number % 120, "-", slot)),
                           WorkerIncarnation(kIncarnation + number),
                           ZoneId(absl::StrCat("zone-", slot)), GrantGeneration(slot),
                           SlotState::kGranted});
  }
  return grant;
}

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_TABLE_RANDOM_RECORDS_H_
