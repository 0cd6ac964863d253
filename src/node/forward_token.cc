#include "hingespan/node/forward_token.h"

#include <cstdint>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hingespan/net/message_signer.h"

namespace hingespan {
namespace {

constexpr char kUnsignedToken[] = "1";
// Maximum difference between the wall clocks of two nodes.
constexpr absl::Duration kMaximumAge = absl::Minutes(1);

absl::string_view View(std::string_view text) { return {text.data(), text.size()}; }

std::string Sign(std::string_view cluster_key, std::string_view request_id,
                 std::int64_t milliseconds) {
  const std::string signed_text = absl::StrCat("forward\n", View(request_id), "\n", milliseconds);
  return absl::BytesToHexString(SignMessage(cluster_key, signed_text));
}

}  // namespace

std::string MakeForwardToken(std::string_view cluster_key, std::string_view request_id,
                             absl::Time wall_time) {
  if (cluster_key.empty()) {
    return kUnsignedToken;
  }
  const std::int64_t milliseconds = absl::ToUnixMillis(wall_time);
  return absl::StrCat(milliseconds, ":", Sign(cluster_key, request_id, milliseconds));
}

bool CheckForwardToken(std::string_view cluster_key, std::string_view request_id,
                       std::string_view token, absl::Time wall_time) {
  if (cluster_key.empty()) {
    return token == kUnsignedToken;
  }
  const std::size_t colon = token.find(':');
  std::int64_t milliseconds = 0;
  if (colon == std::string_view::npos ||
      !absl::SimpleAtoi(View(token.substr(0, colon)), &milliseconds)) {
    return false;
  }
  const absl::Duration age = wall_time - absl::FromUnixMillis(milliseconds);
  const bool fresh = age <= kMaximumAge && age >= -kMaximumAge;
  return fresh &&
         EqualSecrets(token.substr(colon + 1), Sign(cluster_key, request_id, milliseconds));
}

}  // namespace hingespan
