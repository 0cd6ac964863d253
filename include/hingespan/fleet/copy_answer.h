// Answer of a node to another one that reads its copy of a table.
#ifndef HINGESPAN_FLEET_COPY_ANSWER_H_
#define HINGESPAN_FLEET_COPY_ANSWER_H_

#include <string>

#include "absl/time/time.h"
#include "hingespan/common/result.h"
#include "hingespan/serving/shared_store.h"

namespace hingespan::gateway {

struct CopyAnswer {
  // `as_of` is not part of the answer.
  StoreRows rows;
  // Time since the store confirmed the copy.
  absl::Duration age;
  // Time for which the request was held; zero from a node of an earlier release.
  absl::Duration held;
};

std::string EncodeCopyAnswer(const CopyAnswer& answer);
// `table` is the table that was asked for. Errors: kMalformed.
Result<CopyAnswer> DecodeCopyAnswer(const std::string& table, const std::string& bytes);

}  // namespace hingespan::gateway

#endif  // HINGESPAN_FLEET_COPY_ANSWER_H_
