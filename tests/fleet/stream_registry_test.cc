#include "hingespan/fleet/stream_registry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace hingespan::gateway {

// Guards against callers that fill the memory with the ids of their streams (Fault).
TEST_CASE("a long id of a stream is recorded by its hash") {
  const std::string long_id(16 * 1024, 'a');
  CHECK(ShortStreamId(long_id).size() <= kMaxStreamIdBytes);
  CHECK(ShortStreamId(long_id) == ShortStreamId(long_id));
  CHECK(ShortStreamId(long_id) != ShortStreamId(long_id + "b"));
  CHECK(ShortStreamId(ShortStreamId(long_id)) == ShortStreamId(long_id));
  const std::string usual_id = "9c41d07be2a35f68";
  CHECK(ShortStreamId(usual_id) == usual_id);
}

// Guards against an id that no record in the store could hold (LOST, Fault).
TEST_CASE("an id of a stream that is no printable text is recorded by its hash") {
  for (const std::string id : {"\xe9tape-7", "\xff", "a\tb", "\xc3\xa9tape"}) {
    const std::string short_id = ShortStreamId(id);
    CHECK(short_id != id);
    CHECK(short_id == ShortStreamId(id));
    CHECK(std::all_of(short_id.begin(), short_id.end(),
                      [](char each) { return each > ' ' && each < '\x7f'; }));
  }
  CHECK(ShortStreamId("\xe9tape-7") != ShortStreamId("\xe8tape-7"));
}

}  // namespace hingespan::gateway
