#include "hingespan/routing/site_choice.h"

#include <algorithm>

namespace hingespan {

namespace {

// Returns the rank of a zone: the higher, the sooner a replica can be ready there. 0 if it may get
// no traffic.
int SiteRank(const SiteCandidate& site) {
  if (site.weight == 0) {
    return 0;
  }
  if (site.has_slot) {
    return 3;
  }
  return site.has_share ? 2 : 1;
}

}  // namespace

std::optional<ZoneId> ChooseSite(const std::vector<SiteCandidate>& candidates, Random* random) {
  int best = 1;
  for (const SiteCandidate& site : candidates) {
    best = std::max(best, SiteRank(site));
  }
  std::vector<SiteCandidate> eligible;
  std::uint64_t total = 0;
  for (const SiteCandidate& site : candidates) {
    if (SiteRank(site) == best) {
      eligible.push_back(site);
      total += site.weight;
    }
  }
  std::uint64_t draw = random->Below(total);
  for (const SiteCandidate& site : eligible) {
    if (draw < site.weight) {
      return site.zone;
    }
    draw -= site.weight;
  }
  return std::nullopt;
}

}  // namespace hingespan
