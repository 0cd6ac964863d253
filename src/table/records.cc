#include "hingespan/table/records.h"

#include "absl/strings/str_cat.h"

namespace hingespan {

std::string RowKey(const ModelName& model) { return absl::StrCat(kRowPrefix, model.value()); }

std::string GrantKey(const ModelName& model) { return absl::StrCat(kGrantPrefix, model.value()); }

std::string ClaimKey(KeyRangeId range) { return absl::StrCat(kClaimPrefix, range.value()); }

std::string EditKey(const EditId& edit) { return absl::StrCat(kEditPrefix, edit.value()); }

}  // namespace hingespan
