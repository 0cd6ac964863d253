// Tests of what a node knows about brittle services, in virtual time.
#include "hingespan/serving/brittle_services.h"

#include <doctest/doctest.h>

namespace hingespan::gateway {
namespace {

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(1000 + seconds); }

TEST_CASE("a service is brittle until its workers have not said so for a while") {
  BrittleServices services;
  CHECK(services.empty());
  services.RecordAnswer({"s", 3}, At(0));
  services.RecordAnswer({"s", 4}, At(10));
  REQUIRE(services.Find("s", At(20)) != nullptr);
  CHECK(services.Find("s", At(20))->survived_rejections == 4);
  CHECK(services.Find("other", At(20)) == nullptr);
  CHECK(services.Find("s", At(26)) == nullptr);
  services.Expire(At(26));
  CHECK(services.empty());
}

TEST_CASE("the others are told at once, once more, then every few seconds by one of the nodes") {
  BrittleServices services;
  CHECK(services.RecordAnswer({"s", 3}, At(0)));
  CHECK_FALSE(services.RecordAnswer({"s", 3}, At(0.05)));
  CHECK(services.RecordAnswer({"s", 3}, At(0.15)));
  CHECK_FALSE(services.RecordAnswer({"s", 3}, At(2)));
  CHECK(services.RecordAnswer({"s", 3}, At(3.2)));
  CHECK_FALSE(services.RecordNotice({"s", 3}, At(5)));
  CHECK_FALSE(services.RecordAnswer({"s", 3}, At(7)));
  CHECK(services.RecordAnswer({"s", 3}, At(8.1)));
}

TEST_CASE("a notice is new unless the service was brittle already") {
  BrittleServices services;
  CHECK(services.RecordNotice({"s", 3}, At(0)));
  CHECK_FALSE(services.RecordNotice({"s", 3}, At(10)));
  CHECK(services.RecordNotice({"s", 3}, At(30)));
  CHECK(services.All(At(31)).size() == 1);
}

}  // namespace
}  // namespace hingespan::gateway
