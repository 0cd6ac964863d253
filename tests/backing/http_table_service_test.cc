#include "hingespan/backing/http_table_service.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "hingespan/backing/http_machine_list.h"
#include "hingespan/backing/json_http_client.h"
#include "tests/backing/scripted_server.h"

namespace hingespan {
namespace {

constexpr absl::Duration kLongTimeout = absl::Seconds(20);
constexpr absl::Duration kShortTimeout = absl::Milliseconds(200);

// Gives the same answer to every request and stores the last request.
class FixedServer {
 public:
  FixedServer(int status, std::string body) {
    const auto handler = [this, status, body](const httplib::Request& request,
                                              httplib::Response& response) {
      absl::MutexLock lock(&mutex_);
      last_ = request;
      ports_.insert(request.remote_port);
      response.status = status;
      response.set_content(body, "application/json");
    };
    server_.Get(".*", handler);
    server_.Post(".*", handler);
    server_.Put(".*", handler);
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FixedServer() {
    server_.stop();
    thread_.join();
  }

  std::string address() const { return absl::StrCat("127.0.0.1:", port_); }
  httplib::Request last() const {
    absl::MutexLock lock(&mutex_);
    return last_;
  }
  std::size_t connections() const {
    absl::MutexLock lock(&mutex_);
    return ports_.size();
  }

 private:
  httplib::Server server_;
  mutable absl::Mutex mutex_;
  httplib::Request last_ ABSL_GUARDED_BY(mutex_);
  std::set<int> ports_ ABSL_GUARDED_BY(mutex_);
  int port_ = 0;
  std::thread thread_;
};

Transaction OneWrite() {
  Transaction transaction;
  transaction.preconditions.push_back({"rows/a", TableRevision(4)});
  transaction.writes.push_back({"rows/a", "text"});
  transaction.writes.push_back({"rows/b", std::nullopt});
  return transaction;
}

std::error_code CommitErrorOfStatus(int status) {
  FixedServer server(status, "{}");
  return HttpTableService(server.address()).Commit(OneWrite(), kLongTimeout).error();
}

std::error_code CommitError(ScriptedAction end, absl::Duration timeout) {
  ScriptedServer server(end);
  const Result<TransactionResult> result =
      HttpTableService(server.address()).Commit(OneWrite(), timeout);
  CHECK(server.requests() == 1);
  return result.error();
}

TEST_CASE("a commit sends preconditions and writes, and returns the revision") {
  FixedServer server(200, R"({"committed":true,"revision":9})");
  const auto result = HttpTableService(server.address()).Commit(OneWrite(), kLongTimeout);
  REQUIRE(result.ok());
  CHECK(result->committed);
  CHECK(result->revision == TableRevision(9));
  CHECK(server.last().path == "/table/commit");
  CHECK(nlohmann::json::parse(server.last().body) == nlohmann::json::parse(R"({
      "preconditions":[{"key":"rows/a","revision":4}],
      "writes":[{"key":"rows/a","value":"text"},{"key":"rows/b","value":null}]})"));
}

TEST_CASE("a conflicting commit returns the current values") {
  FixedServer server(200, R"({"committed":false,"revision":0,"conflicting":
      [{"key":"rows/a","revision":7,"value":"other"},{"key":"rows/b","revision":0,"value":null}]})");
  const auto result = HttpTableService(server.address()).Commit(OneWrite(), kLongTimeout);
  REQUIRE(result.ok());
  CHECK_FALSE(result->committed);
  REQUIRE(result->conflicting.size() == 2);
  CHECK(result->conflicting[0].revision == TableRevision(7));
  CHECK(result->conflicting[0].value == "other");
  CHECK_FALSE(result->conflicting[1].value.has_value());
}

TEST_CASE("answers to reads, changes and history are parsed; keys are escaped") {
  FixedServer read(200, R"({"key":"rows/a b&c","revision":3,"value":"x"})");
  const auto value = HttpTableService(read.address()).Read("rows/a b&c", kLongTimeout);
  REQUIRE(value.ok());
  CHECK(value->value == "x");
  CHECK(read.last().get_param_value("key") == "rows/a b&c");

  FixedServer changes(200, R"({"changes":[{"key":"rows/a","revision":3,"value":null}],
                               "through":3,"latest":8})");
  const auto page =
      HttpTableService(changes.address()).ReadChanges(TableRevision(2), 10, kLongTimeout);
  REQUIRE(page.ok());
  CHECK(page->changes.size() == 1);
  CHECK(page->through == TableRevision(3));
  CHECK(page->latest == TableRevision(8));
  CHECK(changes.last().get_param_value("after") == "2");

