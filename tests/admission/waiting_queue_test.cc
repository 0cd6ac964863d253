#include "hingespan/admission/waiting_queue.h"

#include <doctest/doctest.h>

namespace hingespan {
namespace {

constexpr std::size_t kLimit = 10;
const absl::Time kStart = absl::FromUnixSeconds(1000);

absl::Time At(int seconds) { return kStart + absl::Seconds(seconds); }

TEST_CASE("orders by priority, then deadline, then arrival") {
  WaitingQueue queue;
  CHECK(queue.Push(RequestId("late"), 0, At(9), kLimit));
  CHECK(queue.Push(RequestId("soon"), 0, At(3), kLimit));
  CHECK(queue.Push(RequestId("soon too"), 0, At(3), kLimit));
  CHECK(queue.Push(RequestId("important"), 5, At(9), kLimit));
  CHECK(queue.earliest_deadline() == At(3));
  CHECK(queue.latest_deadline() == At(9));
  CHECK(queue.Front() == RequestId("important"));
  const std::vector<RequestId> expected = {RequestId("important"), RequestId("soon"),
                                           RequestId("soon too"), RequestId("late")};
  CHECK(queue.Requests() == expected);
  for (const RequestId& request : expected) {
    CHECK(queue.Pop() == request);
  }
  CHECK(queue.Pop() == std::nullopt);
  CHECK(queue.earliest_deadline() == absl::InfiniteFuture());
  CHECK(queue.latest_deadline() == absl::InfinitePast());
}

TEST_CASE("rejects requests beyond the limit and requests that are already queued") {
  WaitingQueue queue;
  CHECK(queue.Push(RequestId("a"), 0, At(1), 2));
  CHECK_FALSE(queue.Push(RequestId("a"), 0, At(2), 2));
  CHECK(queue.Push(RequestId("b"), 0, At(1), 2));
  CHECK_FALSE(queue.Push(RequestId("c"), 9, At(1), 2));
  CHECK(queue.size() == 2);
}

TEST_CASE("a removed request frees its entry, and others with the same deadline stay") {
  WaitingQueue queue;
  queue.Push(RequestId("a"), 0, At(1), 2);
  queue.Push(RequestId("b"), 0, At(1), 2);
  CHECK(queue.Remove(RequestId("a")));
  CHECK_FALSE(queue.Remove(RequestId("a")));
  CHECK(queue.Push(RequestId("c"), 0, At(2), 2));
  CHECK(queue.TakeExpired(At(1)) == std::vector<RequestId>{RequestId("b")});
  CHECK(queue.Pop() == RequestId("c"));
}

TEST_CASE("expired requests are removed at their deadline regardless of priority, and not before") {
  WaitingQueue queue;
  queue.Push(RequestId("a"), 0, At(2), kLimit);
  queue.Push(RequestId("b"), 9, At(1), kLimit);
  queue.Push(RequestId("c"), 9, At(5), kLimit);
  CHECK(queue.TakeExpired(At(0)).empty());
  CHECK(queue.TakeExpired(At(2)) == std::vector<RequestId>{RequestId("b"), RequestId("a")});
  CHECK(queue.size() == 1);
}

}  // namespace
}  // namespace hingespan
