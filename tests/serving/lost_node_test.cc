// Tests of nodes that are left while the rows of lost ones are still in the fleet table.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "hingespan/fleet/fleet_messages.h"
#include "hingespan/fleet/peer_link.h"
#include "hingespan/fleet/stream_holders.h"
#include "tests/serving/gateway_world.h"

namespace hingespan::gateway {
namespace {

using Json = nlohmann::json;

constexpr int kLostNodes = 7;
// The discard port: nobody answers there.
constexpr const char* kLostAddress = "127.0.0.1:9";
constexpr const char* kPart = "aa";

struct LostNodesFixture : GatewayFixture {
  LostNodesFixture()
      : peer(&loop, [this](absl::string_view bytes) {
          const auto message = DecodeFleetMessage(bytes);
          if (message.has_value() && std::holds_alternative<StreamReply>(*message)) {
            reply = std::get<StreamReply>(*message);
          }
        }) {
    REQUIRE(!peer.Listen("127.0.0.1:0"));
    for (int number = 0; number < kLostNodes; ++number) {
      const Json row{{"address", kLostAddress},
                     {"zone", absl::StrCat("zone-", number % 4)},
                     {"incarnation", 1},
                     {"answers_probes", true}};
      store.Put("hingespan", RowKey(NameOf(number)), row.dump());
    }
  }

  static std::string NameOf(int number) { return absl::StrCat("lost-", number); }
  static std::string RowKey(const std::string& name) { return absl::StrCat("node/", name); }

  std::string AddressOf(const std::string& name) const {
    const Json row = Json::parse(store.Value("hingespan", RowKey(name)), nullptr, false);
    return row.is_object() ? row.value("address", "") : std::string();
  }

  bool LostRowsAreGone() const {
    for (int number = 0; number < kLostNodes; ++number) {
      if (!AddressOf(NameOf(number)).empty()) {
        return false;
      }
    }
    return true;
  }

  void AddVersion(const std::string& id, const std::string& version) {
    emulator::PlatformWorkerOptions options;
    options.id = id;
    options.service = "models";
    options.software_version = version;
    options.models["m1"];
    AddWorker(options);
  }

  // The lost nodes, and n1 and n2.
  static std::vector<StreamNode> AllNodes() {
    std::vector<StreamNode> all = {{"n1", "zone-a", "a"}, {"n2", "zone-a", "a"}};
    for (int number = 0; number < kLostNodes; ++number) {
      all.push_back({NameOf(number), absl::StrCat("zone-", number % 4), "a"});
    }
    return all;
  }

  // Id of a worker whose two lenders of slots are lost nodes.
  static std::string WorkerOfLostLenders() {
    for (int number = 0;; ++number) {
      const std::string id = absl::StrCat("w", number);
      const std::vector<StreamNode> lenders = ChooseHolders(id, AllNodes(), "");
      if (std::all_of(lenders.begin(), lenders.end(), [](const StreamNode& node) {
            return absl::StartsWith(node.name, "lost-");
          })) {
        return id;
      }
    }
  }

  // Returns whether the node has the record of the stream.
  bool Holds(const std::string& node, const std::string& stream_id) {
    reply.reset();
    peer.Send(AddressOf(node),
              EncodeFleetMessage(StreamQuestion{stream_id, "models", peer.address(), 1}));
    REQUIRE(Wait([&] { return reply.has_value(); }));
    return reply->source.has_value();
  }

  PeerLink peer;
  std::optional<StreamReply> reply;
};

}  // namespace

// Guards against records of streams that are sent to nodes lost long before, so that the streams of
// the next node that is lost can't go on (LOST), and against shares of the retry budget that are
// kept for lost nodes.
TEST_CASE("a node that is left gets the records of streams and its share of the budget") {
  LostNodesFixture fixture;
  fixture.AddVersion("w1", "v1");
  fixture.AddVersion("w2", "v2");
  TestNode* const first = fixture.AddNode("n1");
  TestNode* const second = fixture.AddNode("n2");
  CHECK(fixture.Wait([&] { return fixture.LostRowsAreGone(); }));
  CHECK(fixture.Wait(
      [&] { return first->gateway.fleet_size() == 2 && second->gateway.fleet_size() == 2; }));
  for (int number = 0; number < 12; ++number) {
    TestRequest request = StreamRequest("/stream/x", "m1");
    request.id = absl::StrCat("stream-", number);
    REQUIRE(fixture.Ask(first, request)->head.status == 200);
    CAPTURE(request.id);
    CHECK(fixture.Holds("n2", request.id));
  }
}

// Guards against prompts that are refused for good because the node that would admit the trial of
// their quarantine is lost (LOST).
TEST_CASE("a node that is left admits the trials of a quarantine") {
  LostNodesFixture fixture;
  fixture.AddVersion("w1", "v1");
  TestNode* const node = fixture.AddNode("n1");
  REQUIRE(absl::StartsWith(
      ChooseHolders(absl::StrCat("models ", kPart), LostNodesFixture::AllNodes(), "").front().name,
      "lost-"));
  constexpr int kSinceMs = 17'000;
  constexpr int kLifetimeMs = 60'000;
  fixture.peer.Send(fixture.AddressOf("n1"),
                    EncodeFleetMessage(QuarantineNotice{
                        "models", {kPart}, {"w"}, kSinceMs, kLifetimeMs, fixture.peer.address()}));
  TestRequest request = StreamRequest("/stream/x", "m1");
  request.fields.back().value = absl::StrCat(kPart, ":5,own:5");
  REQUIRE(fixture.Wait([&] { return fixture.Ask(node, request)->head.status == 503; }));
  CHECK(fixture.Wait([&] { return fixture.LostRowsAreGone(); }));
  CHECK(fixture.Wait([&] { return fixture.Ask(node, request)->head.status == 200; }));
}

// Guards against slots of a brittle worker that nobody lends, as both its lenders are lost: the
// nodes that are left would send it next to nothing.
TEST_CASE("a node that is left lends the slots of brittle workers") {
  LostNodesFixture fixture;
  fixture.AddVersion(LostNodesFixture::WorkerOfLostLenders(), "v1");
  constexpr int kSurvivedRejections = 3;
  fixture.workers.back()->SetBrittle(kSurvivedRejections);
  TestNode* const first = fixture.AddNode("n1");
  TestNode* const second = fixture.AddNode("n2");
  CHECK(fixture.Wait([&] { return fixture.LostRowsAreGone(); }));
  CHECK(fixture.Wait(
      [&] { return first->gateway.fleet_size() == 2 && second->gateway.fleet_size() == 2; }));
  for (int number = 0; number < 20; ++number) {
    TestRequest request = StreamRequest("/stream/x", "m1");
    request.id = absl::StrCat("stream-", number);
    CHECK(fixture.Ask(number % 2 == 0 ? first : second, request)->head.status == 200);
  }
  CHECK(first->metrics.slot_datagrams + second->metrics.slot_datagrams > 0);
  for (const TestNode* const node : {first, second}) {
    for (const std::string& line : node->LogLines()) {
      CHECK(!absl::StrContains(line, "lender_unresponsive"));
    }
  }
}

}  // namespace hingespan::gateway
