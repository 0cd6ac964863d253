#include "hingespan/fleet/stream_registry.h"

#include <doctest/doctest.h>

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

}  // namespace hingespan::gateway
