// Message signatures with a shared key (HMAC-SHA256).
#ifndef HINGESPAN_NET_MESSAGE_SIGNER_H_
#define HINGESPAN_NET_MESSAGE_SIGNER_H_

#include <string>
#include <string_view>

namespace hingespan {

// Size of a signature.
inline constexpr std::size_t kSignatureBytes = 32;

// Returns the signature of `bytes`, kSignatureBytes long.
std::string SignMessage(std::string_view key, std::string_view bytes);
// Compares in constant time if both have the same length.
bool EqualSecrets(std::string_view left, std::string_view right);

}  // namespace hingespan

#endif  // HINGESPAN_NET_MESSAGE_SIGNER_H_
