// Fields that an engine reads from a caller's JSON body.
#ifndef HINGESPAN_EMULATOR_PROMPT_H_
#define HINGESPAN_EMULATOR_PROMPT_H_

#include <cstdint>
#include <string>

#include "hingespan/common/ids.h"

namespace hingespan::emulator {

struct Prompt {
  std::string text;
  std::uint32_t maximum_tokens = 16;
  // True if the caller set the limit; otherwise the answer ends by itself at the default.
  bool limited = false;
  // Value of `metadata.idempotency_key`; may be empty.
  IdempotencyKey key;
  // Number of prompt tokens: four bytes per token, rounded up; at least 1.
  std::uint32_t token_count() const;
};

inline constexpr std::size_t kBytesPerToken = 4;

// A body that is not the expected JSON is treated as a plain prompt.
Prompt ParsePrompt(const std::string& body);

}  // namespace hingespan::emulator

#endif  // HINGESPAN_EMULATOR_PROMPT_H_
