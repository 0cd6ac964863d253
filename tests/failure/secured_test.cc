// Tests secured nodes with real processes and certificates: TLS to callers, operators and between
// nodes, a key for each of them, and the refusal to listen beyond loopback without them.
#include <doctest/doctest.h>
#include <httplib.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hingespan/table/record_codec.h"
#include "tests/failure/test_cluster.h"
#include "tests/net/test_certificates.h"

namespace hingespan::failure {
namespace {

using load::ChildProcess;

constexpr char kEmulatorSettings[] = HINGESPAN_SOURCE_DIRECTORY "/tests/failure/emulator.toml";
constexpr char kCallerKey[] = "caller-key-0123456789";
constexpr char kOperatorKey[] = "operator-key-0123456789";
constexpr char kClusterKey[] = "cluster-key-0123456789";
constexpr char kOtherClusterKey[] = "another-cluster-key-0123456789";
constexpr char kStream[] =
    R"({"model":"far","max_tokens":4,"stream":true,"messages":[{"role":"user","content":"hi"}]})";
constexpr int kRefusedArguments = 2;
constexpr int kNodeRefused = 1;
constexpr int kUnreachable = 4;

// Cluster of two zones with one node each, with certificates and all keys.
class SecuredCluster {
 public:
  // Nodes trust only certificates that `node_authority` signed; null means the cluster's own one.
  explicit SecuredCluster(const TestCertificate* node_authority = nullptr)
      : node_authority_file_(
            (node_authority == nullptr ? certificate_ : *node_authority).certificate_file()),
        processes_(Options()) {
    const load::ClusterStatus status = processes_.Start();
    REQUIRE_MESSAGE(status.ok(), status.detail);
    table_ = std::make_unique<HttpTableService>(processes_.PlatformAddress(ZoneId("z1")));
  }

  load::LocalCluster& processes() { return processes_; }
  const TestCertificate& certificate() const { return certificate_; }
  std::string Address(const std::string& node) const {
    return processes_.Node(NodeId(node))->http_address;
  }

  // Returns the settings of a node, with `cluster_key` in a separate file.
  std::vector<SettingOverride> NodeOverrides(const std::string& cluster_key) const {
    return {{"http.tls.certificate_file", certificate_.certificate_file()},
            {"http.tls.key_file", certificate_.key_file()},
            {"http.tls.node_ca_file", node_authority_file_},
            {"secrets.caller_key_file", KeyFile(kCallerKey)},
            {"secrets.operator_key_file", KeyFile(kOperatorKey)},
            {"secrets.cluster_key_file", KeyFile(cluster_key)}};
  }

  // Writes the key to a file beside the certificate, which is deleted together with it.
  std::string KeyFile(const std::string& key) const {
    std::string name = absl::StrCat(certificate_.key_file(), ".", key.substr(0, key.find('-')));
    std::ofstream(name) << key << "\n";
    return name;
  }

  // Returns a client that trusts the nodes' certificate authority.
  std::unique_ptr<httplib::Client> Caller(const std::string& node) const {
    auto client = std::make_unique<httplib::Client>(absl::StrCat("https://", Address(node)));
    client->set_ca_cert_path(certificate_.certificate_file());
    client->set_read_timeout(absl::ToChronoSeconds(kWaitBound));
    return client;
  }

  // Writes the row of a model that only zone z2 serves and waits until `node` knows it.
  void PutFarRow(const std::string& node) {
    ModelRow row = MakeRow("far", 1);
    row.weights = {{ZoneId("z2"), 1}};
    Transaction transaction;
    transaction.preconditions.push_back({RowKey(row.name), TableRevision()});
    transaction.writes.push_back({RowKey(row.name), EncodeRecord(row)});
    const Result<TransactionResult> result = table_->Commit(transaction, kWaitBound);
    REQUIRE(result.ok());
    REQUIRE(result->committed);
    const auto client = Caller(node);
    client->set_bearer_token_auth(kCallerKey);
    REQUIRE(TestCluster::WaitUntil([&] {
      const httplib::Result models = client->Get("/v1/models");
      return models && absl::StrContains(models->body, "\"far\"");
    }));
  }

