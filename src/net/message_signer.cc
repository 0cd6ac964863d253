#include "hingespan/net/message_signer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace hingespan {

std::string SignMessage(std::string_view key, std::string_view bytes) {
  std::string signature(kSignatureBytes, '\0');
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       reinterpret_cast<unsigned char*>(signature.data()), &length);
  return signature;
}

bool EqualSecrets(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace hingespan
