#include "hingespan/node/bearer_key.h"

#include "hingespan/net/message_signer.h"

namespace hingespan {

bool HasBearerKey(std::string_view authorization, std::string_view key) {
  constexpr std::string_view kScheme = "Bearer ";
  if (key.empty()) {
    return true;
  }
  if (authorization.substr(0, kScheme.size()) != kScheme) {
    return false;
  }
  return EqualSecrets(authorization.substr(kScheme.size()), key);
}

}  // namespace hingespan