  // Requests a stream of `far`, with retries while it is refused because no node in z2 is known.
  static httplib::Result PostOnceReachable(httplib::Client* caller) {
    httplib::Result answer(nullptr, httplib::Error::Unknown);
    TestCluster::WaitUntil([&] {
      answer = caller->Post("/v1/chat/completions", kStream, "application/json");
      return !answer || !absl::StrContains(answer->body, "\"site_unavailable\"");
    });
    return answer;
  }

  // Requests the stream until the node has tried to forward it, and returns the last answer.
  static httplib::Result PostOnceForwarded(const SecuredCluster& cluster, httplib::Client* caller) {
    httplib::Result answer(nullptr, httplib::Error::Unknown);
    CHECK(TestCluster::WaitUntil([&] {
      answer = caller->Post("/v1/chat/completions", kStream, "application/json");
      return cluster.Metric("z1-n1", "hingespan_router_forwarded_total") > 0;
    }));
    return answer;
  }

  // Returns the value of a metric without labels, or -1 if it is missing.
  double Metric(const std::string& node, const std::string& name) const {
    const httplib::Result answer = Caller(node)->Get("/metrics");
    const std::string text = answer ? answer->body : std::string();
    const std::size_t line = text.find(absl::StrCat("\n", name, " "));
    double value = -1;
    if (line != std::string::npos) {
      const std::size_t begin = line + name.size() + 2;
      const bool number =
          absl::SimpleAtod(text.substr(begin, text.find('\n', begin) - begin), &value);
      REQUIRE(number);
    }
    return value;
  }

  // Runs `hingespan status` against `node` and returns its exit code.
  int AskStatus(const std::string& node, const std::vector<std::string>& flags) const {
    std::vector<std::string> arguments{absl::StrCat(HINGESPAN_PROGRAM_DIRECTORY, "/hingespan"),
                                       "--node", Address(node)};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    arguments.emplace_back("status");
    const auto process = ChildProcess::Start(arguments);
    REQUIRE(process.ok());
    const Result<load::ExitStatus> exit = (*process)->WaitForExit(kWaitBound);
    REQUIRE(exit.ok());
    CHECK(exit->signal == 0);
    return exit->code;
  }

 private:
  load::LocalClusterOptions Options() const {
    load::LocalClusterOptions options;
    options.program_directory = HINGESPAN_PROGRAM_DIRECTORY;
    options.emulator_settings = kEmulatorSettings;
    options.node_overrides = NodeOverrides(kClusterKey);
    options.zones = {{ZoneId("z1"), 1}, {ZoneId("z2"), 1}};
    return options;
  }

