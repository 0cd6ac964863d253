#include "load/caller_client.h"

#include <doctest/doctest.h>

#include "tests/load/fake_node.h"

namespace hingespan::load {
namespace {

CallerRequest RequestFor(const std::string& model, bool stream) {
  CallerRequest request;
  request.model = model;
  request.max_tokens = 3;
  request.stream = stream;
  request.time_limit = absl::Seconds(10);
  return request;
}

TEST_CASE("tokens of one request in order pass the check") {
  const TokenCheck check = CheckTokens("m#r-1/1 m#r-1/2 m#r-1/3 ", "m", 3);
  CHECK_FALSE(check.wrong);
  CHECK(check.request == "r-1");
  CHECK(check.tokens == 3);
}

TEST_CASE("a token that is foreign, missing, duplicated or out of order fails the check") {
  CHECK(CheckTokens("m#r/1 m#s/2 ", "m", 2).wrong);
  CHECK(CheckTokens("m#r/1 n#r/2 ", "m", 2).wrong);
  CHECK(CheckTokens("m#r/1 m#r/3 ", "m", 2).wrong);
  CHECK(CheckTokens("m#r/1 m#r/1 ", "m", 2).wrong);
  CHECK(CheckTokens("m#r/2 m#r/1 ", "m", 2).wrong);
  CHECK(CheckTokens("m#r/1 ", "m", 2).wrong);
  CHECK(CheckTokens("m#r/1 m#r/2 ", "m", 1).wrong);
  CHECK(CheckTokens("m#r/1 nonsense ", "m", 2).wrong);
}

TEST_CASE("a complete answer is reported as answered, streamed or not") {
  FakeNode node;
  for (const bool stream : {true, false}) {
    const CallerResult result = CallerClient(node.address()).Send(RequestFor("good", stream));
    CHECK(result.outcome == CallerOutcome::kAnswered);
    CHECK_FALSE(result.wrong);
    CHECK(result.tokens == 3);
    CHECK(result.first_token <= result.total);
  }
}

TEST_CASE("a refusal carries its code, attempt state and retry delay") {
  FakeNode node;
  const CallerResult result = CallerClient(node.address()).Send(RequestFor("refused", true));
  CHECK(result.outcome == CallerOutcome::kRefused);
  CHECK(result.http_status == 503);
  CHECK(result.code == "queue_full");
  CHECK(result.attempt == "not_run");
  CHECK(result.key == "may_have_run");
  CHECK(result.retry_after == absl::Milliseconds(1500));
}

TEST_CASE("a stream that ends without its terminal marker is reported as lost") {
  FakeNode node;
  const CallerResult result = CallerClient(node.address()).Send(RequestFor("cut", true));
  CHECK(result.outcome == CallerOutcome::kLost);
  CHECK(result.code == "no_terminal_marker");
}

TEST_CASE("an error within a stream is an explicit failure") {
  FakeNode node;
  const CallerResult result = CallerClient(node.address()).Send(RequestFor("failing", true));
  CHECK(result.outcome == CallerOutcome::kFailed);
  CHECK(result.code == "engine_failed");
  CHECK(result.attempt == "may_have_run");
}

TEST_CASE("another request's answer is reported as wrong") {
  FakeNode node;
  const CallerResult result = CallerClient(node.address()).Send(RequestFor("swapped", true));
  CHECK(result.outcome == CallerOutcome::kAnswered);
  CHECK(result.wrong);
}

TEST_CASE("a refused connection is reported as failed and not run") {
  std::string address;
  {
    FakeNode node;
    address = node.address();
  }
  const CallerResult result = CallerClient(address).Send(RequestFor("good", true));
  CHECK(result.outcome == CallerOutcome::kFailed);
  CHECK(result.code == "connect_failed");
  CHECK(result.attempt == "not_run");
}

}  // namespace
}  // namespace hingespan::load