  FixedServer history(200, R"({"values":[{"key":"rows/a","revision":3,"value":"x"}]})");
  const auto values = HttpTableService(history.address()).ReadHistory("rows/a", 5, kLongTimeout);
  REQUIRE(values.ok());
  CHECK(values->size() == 1);
}

TEST_CASE("a refused connection is reported as unavailable, as the call had no effect") {
  LoopbackListener closed;  // Bound but not listening.
  HttpTableService service(closed.address());
  CHECK(service.Commit(OneWrite(), kLongTimeout).error() == Error::kUnavailable);
}

TEST_CASE("each HTTP status maps to an error") {
  CHECK(CommitErrorOfStatus(429) == Error::kRateLimited);
  CHECK(CommitErrorOfStatus(503) == Error::kUnavailable);
  CHECK(CommitErrorOfStatus(500) == Error::kInternal);
  CHECK(CommitErrorOfStatus(400) == Error::kInvalidArgument);
}

TEST_CASE(
    "a connection closed before a complete answer is a lost answer, and nothing is sent twice") {
  CHECK(CommitError(ScriptedAction::kCloseWithoutAnswer, kLongTimeout) == Error::kAnswerLost);
  CHECK(CommitError(ScriptedAction::kCloseWithinAnswer, kLongTimeout) == Error::kAnswerLost);
}

TEST_CASE("a missing answer is reported as a timeout") {
  CHECK(CommitError(ScriptedAction::kNoAnswer, kShortTimeout) == Error::kTimeout);
}

TEST_CASE("an unreadable answer counts as lost for a commit and as malformed for a read") {
  FixedServer server(200, "not json");
  HttpTableService service(server.address());
  CHECK(service.Commit(OneWrite(), kLongTimeout).error() == Error::kAnswerLost);
  CHECK(service.Read("rows/a", kLongTimeout).error() == Error::kMalformed);
}

TEST_CASE("an answer above the limit is malformed") {
  FixedServer server(200, std::string(5000, 'x'));
  JsonHttpClientOptions options;
  options.address = server.address();
  options.maximum_answer_bytes = 1000;
  CHECK(JsonHttpClient(options).Send({}, kLongTimeout).error() == Error::kMalformed);
}

TEST_CASE("consecutive calls share a connection") {
  FixedServer server(200, R"({"key":"rows/a","revision":0,"value":null})");
  HttpTableService service(server.address());
  CHECK(service.Read("rows/a", kLongTimeout).ok());
  CHECK(service.Read("rows/a", kLongTimeout).ok());
  CHECK(server.connections() == 1);
}

TEST_CASE("the machine list is read for a zone") {
  FixedServer server(200, R"({"nodes":[{"node":"n1","zone":"z1","http_address":"127.0.0.1:1",
      "control_address":"127.0.0.1:2","state":"leaving"}],
      "workers":[{"worker":"w1","zone":"z1","base_url":"http://127.0.0.1:3/engines/w1",
      "state":"gone"}]})");
  const auto listing = HttpMachineList(server.address()).Read(ZoneId("z1"), kLongTimeout);
  REQUIRE(listing.ok());
  REQUIRE(listing->nodes.size() == 1);
  REQUIRE(listing->workers.size() == 1);
  CHECK(listing->nodes[0].state == MachineState::kLeaving);
  CHECK(listing->workers[0].state == MachineState::kGone);
  CHECK(server.last().get_param_value("zone") == "z1");
}

