// Decodes the rows that the operator and the workers write to the shared store. Implemented by the
// platform adapter.
#ifndef HINGESPAN_SERVING_DEPLOYMENT_READER_H_
#define HINGESPAN_SERVING_DEPLOYMENT_READER_H_

#include <string>

#include "hingespan/common/result.h"
#include "hingespan/serving/configuration.h"
#include "hingespan/serving/shared_store.h"
#include "hingespan/serving/worker_record.h"

namespace hingespan::gateway {

class DeploymentReader {
 public:
  virtual ~DeploymentReader() = default;
  // Table and key of the configuration, and table of the workers.
  virtual std::string configuration_table() const = 0;
  virtual std::string configuration_key() const = 0;
  virtual std::string worker_table() const = 0;
  // Errors: kMalformed.
  virtual Result<Configuration> ReadConfiguration(const StoreRow& row) const = 0;
  virtual Result<WorkerRecord> ReadWorker(const StoreRow& row) const = 0;
};

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SERVING_DEPLOYMENT_READER_H_
