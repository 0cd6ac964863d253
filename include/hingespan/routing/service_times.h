// Moving average of the time that a model's requests took at engines, as observed by this node.
#ifndef HINGESPAN_ROUTING_SERVICE_TIMES_H_
#define HINGESPAN_ROUTING_SERVICE_TIMES_H_

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "hingespan/common/ids.h"

namespace hingespan {

// Not thread-safe. A model is removed ten minutes after the last of its requests ended.
class ServiceTimes {
 public:
  void Observe(const ModelName& model, absl::Duration taken, absl::Time now);
  // Returns the moving average; 0 if no request ended recently.
  absl::Duration Find(const ModelName& model) const;

 private:
  struct Entry {
    absl::Duration average;
    absl::Time seen;
  };
  void ForgetOld(absl::Time now);

  absl::flat_hash_map<ModelName, Entry> entries_;
  absl::Time next_forget_ = absl::InfinitePast();
};

}  // namespace hingespan

#endif  // HINGESPAN_ROUTING_SERVICE_TIMES_H_
