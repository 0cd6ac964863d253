#include "hingespan/operator/command_line.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <sstream>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "tests/operator/temporary_file.h"

namespace hingespan {
namespace {

constexpr int kOk = 0;
constexpr int kFailure = 1;
constexpr int kUsage = 2;
constexpr int kUnreachable = 4;

// Runs the command once and keeps its exit code and output.
struct Call {
  explicit Call(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "hingespan");
    std::vector<const char*> pointers;
    for (const std::string& argument : arguments) {
      pointers.push_back(argument.c_str());
    }
    std::istringstream in;
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    code = RunOperatorCommand(static_cast<int>(pointers.size()), pointers.data(),
                              {&in, &out_stream, &err_stream});
    out = out_stream.str();
    err = err_stream.str();
  }

  bool Prints(const std::string& text) const { return out.find(text) != std::string::npos; }

  int code = 0;
  std::string out;
  std::string err;
};

// An HTTP server with the admin paths of a node.
class FakeNode {
 public:
  FakeNode() {
    server_.Get("/admin/status", [](const httplib::Request& request, httplib::Response& response) {
      if (request.get_header_value("Authorization") != "Bearer the-operators-key") {
        response.status = 401;
        return;
      }
      response.set_content(R"({"node":"n1","workers":[{"worker":"w1","running":2}]})",
                           "application/json");
    });
    server_.Get("/admin/explain", [](const httplib::Request& request, httplib::Response& response) {
      response.set_content(R"({"lines":["row )" + request.get_param_value("model") + R"("]})",
                           "application/json");
    });
    server_.Post("/admin/drain", [](const httplib::Request& request, httplib::Response& response) {
      response.set_content(request.body, "application/json");
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FakeNode() {
    server_.stop();
    thread_.join();
  }
  std::string address() const { return absl::StrCat("127.0.0.1:", port_); }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

TEST_CASE("help shows examples and exit codes") {
  const Call help({"--help"});
  CHECK(help.code == kOk);
  CHECK(help.Prints("Examples:"));
  CHECK(help.Prints("3  conflict"));
  CHECK(Call({"table", "set", "--help"}).Prints("max_replicas: Replicas over all zones"));
}

TEST_CASE("wrong arguments are a usage error") {
  CHECK(Call({}).code == kUsage);
  CHECK(Call({"dance"}).code == kUsage);
  CHECK(Call({"table", "get"}).code == kUsage);
  CHECK(Call({"--output", "xml", "table", "list", "--platform", "127.0.0.1:1"}).code == kUsage);
  CHECK(Call({"drain", "zone", "z1", "--node", "127.0.0.1:1"}).code == kUsage);
  CHECK(Call({"table", "list", "--platform", ""}).code == kUsage);
}

TEST_CASE("a platform or node that does not listen is reported as unreachable") {
  CHECK(Call({"table", "list", "--platform", "127.0.0.1:1", "--attempts", "1"}).code ==
        kUnreachable);
  CHECK(Call({"status", "--node", "127.0.0.1:1"}).code == kUnreachable);
}

TEST_CASE("status, explain and drain call the node") {
  const FakeNode node;
  const TemporaryFile key(".key", "the-operators-key\n");
  const Call status({"status", "--node", node.address(), "--operator-key-file", key.path()});
  CHECK(status.code == kOk);
  CHECK(status.Prints("node: n1"));
  CHECK(status.Prints("running  worker\n2        w1\n"));
  CHECK(Call({"status", "--node", node.address()}).code == kFailure);

  const Call explain({"explain", "rules & co", "--node", node.address()});
  CHECK(explain.Prints("row rules & co"));

  const Call drain({"drain", "worker", "w1", "--node", node.address(), "--output", "json"});
  CHECK(drain.code == kOk);
  CHECK(drain.Prints("\"worker\": \"w1\""));
}

TEST_CASE("check-settings prints findings with their positions, or that there are none") {
  const TemporaryFile file(".toml",
                           "[node]\nzones = [\"z1\"]\n[platform]\naddress = \"127.0.0.1:1\"\n");
  const Call found({"check-settings", file.path()});
  CHECK(found.code == kUsage);
  CHECK(found.err.find("node.name") != std::string::npos);
  const Call clean(
      {"check-settings", file.path(), "--set", "node.name=n1", "--set", "node.zone=z1"});
  CHECK(clean.code == kOk);
  CHECK(Call({"check-settings", "--describe"}).Prints("| `membership.probe_interval_ms` |"));
}

TEST_CASE("the completion script covers every command and flag") {
  const Call completion({"completion", "bash"});
  CHECK(completion.code == kOk);
  CHECK(completion.Prints("'table import') words='--help --base --allow-delete --dry-run'"));
  CHECK(completion.Prints("'completion bash'"));
}

}  // namespace
}  // namespace hingespan
