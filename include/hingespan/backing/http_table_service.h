// Client of the table service over HTTP with JSON, as described in docs/EMULATOR.md.
#ifndef HINGESPAN_BACKING_HTTP_TABLE_SERVICE_H_
#define HINGESPAN_BACKING_HTTP_TABLE_SERVICE_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/backing/table_service.h"

namespace hingespan {

class JsonHttpClient;

// Thread-safe. Errors as in TableService, and also kMalformed for an unreadable answer to a read
// (kAnswerLost for a commit, since it may have taken effect), and kInvalidArgument,
// kPermissionDenied, kNotFound or kInternal by HTTP status.
class HttpTableService : public TableService {
 public:
  // `address`: "ip:port" of the platform.
  explicit HttpTableService(const std::string& address);
  ~HttpTableService() override;

  Result<TransactionResult> Commit(const Transaction& transaction, absl::Duration timeout) override;
  Result<StoredValue> Read(const std::string& key, absl::Duration timeout) override;
  Result<ValueChangePage> ReadChanges(TableRevision after, int limit,
                                      absl::Duration timeout) override;
  Result<std::vector<StoredValue>> ReadHistory(const std::string& key, int limit,
                                               absl::Duration timeout) override;

 private:
  std::unique_ptr<JsonHttpClient> client_;
};

}  // namespace hingespan

#endif  // HINGESPAN_BACKING_HTTP_TABLE_SERVICE_H_
