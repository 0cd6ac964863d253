// Parses CBOR received from the network.
#ifndef HINGESPAN_SRC_FLEET_CBOR_READER_H_
#define HINGESPAN_SRC_FLEET_CBOR_READER_H_

#include <nlohmann/json.hpp>

#include "absl/strings/string_view.h"

namespace hingespan::gateway {

// Returns a discarded value if the bytes are not valid CBOR. The library throws for some inputs
// (such as a length beyond the available memory) even if exceptions are disabled.
inline nlohmann::json ReadCbor(absl::string_view bytes) {
  try {
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
  } catch (const nlohmann::json::exception&) {
    return {nlohmann::json::value_t::discarded};
  }
}

}  // namespace hingespan::gateway

#endif  // HINGESPAN_SRC_FLEET_CBOR_READER_H_
