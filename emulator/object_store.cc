#include "emulator/object_store.h"

#include <utility>

#include "absl/strings/match.h"

namespace hingespan::emulator {

void ObjectStore::Put(const std::string& name, std::string bytes) {
  absl::MutexLock lock(&mutex_);
  objects_[name] = std::move(bytes);
}

std::optional<std::string> ObjectStore::Get(const std::string& name) const {
  absl::MutexLock lock(&mutex_);
  auto found = objects_.find(name);
  if (found == objects_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<std::string> ObjectStore::List(const std::string& prefix) const {
  absl::MutexLock lock(&mutex_);
  std::vector<std::string> names;
  for (auto object = objects_.lower_bound(prefix); object != objects_.end(); ++object) {
    if (!absl::StartsWith(object->first, prefix)) {
      break;
    }
    names.push_back(object->first);
  }
  return names;
}

}  // namespace hingespan::emulator
