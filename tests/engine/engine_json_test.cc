#include "hingespan/engine/engine_json.h"

#include <doctest/doctest.h>

namespace hingespan {
namespace {

TEST_CASE("a chunk is decoded in any member order and unknown members are ignored") {
  const Result<GenerationChunk> chunk = DecodeGenerationChunk(
      R"({"new":{"text":[1,{"last":true}]},"text":"a\"\u00e9","sequence":7,"more":null})");
  REQUIRE(chunk.ok());
  CHECK(chunk->sequence == 7);
  CHECK(chunk->text == "a\"\xc3\xa9");
  CHECK(!chunk->last);
}

TEST_CASE("the last chunk is decoded with its finish reason and token counts") {
  const Result<GenerationChunk> chunk = DecodeGenerationChunk(
      R"({"sequence":9,"text":"","last":true,"finish_reason":"length","prompt_tokens":3,)"
      R"("completion_tokens":4})");
  REQUIRE(chunk.ok());
  CHECK(chunk->last);
  CHECK(chunk->finish_reason == "length");
  CHECK(chunk->prompt_tokens == 3);
  CHECK(chunk->completion_tokens == 4);
}

TEST_CASE("invalid chunks are malformed") {
  for (const char* const line :
       {"", "{", "[]", "1", "\"text\"", R"({"sequence":1})", R"({"text":"a"})",
        R"({"sequence":-1,"text":"a"})", R"({"sequence":"1","text":"a"})",
        R"({"sequence":1,"text":2})", R"({"sequence":1,"text":["a"]})",
        R"({"sequence":1,"text":"a","last":1})", R"({"sequence":1.5,"text":"a"})",
        R"({"sequence":1,"text":"a"} trailing)", "{\"sequence\":1,\"text\":\"\xff\"}"}) {
    CAPTURE(line);
    CHECK(!DecodeGenerationChunk(line).ok());
  }
}

}  // namespace
}  // namespace hingespan
