#include "hingespan/serving/request_content.h"

#include <xxhash.h>

#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"

namespace hingespan::gateway {

RequestContent ContentOf(const RequestHead& head, const RequestFacts& facts,
                         absl::string_view body) {
  const std::string* const host = FindField(head.fields, "Host");
  std::string text = absl::StrCat(head.method, "\n", host == nullptr ? "" : *host, "\n",
                                  head.target, "\n", facts.model, "/", facts.adapter, "\n",
                                  facts.prompt_tokens, ",", facts.max_output_tokens, "\n");
  for (const PromptPart& part : facts.prompt_parts) {
    absl::StrAppend(&text, part.id, ":", part.tokens, ",");
  }
  const std::uint64_t seed = XXH3_64bits(text.data(), text.size());
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

}  // namespace hingespan::gateway
