#include "platform/request_fields.h"

#include <doctest/doctest.h>

#include <string>

namespace hingespan::gateway::platform {
namespace {

RequestHead Head() {
  RequestHead head;
  head.method = "POST";
  head.target = "/a/b";
  head.fields = {{"Host", "h"},
                 {"Attempt-Id", "id1"},
                 {"Deadline-Ms", "1500"},
                 {"Model", "m1/a3"},
                 {"Token-Count", "1460,80"},
                 {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                 {"Last-Event-Id", "12"},
                 {"Connection", "close, X-Hop"},
                 {"X-Hop", "1"},
                 {"X-Own", "2"}};
  return head;
}

std::string Value(const HeaderFields& fields, const char* name) {
  const std::string* const value = FindField(fields, name);
  return value == nullptr ? "-" : *value;
}

TEST_CASE("the fields of a request are parsed") {
  const RequestFacts facts = RequestFields().ReadRequest(Head());
  CHECK(facts.id == "id1");
  CHECK(facts.deadline == absl::Milliseconds(1500));
  CHECK(facts.model == "m1");
  CHECK(facts.adapter == "a3");
  CHECK(facts.prompt_tokens == 1460);
  CHECK(facts.max_output_tokens == 80);
  REQUIRE(facts.prompt_parts.size() == 3);
  CHECK(facts.prompt_parts[1].id == "91bd3f06");
  CHECK(facts.prompt_parts[1].tokens == 410);
  CHECK(facts.last_event_id == "12");
}

TEST_CASE("a request without any of the fields is accepted") {
  const RequestFacts facts = RequestFields().ReadRequest(RequestHead{});
  CHECK(facts.id.empty());
  CHECK(!facts.deadline.has_value());
  CHECK(facts.model.empty());
}

TEST_CASE("an attempt carries the caller's fields, the remaining time and the expected worker") {
  const HeaderFields fields =
      RequestFields().AttemptFields(Head(), {"w1", absl::Milliseconds(700), 2, ""});
  CHECK(Value(fields, "Attempt-Id") == "id1");
  CHECK(Value(fields, "Model") == "m1/a3");
  CHECK(Value(fields, "Deadline-Ms") == "700");
  CHECK(Value(fields, "Expect-Instance") == "w1");
  CHECK(Value(fields, "Request-Priority") == "2");
  CHECK(Value(fields, "Last-Event-Id") == "12");
  CHECK(Value(fields, "X-Own") == "2");
  CHECK(Value(fields, "X-Hop") == "-");
  CHECK(Value(fields, "Connection") == "-");
  int deadlines = 0;
  for (const HeaderField& field : fields) {
    deadlines += field.name == "Deadline-Ms" ? 1 : 0;
  }
  CHECK(deadlines == 1);
}

TEST_CASE("a resumed attempt carries exactly one Last-Event-Id, that of the last complete event") {
  const HeaderFields fields =
      RequestFields().AttemptFields(Head(), {"w1", absl::Milliseconds(700), 2, "31"});
  int names = 0;
  for (const HeaderField& field : fields) {
    names += field.name == "Last-Event-Id" ? 1 : 0;
  }
  CHECK(names == 1);
  CHECK(Value(fields, "Last-Event-Id") == "31");
}

TEST_CASE("the fields of an answer are parsed") {
  AnswerHead head;
  head.status = 503;
  head.fields = {{"Not-Executed", "1"}};
  CHECK(RequestFields().ReadAnswer(head, "w1").not_executed);
  CHECK(!RequestFields().ReadAnswer(head, "w1").misdirected);
  head.status = 421;
  head.fields = {{"Instance-Id", "w2"}};
  CHECK(RequestFields().ReadAnswer(head, "w1").not_executed);
  CHECK(RequestFields().ReadAnswer(head, "w1").from_other_worker);
  head.fields = {{"Instance-Id", "w1"}};
  CHECK(!RequestFields().ReadAnswer(head, "w1").from_other_worker);
  head.status = 503;
  head.fields = {{"Attempt-Id", "id1"}, {"Server-Seal", "s"}};
  CHECK(!RequestFields().ReadAnswer(head, "w1").not_executed);
  CHECK(RequestFields().ReadAnswer(head, "w1").is_signed);
  CHECK(!RequestFields().ReadAnswer(head, "w1").is_encoded);
  CHECK_FALSE(RequestFields().ReadAnswer(head, "w1").survived_rejections.has_value());
  head.fields.push_back({"server-brittle", "4"});
  CHECK(RequestFields().ReadAnswer(head, "w1").survived_rejections == 4);
  head.fields.back().value = "many";
  CHECK_FALSE(RequestFields().ReadAnswer(head, "w1").survived_rejections.has_value());
  head.fields.push_back({"content-encoding", "gzip"});
  CHECK(RequestFields().ReadAnswer(head, "w1").is_encoded);
}

}  // namespace
}  // namespace hingespan::gateway::platform
