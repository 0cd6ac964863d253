// Choice of a replica and choice of a zone.
#include <doctest/doctest.h>

#include <map>

#include "hingespan/routing/load_balancer.h"
#include "hingespan/routing/site_choice.h"

namespace hingespan {
namespace {

constexpr std::uint32_t kSlack = 2;

std::vector<Candidate> IdleCandidates(int count) {
  std::vector<Candidate> candidates;
  for (int index = 0; index < count; ++index) {
    candidates.push_back({WorkerId("w" + std::to_string(index)), 0});
  }
  return candidates;
}

TEST_CASE("a prefix maps to one replica in any candidate order until that replica is loaded") {
  Random random(1);
  std::vector<Candidate> candidates = IdleCandidates(5);
  const std::size_t preferred = ChooseReplica(candidates, 77, kSlack, &random);
  for (int trial = 0; trial < 20; ++trial) {
    CHECK(ChooseReplica(candidates, 77, kSlack, &random) == preferred);
  }
  const std::vector<Candidate> reversed(candidates.rbegin(), candidates.rend());
  CHECK(reversed[ChooseReplica(reversed, 77, kSlack, &random)].worker ==
        candidates[preferred].worker);
  candidates[preferred].load = kSlack;
  CHECK(ChooseReplica(candidates, 77, kSlack, &random) == preferred);
  candidates[preferred].load = kSlack + 1;
  CHECK(ChooseReplica(candidates, 77, kSlack, &random) != preferred);
}

TEST_CASE("without a prefix every replica except the most loaded one is chosen") {
  Random random(2);
  std::vector<Candidate> candidates = IdleCandidates(4);
  candidates[2].load = 9;
  std::map<std::size_t, int> taken;
  for (int trial = 0; trial < 300; ++trial) {
    ++taken[ChooseReplica(candidates, 0, kSlack, &random)];
  }
  CHECK(taken.size() == 3);
  CHECK_FALSE(taken.contains(2));
  CHECK(ChooseReplica(IdleCandidates(1), 0, kSlack, &random) == 0);
}

TEST_CASE("zones are chosen by weight, and never without a weight") {
  Random random(3);
  const std::vector<SiteCandidate> candidates = {
      {ZoneId("a"), 3, true}, {ZoneId("b"), 0, true}, {ZoneId("c"), 1, true}};
  std::map<ZoneId, int> drawn;
  for (int trial = 0; trial < 4000; ++trial) {
    ++drawn[*ChooseSite(candidates, &random)];
  }
  CHECK(drawn[ZoneId("a")] > 2800);
  CHECK(drawn[ZoneId("a")] < 3200);
  CHECK_FALSE(drawn.contains(ZoneId("b")));
}

TEST_CASE("a zone without a slot is skipped only while another zone has one") {
  Random random(4);
  const SiteCandidate without_slot{ZoneId("a"), 9, false};
  const SiteCandidate with_slot{ZoneId("b"), 1, true};
  const SiteCandidate no_weight{ZoneId("c"), 0, true};
  CHECK(ChooseSite({without_slot, with_slot}, &random) == ZoneId("b"));
  CHECK(ChooseSite({without_slot, no_weight}, &random) == ZoneId("a"));
  CHECK(ChooseSite({no_weight}, &random) == std::nullopt);
  CHECK(ChooseSite({}, &random) == std::nullopt);
}

}  // namespace
}  // namespace hingespan