  TestCertificate certificate_;
  std::string node_authority_file_;
  load::LocalCluster processes_;
  std::unique_ptr<HttpTableService> table_;
};

// Returns the command line of a node in zone z1 whose platform is unreachable.
std::vector<std::string> LoneNode(const std::vector<std::string>& more) {
  std::vector<std::string> arguments{absl::StrCat(HINGESPAN_PROGRAM_DIRECTORY, "/hingespand"),
                                     "--node",
                                     "lone",
                                     "--zone",
                                     "z1",
                                     "--zones",
                                     "z1",
                                     "--platform",
                                     "127.0.0.1:9"};
  arguments.insert(arguments.end(), more.begin(), more.end());
  return arguments;
}

TEST_CASE("with TLS and keys, requests reach another zone, and unauthorized clients are rejected") {
  SecuredCluster cluster;
  cluster.PutFarRow("z1-n1");
  const auto caller = cluster.Caller("z1-n1");
  SUBCASE("a caller with the key gets its stream, forwarded over TLS") {
    caller->set_bearer_token_auth(kCallerKey);
    const httplib::Result answer = SecuredCluster::PostOnceReachable(caller.get());
    REQUIRE(answer);
    INFO(answer->body);
    CHECK(answer->status == 200);
    CHECK(absl::StrContains(answer->body, "\"finish_reason\":\"length\""));
    CHECK(absl::EndsWith(answer->body, "data: [DONE]\n\n"));
    CHECK(cluster.Metric("z1-n1", "hingespan_router_forwarded_total") == 1);
    CHECK(cluster.Metric("z2-n1", "hingespan_router_dispatched_total") == 1);
  }
  SUBCASE("a caller without the key, or with another, is told so") {
    for (const std::string key : {"", "caller-key-9876543210", kOperatorKey}) {
      caller->set_bearer_token_auth(key);
      const httplib::Result answer =
          caller->Post("/v1/chat/completions", kStream, "application/json");
      REQUIRE(answer);
      CHECK(answer->status == 401);
      const auto error = nlohmann::json::parse(answer->body)["error"];
      CHECK(error["code"] == "unauthorized");
      CHECK(error["attempt"] == "not_run");
    }
  }
  SUBCASE("a caller that does not know the authority does not talk to the node") {
    httplib::Client untrusting_client(absl::StrCat("https://", cluster.Address("z1-n1")));
    CHECK(!untrusting_client.Get("/healthz"));
  }
  SUBCASE("plain HTTP is not answered") {
    httplib::Client plain(absl::StrCat("http://", cluster.Address("z1-n1")));
    CHECK(!plain.Get("/healthz"));
  }
  SUBCASE("the operator needs the authority and the operators' key") {
    const std::string authority = cluster.certificate().certificate_file();
    const std::string key = cluster.KeyFile(kOperatorKey);
    CHECK(cluster.AskStatus("z1-n1", {"--tls-ca", authority, "--operator-key-file", key}) == 0);
    CHECK(cluster.AskStatus("z1-n1", {"--tls-ca", authority}) == kNodeRefused);
    CHECK(cluster.AskStatus("z1-n1", {"--operator-key-file", key}) == kUnreachable);
  }
  for (const load::RunningNode& node : cluster.processes().Nodes()) {
    const std::string log = cluster.processes().ErrorTail(node.node);
    CHECK(!log.empty());
    for (const char* secret : {kCallerKey, kOperatorKey, kClusterKey}) {
      CHECK(!absl::StrContains(log, secret));
    }
  }
}

TEST_CASE("a node whose certificate the authority did not sign gets no request forwarded") {
  const TestCertificate other;
  SecuredCluster cluster(&other);
  cluster.PutFarRow("z1-n1");
  const auto caller = cluster.Caller("z1-n1");
  caller->set_bearer_token_auth(kCallerKey);
  const httplib::Result answer = SecuredCluster::PostOnceForwarded(cluster, caller.get());
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(nlohmann::json::parse(answer->body)["error"]["attempt"] == "not_run");
  CHECK(cluster.Metric("z2-n1", "hingespan_router_submitted_total") == 0);
}

TEST_CASE("a node with another cluster key does not become a member") {
  SecuredCluster cluster;
  const double members = cluster.Metric("z1-n1", "hingespan_members");
  REQUIRE(members >= 1);
  std::vector<std::string> arguments =
      LoneNode({"--seed", cluster.processes().Node(NodeId("z1-n1"))->control_address});
  for (const SettingOverride& setting : cluster.NodeOverrides(kOtherClusterKey)) {
    arguments.emplace_back("--set");
    arguments.push_back(absl::StrCat(setting.key, "=", setting.value));
  }
  const auto foreign_node = ChildProcess::Start(arguments);
  REQUIRE(foreign_node.ok());
  // The node has retried, and all its messages were dropped.
  CHECK(TestCluster::WaitUntil(
      [&] { return cluster.Metric("z1-n1", "hingespan_control_unsigned_dropped_total") >= 3; }));
  CHECK(cluster.Metric("z1-n1", "hingespan_members") == members);
}

TEST_CASE("beyond loopback a node listens only with TLS and a cluster key, or when told to") {
  const auto refuse = [](const std::vector<std::string>& flags, const std::string& key) {
    const auto node = ChildProcess::Start(LoneNode(flags));
    REQUIRE(node.ok());
    const Result<load::ExitStatus> exit = (*node)->WaitForExit(kWaitBound);
    REQUIRE(exit.ok());
    CHECK(exit->code == kRefusedArguments);
    CHECK(absl::StrContains((*node)->ErrorTail(), key));
  };
  refuse({"--http-listen", "0.0.0.0:0"}, "http.listen");
  refuse({"--set", "control.listen=0.0.0.0:0"}, "control.listen");

  const auto insecure_node = ChildProcess::Start(
      LoneNode({"--http-listen", "0.0.0.0:0", "--set", "node.allow_insecure=true"}));
  REQUIRE(insecure_node.ok());
  CHECK((*insecure_node)->WaitForEvent("listening", kWaitBound).ok());
}

}  // namespace
}  // namespace hingespan::failure
