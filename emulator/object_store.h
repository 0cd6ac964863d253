// In-memory object store: byte strings by name.
#ifndef HINGESPAN_EMULATOR_OBJECT_STORE_H_
#define HINGESPAN_EMULATOR_OBJECT_STORE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace hingespan::emulator {

// Thread-safe.
class ObjectStore {
 public:
  void Put(const std::string& name, std::string bytes);
  std::optional<std::string> Get(const std::string& name) const;
  // Returns the names that begin with `prefix`, sorted.
  std::vector<std::string> List(const std::string& prefix) const;

 private:
  mutable absl::Mutex mutex_;
  std::map<std::string, std::string> objects_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_OBJECT_STORE_H_
