#include "hingespan/serving/configuration.h"

namespace hingespan::gateway {

const ModelSpecification* Service::FindModel(const std::string& model) const {
  if (!engine.has_value()) {
    return nullptr;
  }
  for (const ModelSpecification& specification : engine->models) {
    if (specification.name == model) {
      return &specification;
    }
  }
  return nullptr;
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
