#include "hingespan/settings/node_settings.h"

#include <doctest/doctest.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

#include "hingespan/settings/setting_descriptor.h"

namespace hingespan {
namespace {

// File in the system's temporary directory that is removed at the end.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    path_ = std::filesystem::temp_directory_path() / "hingespan-test-XXXXXX";
    const int descriptor = ::mkstemp(path_.data());
    REQUIRE(descriptor >= 0);
    ::close(descriptor);
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { ::unlink(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

constexpr char kValid[] = R"(
[node]
name = "n1"
zone = "z2"
zones = ["z2", "z1"]
[platform]
address = "127.0.0.1:8080"
)";

LoadedNodeSettings Load(const std::string& text,
                        const std::vector<SettingOverride>& overrides = {}) {
  const TemporaryFile file(text);
  return LoadNodeSettings(file.path(), overrides);
}

const Finding* Find(const Findings& findings, const std::string& key) {
  const auto found = std::find_if(findings.begin(), findings.end(),
                                  [&key](const Finding& finding) { return finding.key == key; });
  return found != findings.end() ? &*found : nullptr;
}

// Returns the keys with findings after these flags are applied to valid settings.
std::set<std::string> FindingsOf(const std::vector<SettingOverride>& overrides) {
  std::set<std::string> keys;
  for (const Finding& finding : Load(kValid, overrides).findings) {
    keys.insert(finding.key);
  }
  return keys;
}

using Keys = std::set<std::string>;

TEST_CASE("a small file is enough; zones are sorted, other settings keep their defaults") {
  const LoadedNodeSettings loaded = Load(kValid);
  CHECK(FormatFindings(loaded.findings) == "");
  CHECK(loaded.settings.core.node == NodeId("n1"));
  CHECK(loaded.settings.core.zones == std::vector<ZoneId>{ZoneId("z1"), ZoneId("z2")});
  CHECK(loaded.settings.platform_address == "127.0.0.1:8080");
  CHECK(loaded.settings.core.membership.probe_interval == MembershipOptions().probe_interval);
}

TEST_CASE("values of every type are stored in their fields") {
  const LoadedNodeSettings loaded = Load(std::string(kValid) + R"(
[membership]
probe_interval_ms = 700
[keep_warm]
mode = "fixed_timeout"
idle_cost_per_gib_second = 2
[keeper]
use_permits = true
[keeper.estimator]
smoothing = 0.5
[control]
seeds = ["10.0.0.1:7000", "[::1]:7001"]
[log]
level = "debug"
format = "text"
[test_only]
disable_ledger = true
)");
  CHECK(FormatFindings(loaded.findings) == "");
  const CoreOptions& core = loaded.settings.core;
  CHECK(core.membership.probe_interval == absl::Milliseconds(700));
  CHECK(core.keeper.keep_warm.mode == KeepWarmMode::kFixedTimeout);
  CHECK(core.keeper.keep_warm.idle_cost_per_gib_second == 2.0);
  CHECK(core.keeper.use_permits);
  CHECK(core.keeper.estimator.smoothing == 0.5);
  CHECK(core.seeds.size() == 2);
  CHECK(loaded.settings.log.level == LogLevel::kDebug);
  CHECK(loaded.settings.log.format == LogFormat::kText);
  CHECK(core.keeper.disable_ledger_for_test);
}

TEST_CASE("all findings are reported together, each with its place and the allowed values") {
  const LoadedNodeSettings loaded = Load(R"([node]
name = "not a name"
zone = 5
zones = ["z1", "z1"]
[http]
  maximum_connections = 0
  colour = "red"
[extra]
one = 1
two = 2
[membership]
probe_timeout_ms = "fast"
)");
  const Findings& findings = loaded.findings;
  const Finding* connections = Find(findings, "http.maximum_connections");
  REQUIRE(connections != nullptr);
  CHECK(connections->place.line == 6);
  CHECK(connections->place.column == 3);
  CHECK(connections->allowed == "integer 1..65536");
  CHECK(Find(findings, "node.name") != nullptr);
  CHECK(Find(findings, "node.zone") != nullptr);
  CHECK(Find(findings, "node.zones")->problem == "names a zone twice");
  CHECK(Find(findings, "http.colour")->problem == "unknown key");
  CHECK(Find(findings, "extra")->problem == "unknown section");
  CHECK(Find(findings, "membership.probe_timeout_ms") != nullptr);
  CHECK(Find(findings, "platform.address")->problem == "is required");
  CHECK(findings.size() == 8);
}

TEST_CASE("invalid TOML is one finding with its place") {
  const LoadedNodeSettings loaded = Load("[node]\nname = \n");
  const Finding* finding = Find(loaded.findings, "syntax");
  REQUIRE(finding != nullptr);
  CHECK(finding->place.line == 2);
}

TEST_CASE("a missing file is a finding") {
  CHECK(Find(LoadNodeSettings("no-such-file.toml", {}).findings, "file") != nullptr);
}

TEST_CASE("flags override the file, for every kind of value") {
  const LoadedNodeSettings loaded = Load(kValid, {{"node.name", "n2"},
                                                  {"node.zones", "z1, z2,z3"},
                                                  {"membership.probe_interval_ms", "800"},
                                                  {"router.hopeless_margin", "1.5"},
                                                  {"keeper.use_permits", "true"},
                                                  {"log.level", "error"}});
  CHECK(FormatFindings(loaded.findings) == "");
  CHECK(loaded.settings.core.node == NodeId("n2"));
  CHECK(loaded.settings.core.zones.size() == 3);
  CHECK(loaded.settings.core.membership.probe_interval == absl::Milliseconds(800));
  CHECK(loaded.settings.core.router.hopeless_margin == 1.5);
  CHECK(loaded.settings.core.keeper.use_permits);
}

TEST_CASE("flags are checked like values in the file") {
  CHECK(FindingsOf({{"no.such", "1"}, {"log.level", "loud"}, {"http.listen", "localhost:1"}}) ==
        Keys{"no.such", "log.level", "http.listen"});
  CHECK(FindingsOf({{"membership.probe_interval_ms", "1s"}, {"keeper.use_permits", "yes"}}) ==
        Keys{"membership.probe_interval_ms", "keeper.use_permits"});
}

TEST_CASE("flags without a file are enough") {
  const LoadedNodeSettings loaded = LoadNodeSettings("", {{"node.name", "n1"},
                                                          {"node.zone", "z1"},
                                                          {"node.zones", "z1"},
                                                          {"platform.address", "127.0.0.1:1"}});
  CHECK(FormatFindings(loaded.findings) == "");
}

TEST_CASE("conflicting values are findings") {
  CHECK(FindingsOf({{"node.zone", "z9"}}) == Keys{"node.zone"});
  CHECK(FindingsOf({{"membership.suspicion_timeout_ms", "300"}}) ==
        Keys{"membership.suspicion_timeout_ms"});
  CHECK(FindingsOf({{"membership.probe_timeout_ms", "1000"}}) ==
        Keys{"membership.probe_interval_ms"});
  CHECK(FindingsOf({{"records.answer_timeout_ms", "2000"}}) == Keys{"records.answer_timeout_ms"});
  CHECK(FindingsOf({{"keeper.permit_retry_ms", "3000"}}) == Keys{"permits.request_timeout_ms"});
  CHECK(FindingsOf({{"permits.permit_timeout_ms", "5000"}}) == Keys{"permits.permit_timeout_ms"});
  CHECK(FindingsOf({{"keeper.permit_use_within_ms", "300"}}) ==
        Keys{"keeper.permit_use_within_ms"});
  CHECK(FindingsOf({{"permits.renew_interval_ms", "3000"}}) == Keys{"permits.request_timeout_ms"});
  CHECK(FindingsOf({{"permits.lease_ms", "300"}}) == Keys{"permits.lease_ms"});
  CHECK(FindingsOf({{"permits.concurrency", "1"}}) == Keys{"permits.concurrency"});
  CHECK(FindingsOf({{"placer.load_retry_ms", "3000"}}) == Keys{"placer.load_give_up_ms"});
  CHECK(FindingsOf({{"router.wake_interval_ms", "2000"}}) == Keys{"placer.waiter_timeout_ms"});
  CHECK(FindingsOf({{"claims.ahead_ms", "9999"}}) == Keys{"claims.ahead_ms"});
  CHECK(FindingsOf({{"engine.timeout_ms", "10000"}}) == Keys{"keeper.call_timeout_ms"});
  CHECK(FindingsOf({{"keep_warm.shortest_idle_ms", "3600001"}}) ==
        Keys{"keep_warm.longest_idle_ms"});
  CHECK(FindingsOf({{"directory.report_timeout_ms", "7999"}}) ==
        Keys{"directory.report_timeout_ms"});
}

TEST_CASE("a TLS certificate and key must both be given and readable") {
  CHECK(FindingsOf({{"http.tls.certificate_file", "absent.pem"}}) ==
        Keys{"http.tls.certificate_file", "http.tls.key_file"});
  CHECK(FindingsOf({{"http.tls.client_ca_file", "absent.pem"}}) == Keys{"http.tls.client_ca_file"});
  CHECK(FindingsOf({{"http.tls.node_ca_file", "absent.pem"}}) == Keys{"http.tls.node_ca_file"});
}

TEST_CASE("addresses other than loopback need TLS and a cluster key, or node.allow_insecure") {
  const std::vector<SettingOverride> exposed = {{"http.listen", "0.0.0.0:80"},
                                                {"control.listen", "[::]:81"}};
  CHECK(FindingsOf(exposed) == Keys{"http.listen", "control.listen"});
  std::vector<SettingOverride> allowed = exposed;
  allowed.push_back({"node.allow_insecure", "true"});
  CHECK(FindingsOf(allowed).empty());
}

TEST_CASE("secrets are read from their files and never appear in a finding") {
  const TemporaryFile secret("  a-secret-of-some-length\n");
  const LoadedNodeSettings loaded = Load(kValid, {{"secrets.cluster_key_file", secret.path()}});
  CHECK(FormatFindings(loaded.findings) == "");
  CHECK(loaded.settings.cluster_key == "a-secret-of-some-length");

  const TemporaryFile weak("weak-secret");
  const Findings findings = Load(kValid, {{"secrets.caller_key_file", weak.path()},
                                          {"secrets.operator_key_file", "absent"}})
                                .findings;
  CHECK(findings.size() == 2);
  CHECK(FormatFindings(findings).find("weak-secret") == std::string::npos);
}

TEST_CASE("every setting is described once, and its default is allowed") {
  NodeSettings settings;
  std::set<std::string> keys;
  for (const SettingDescriptor& setting : AllSettings()) {
    const std::string key(setting.key);
    CAPTURE(key);
    CHECK(keys.insert(key).second);
    CHECK_FALSE(setting.meaning.empty());
    const bool duration = std::holds_alternative<SettingAccessor<absl::Duration>>(setting.field);
    CHECK(duration == key.ends_with("_ms"));
    const std::string text = PrintSetting(setting, settings);
    if (text != "\"\"" && text.front() != '[') {
      const TomlDocument document = ParseToml("value = " + text, "default");
      REQUIRE(document.entries.size() == 1);
      CHECK(AssignSetting(setting, document.entries[0].value, &settings) == "");
    }
  }
  CHECK(DescribeNodeSettings().size() == keys.size());
}

}  // namespace
}  // namespace hingespan
