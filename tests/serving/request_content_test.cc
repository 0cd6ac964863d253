#include "hingespan/serving/request_content.h"

#include <doctest/doctest.h>

namespace hingespan::gateway {
namespace {

RequestHead Head() {
  RequestHead head;
  head.method = "POST";
  head.target = "/a/b";
  head.fields = {{"Host", "h"}, {"Attempt-Id", "1"}, {"Deadline-Ms", "100"}};
  return head;
}

RequestFacts Facts() {
  RequestFacts facts;
  facts.id = "1";
  facts.model = "m";
  facts.prompt_tokens = 10;
  facts.max_output_tokens = 6;
  facts.prompt_parts = {{"aa", 5}, {"own", 5}};
  return facts;
}

// Guards against a caller's next try that is taken for another request (BUDGET).
TEST_CASE("the tries of a request have the same content") {
  RequestHead head = Head();
  head.fields = {{"Host", "h"}, {"Attempt-Id", "2"}, {"Resumes", "1"}, {"Last-Event-Id", "3"}};
  RequestFacts facts = Facts();
  facts.id = "2";
  facts.resumed_id = "1";
  facts.last_event_id = "3";
  facts.deadline = absl::Milliseconds(50);
  CHECK(ContentOf(head, facts, "body") == ContentOf(Head(), Facts(), "body"));
}

TEST_CASE("requests that differ have different content") {
  const RequestContent content = ContentOf(Head(), Facts(), "body");
  CHECK(ContentOf(Head(), Facts(), "other") != content);
  RequestHead head = Head();
  head.target = "/a/c";
  CHECK(ContentOf(head, Facts(), "body") != content);
  head = Head();
  head.method = "PUT";
  CHECK(ContentOf(head, Facts(), "body") != content);
  head = Head();
  head.fields.front().value = "other";
  CHECK(ContentOf(head, Facts(), "body") != content);
  RequestFacts facts = Facts();
  facts.prompt_parts.back().id = "other";
  CHECK(ContentOf(Head(), facts, "body") != content);
  facts = Facts();
  facts.model = "n";
  CHECK(ContentOf(Head(), facts, "body") != content);
  facts = Facts();
  facts.max_output_tokens = 7;
  CHECK(ContentOf(Head(), facts, "body") != content);
}

}  // namespace
}  // namespace hingespan::gateway
