// Replicas for streams that can go on only at workers of one software version.
#include <algorithm>
#include <string>

#include "hingespan/fleet/fleet_placer.h"

namespace hingespan::gateway {

bool FleetPlacer::IsLeftOut(const std::string& worker_id, const PlanContext& context) {
  if (context.software_version.empty()) {
    return false;
  }
  const auto worker = context.workers->find(worker_id);
  return worker == context.workers->end() ||
         worker->second.record.software_version != context.software_version;
}

bool FleetPlacer::AnyHolds(const Service& service, const std::string& model,
                           const PlanContext& context) const {
  return std::any_of(ledgers_.begin(), ledgers_.end(), [&](const auto& entry) {
    const auto& [id, ledger] = entry;
    return ledger.service == service.name && context.usable.contains(id) &&
           !IsLeftOut(id, context) && ModelsOf(ledger, context.now).contains(model);
  });
}

void FleetPlacer::PlanBound(const Service& service, PlanContext* context) {
  for (const auto& [key, totals] : context->bound) {
    const ModelSpecification* const model = service.FindModel(key.model.model);
    if (key.service != service.name || model == nullptr) {
      continue;
    }
    context->software_version = key.software_version;
    if (!AnyHolds(service, key.model.model, *context)) {
      (void)PlanReplica(service, *model, totals, 0, context);
    } else if (!key.model.adapter.empty() &&
               CountAdapterReplicas(service, key.model, *context) == 0) {
      PlanAdapter(service, *model, key.model, totals, context);
    }
  }
  context->software_version.clear();
}

}  // namespace hingespan::gateway
