#include "hingespan/serving/peer_directory.h"

#include <doctest/doctest.h>

#include "hingespan/serving/forwarding.h"

namespace hingespan::gateway {
namespace {

absl::Time At(double seconds) { return absl::UnixEpoch() + absl::Seconds(seconds); }

std::string NameOf(const Peer* peer) { return peer == nullptr ? "none" : peer->name; }

TEST_CASE("requests go to the own zone first, in turn, and never to this node") {
  PeerDirectory peers("n1", "a");
  CHECK(peers.Choose({}, At(0)) == nullptr);
  peers.SetPeers(
      {{"n1", "a", "1"}, {"n2", "b", "2"}, {"n3", "a", "3"}, {"n4", "a", "4"}, {"n5", "a", ""}});
  CHECK(NameOf(peers.Choose({}, At(0))) == "n3");
  peers.OnStarted("n3");
  CHECK(NameOf(peers.Choose({}, At(0))) == "n4");
  peers.OnStarted("n4");
  peers.OnEnded("n4", ForwardOutcome::kAnswered, At(0));
  CHECK(NameOf(peers.Choose({}, At(0))) == "n4");
  peers.OnEnded("n3", ForwardOutcome::kAnswered, At(0));
  CHECK(NameOf(peers.Choose({"n3", "n4"}, At(0))) == "n2");
  CHECK(NameOf(peers.Choose({"n2", "n3", "n4"}, At(0))) == "none");
}

// Guards against asking one node after the other of a zone that has lost its path as a whole.
TEST_CASE("a zone with a peer that declined comes after zones without one") {
  PeerDirectory peers("n1", "a");
  peers.SetPeers({{"n2", "a", "2"}, {"n3", "a", "3"}, {"n4", "b", "4"}, {"n5", "c", "5"}});
  peers.OnStarted("n2");
  peers.OnEnded("n2", ForwardOutcome::kDeclined, At(0));
  CHECK(NameOf(peers.Choose({"n2"}, At(0.1))) == "n4");
  peers.OnStarted("n4");
  peers.OnEnded("n4", ForwardOutcome::kDeclined, At(0.1));
  CHECK(NameOf(peers.Choose({"n2", "n4"}, At(0.2))) == "n5");
  CHECK(NameOf(peers.Choose({"n2", "n4", "n5"}, At(0.2))) == "n3");
}

TEST_CASE("a peer that declines or can't be reached is left alone for a while") {
  PeerDirectory peers("n1", "a");
  peers.SetPeers({{"n2", "a", "2"}, {"n3", "b", "3"}});
  peers.OnStarted("n2");
  peers.OnEnded("n2", ForwardOutcome::kDeclined, At(0));
  CHECK(NameOf(peers.Choose({}, At(0.9))) == "n3");
  CHECK(NameOf(peers.Choose({}, At(1))) == "n2");
  peers.OnStarted("n2");
  peers.OnEnded("n2", ForwardOutcome::kUnreachable, At(1));
  CHECK(NameOf(peers.Choose({}, At(2.9))) == "n3");
  CHECK(NameOf(peers.Choose({}, At(3))) == "n2");
}

TEST_CASE("the origin of a forwarded request survives its header fields, which stay on the hop") {
  for (const bool counted : {false, true}) {
    RequestOrigin sent;
    sent.counted = counted;
    sent.tried_workers = {"w1", "w2"};
    RequestHead head;
    head.fields = OriginFields(sent);
    const RequestOrigin received = ReadOrigin(head);
    CHECK(received.forwarded);
    CHECK(received.counted == counted);
    CHECK(received.tried_workers == sent.tried_workers);
    const std::string* const connection = FindField(head.fields, "Connection");
    REQUIRE(connection != nullptr);
    for (const HeaderField& field : head.fields) {
      CHECK(IsConnectionField(field.name, *connection));
    }
  }
  CHECK(ReadOrigin(RequestHead{}).tried_workers.empty());
}

TEST_CASE("workers, services and versions of any name survive the fields of a forwarded request") {
  RequestOrigin sent;
  sent.counted = true;
  sent.tried_workers = {"w1", "a,b", "a b", "%41", "a\r\nX: y", "\xc3\xa9", " ", "a&b+c#d"};
  sent.source = StreamSource{"s,1\r\nX: y", "v 1%"};
  RequestHead head;
  head.fields = OriginFields(sent);
  for (const HeaderField& field : head.fields) {
    CAPTURE(field.name);
    CHECK(IsFieldValue(field.value));
  }
  const RequestOrigin received = ReadOrigin(head);
  CHECK(received.tried_workers == sent.tried_workers);
  CHECK(received.source == sent.source);
  // Nodes of an earlier release don't encode.
  head.fields = {{"Hingespan-Origin", "counted,w1,50%"}};
  CHECK(ReadOrigin(head).tried_workers == std::set<std::string>{"w1", "50%"});
}

TEST_CASE("a verdict is told apart from a worker's answer, and an unknown one promises nothing") {
  AnswerHead head;
  CHECK_FALSE(ReadVerdict(head).has_value());
  for (const PeerVerdict verdict :
       {PeerVerdict::kUnavailable, PeerVerdict::kRefused, PeerVerdict::kFailed}) {
    head.fields = {VerdictField(verdict)};
    CHECK(ReadVerdict(head) == verdict);
  }
  head.fields[0].value = "later version";
  CHECK(ReadVerdict(head) == PeerVerdict::kFailed);
}

}  // namespace
}  // namespace hingespan::gateway
