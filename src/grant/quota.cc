#include "hingespan/grant/quota.h"

#include <algorithm>

#include "hingespan/common/rendezvous_hash.h"

namespace hingespan {
namespace {

struct ZoneShare {
  ZoneId zone;
  std::uint32_t quota = 0;
  std::uint64_t remainder = 0;
  std::uint64_t score = 0;
};

bool PrecedesInRemainder(const ZoneShare& left, const ZoneShare& right) {
  if (left.remainder != right.remainder) {
    return left.remainder > right.remainder;
  }
  if (left.score != right.score) {
    return left.score > right.score;
  }
  return left.zone < right.zone;
}

}  // namespace

std::uint32_t WeightOf(const ModelRow& row, const ZoneId& zone) {
  if (row.weights.empty()) {
    return 1;
  }
  const auto weight = row.weights.find(zone);
  return weight == row.weights.end() ? 0 : weight->second;
}

std::map<ZoneId, std::uint32_t> DivideByWeight(const ModelRow& row, std::uint32_t total,
                                               const std::vector<ZoneId>& zones) {
  std::uint64_t weight_sum = 0;
  for (const ZoneId& zone : zones) {
    weight_sum += WeightOf(row, zone);
  }
  std::map<ZoneId, std::uint32_t> quotas;
  if (weight_sum == 0) {
    for (const ZoneId& zone : zones) {
      quotas[zone] = 0;
    }
    return quotas;
  }
  std::vector<ZoneShare> shares;
  std::uint32_t assigned = 0;
  const RendezvousKey key(row.name.value());
  for (const ZoneId& zone : zones) {
    const std::uint64_t product = std::uint64_t{total} * WeightOf(row, zone);
    ZoneShare share;
    share.zone = zone;
    share.quota = static_cast<std::uint32_t>(product / weight_sum);
    share.remainder = product % weight_sum;
    share.score = key.Score(zone.value());
    assigned += share.quota;
    shares.push_back(std::move(share));
  }
  // The rest to distribute is smaller than the number of zones with a remainder above 0.
  std::sort(shares.begin(), shares.end(), PrecedesInRemainder);
  for (ZoneShare& share : shares) {
    if (assigned < total) {
      ++share.quota;
      ++assigned;
    }
    quotas[share.zone] = share.quota;
  }
  return quotas;
}

std::map<ZoneId, std::uint32_t> DivideReplicas(const RecordStore& store, const ModelRow& row,
                                               const std::vector<ZoneId>& zones) {
  const auto base = row.kind == RowKind::kAdapter ? store.FindRow(row.base) : nullptr;
  if (base == nullptr) {
    return DivideByWeight(row, row.max_replicas, zones);
  }
  std::vector<ZoneId> zones_of_base;
  for (const auto& [zone, quota] : DivideByWeight(*base, base->max_replicas, zones)) {
    if (quota > 0) {
      zones_of_base.push_back(zone);
    }
  }
  std::map<ZoneId, std::uint32_t> quotas = DivideByWeight(row, row.max_replicas, zones_of_base);
  for (const ZoneId& zone : zones) {
    quotas.try_emplace(zone, 0);
  }
  return quotas;
}

}  // namespace hingespan
