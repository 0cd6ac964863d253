#include "hingespan/serving/configuration.h"

namespace hingespan::gateway {

const ModelSpecification* Service::FindModel(const std::string& model) const {
  if (!engine.has_value()) {
    return nullptr;
  }
  const auto entry = engine->models.find(model);
  return entry == engine->models.end() ? nullptr : &entry->second;
}

const Service* Configuration::FindService(const std::string& name) const {
  for (const Service& service : services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

}  // namespace hingespan::gateway