TEST_CASE(
    "the next read sends the machine list's tag, and the list is kept while it is not modified") {
  httplib::Server server;
  std::vector<std::string> named;
  server.Get("/machines", [&](const httplib::Request& request, httplib::Response& response) {
    named.push_back(request.get_header_value("If-None-Match"));
    response.set_header("ETag", "\"7\"");
    if (named.back() == "\"7\"") {
      response.status = 304;
      return;
    }
    response.set_content(R"({"nodes":[],"workers":[{"worker":"w1","zone":"z1","base_url":"u",
        "state":"live"}]})",
                         "application/json");
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  HttpMachineList machines(absl::StrCat("127.0.0.1:", port));
  for (const char* zone : {"z1", "z1", "z2"}) {
    const auto listing = machines.Read(ZoneId(zone), kLongTimeout);
    CHECK((listing.ok() && listing->workers.size() == 1));
  }
  server.stop();
  thread.join();
  // Zone z2 sees other addresses, so the tag of z1's list is not sent.
  CHECK(named == std::vector<std::string>{"", "\"7\"", ""});
}

TEST_CASE(
    "a not modified answer without a cached list is an error, and a list without a tag is "
    "accepted") {
  FixedServer not_modified(304, "");
  CHECK_FALSE(HttpMachineList(not_modified.address()).Read(ZoneId("z1"), kLongTimeout).ok());
  FixedServer untagged(200, R"({"nodes":[],"workers":[]})");
  HttpMachineList machines(untagged.address());
  for (int read = 1; read <= 2; ++read) {
    CHECK(machines.Read(ZoneId("z1"), kLongTimeout).ok());
    CHECK_FALSE(untagged.last().has_header("If-None-Match"));
  }
}

TEST_CASE("a machine list with an unknown state is malformed") {
  FixedServer server(200, R"({"nodes":[],"workers":[{"worker":"w1","zone":"z1",
      "base_url":"","state":"asleep"}]})");
  const auto listing = HttpMachineList(server.address()).Read(ZoneId("z1"), kLongTimeout);
  CHECK(listing.error() == Error::kMalformed);
}

TEST_CASE("a node announces itself under its own name") {
  FixedServer server(200, "{}");
  NodeMachine machine;
  machine.node = NodeId("n/1");
  machine.zone = ZoneId("z1");
  machine.http_address = "127.0.0.1:1";
  CHECK(HttpMachineList(server.address()).Announce(machine, kLongTimeout).ok());
  CHECK(server.last().path == "/machines/n/1");
  CHECK(nlohmann::json::parse(server.last().body)["state"] == "live");
}

TEST_CASE("a worker can be announced as leaving, but only the platform declares one gone") {
  FixedServer server(200, "{}");
  HttpMachineList machines(server.address());
  CHECK(machines.AnnounceWorker(WorkerId("w/1"), MachineState::kLeaving, kLongTimeout).ok());
  CHECK(server.last().method == "PUT");
  CHECK(server.last().path == "/machines/w/1");
  const nlohmann::json announced{{"worker", "w/1"}, {"state", "leaving"}};
  CHECK(nlohmann::json::parse(server.last().body) == announced);
  CHECK(machines.AnnounceWorker(WorkerId("w2"), MachineState::kGone, kLongTimeout).error() ==
        Error::kInvalidArgument);
  CHECK(server.last().path == "/machines/w/1");
}

TEST_CASE("an unknown worker and an ended one cause different errors") {
  FixedServer unknown(404, "{}");
  FixedServer ended(409, "{}");
  const auto announce = [](const FixedServer& server) {
    return HttpMachineList(server.address())
        .AnnounceWorker(WorkerId("w1"), MachineState::kLeaving, kLongTimeout)
        .error();
  };
  CHECK(announce(unknown) == Error::kNotFound);
  CHECK(announce(ended) == Error::kConflict);
}

}  // namespace
}  // namespace hingespan
