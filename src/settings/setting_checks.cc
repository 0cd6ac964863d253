#include "hingespan/settings/setting_checks.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "hingespan/settings/setting_descriptor.h"

namespace hingespan {
namespace {

// Minimum number of consecutive reports that a worker must miss before it gets no new work.
constexpr int kMinMissedReports = 2;

class Checker {
 public:
  Checker(const NodeSettings& settings, const SettingPlaces& places, const std::string& file,
          Findings* findings)
      : settings_(settings), places_(places), file_(file), findings_(findings) {}

  void CheckAll() {
    CheckRequired();
    CheckZones();
    CheckTls();
    CheckFilesExist();
    CheckExposure();
    CheckMembership();
    CheckRecords();
    CheckClaims();
    CheckPlacement();
    CheckDirectory();
  }

 private:
  // Duration with its key.
  struct TimedKey {
    std::string_view key;
    absl::Duration value;
  };

  bool IsGiven(std::string_view key) const { return places_.contains(std::string(key)); }

  void Add(std::string_view key, std::string problem, std::string allowed) {
    const auto found = places_.find(std::string(key));
    const Place place = found != places_.end() ? found->second : Place{file_, 0, 0};
    findings_->push_back({place, std::string(key), std::move(problem), std::move(allowed)});
  }

  void Require(std::string_view key, bool present) {
    // A value that was given but rejected is already reported.
    if (!present && !IsGiven(key)) {
      const SettingDescriptor* setting = FindSetting(key);
      Add(key, "is required", setting != nullptr ? SettingType(*setting) : "");
    }
  }

  void RequireLonger(const TimedKey& longer, const TimedKey& shorter) {
    if (longer.value <= shorter.value) {
      Add(longer.key, absl::StrCat("is not longer than ", std::string(shorter.key)),
          absl::StrCat("more than ", absl::ToInt64Milliseconds(shorter.value)));
    }
  }

  void RequireAtLeast(const TimedKey& longer, const TimedKey& shorter) {
    if (longer.value < shorter.value) {
      Add(longer.key, absl::StrCat("is shorter than ", std::string(shorter.key)),
          absl::StrCat("at least ", absl::ToInt64Milliseconds(shorter.value)));
    }
  }

  void CheckRequired() {
    Require("node.name", !settings_.core.node.empty());
    Require("node.zone", !settings_.core.zone.empty());
    Require("node.zones", !settings_.core.zones.empty());
    Require("platform.address", !settings_.platform_address.empty());
  }

  void CheckZones() {
    const std::vector<ZoneId>& zones = settings_.core.zones;
    const std::set<ZoneId> distinct(zones.begin(), zones.end());
    if (distinct.size() != zones.size()) {
      Add("node.zones", "names a zone twice", "each zone once");
    }
    if (!zones.empty() && !settings_.core.zone.empty() && !distinct.contains(settings_.core.zone)) {
      Add("node.zone", absl::StrCat("\"", settings_.core.zone.value(), "\" is not in node.zones"),
          "one of node.zones");
    }
  }

  void CheckTls() {
    const TlsSettings& tls = settings_.http.tls;
    if (tls.certificate_file.empty() != tls.key_file.empty()) {
      const bool no_key = tls.key_file.empty();
      Add(no_key ? "http.tls.key_file" : "http.tls.certificate_file",
          "is missing, but its counterpart is given", "both or neither");
    }
    CheckTlsIsOn("http.tls.client_ca_file", tls.client_ca_file);
    CheckTlsIsOn("http.tls.node_ca_file", tls.node_ca_file);
  }

  void CheckTlsIsOn(std::string_view key, const std::string& file) {
    if (!file.empty() && !settings_.http.tls.enabled()) {
      Add(key, "has no effect without http.tls.certificate_file", "a certificate and its key too");
    }
  }

  void CheckFileExists(std::string_view key, const std::string& file) {
    if (!file.empty() && !std::ifstream(file)) {
      Add(key, absl::StrCat("can't open \"", file, "\""), "a readable file");
    }
  }

  void CheckFilesExist() {
    const TlsSettings& tls = settings_.http.tls;
    CheckFileExists("http.tls.certificate_file", tls.certificate_file);
    CheckFileExists("http.tls.key_file", tls.key_file);
    CheckFileExists("http.tls.client_ca_file", tls.client_ca_file);
    CheckFileExists("http.tls.node_ca_file", tls.node_ca_file);
  }

  void CheckExposure() {
    if (settings_.allow_insecure) {
      return;
    }
    if (!settings_.http.tls.enabled() && !IsLoopback(settings_.http.listen)) {
      Add("http.listen", "is not loopback, and there is no TLS",
          "loopback, [http.tls], or node.allow_insecure = true");
    }
    if (settings_.secret_files.cluster_key_file.empty() && !IsLoopback(settings_.control_listen)) {
      Add("control.listen", "is not loopback, and there is no cluster key",
          "loopback, secrets.cluster_key_file, or node.allow_insecure = true");
    }
  }

  void CheckMembership() {
    const MembershipOptions& membership = settings_.core.membership;
    const TimedKey timeout = {"membership.probe_timeout_ms", membership.probe_timeout};
    const TimedKey suspicion = {"membership.suspicion_timeout_ms", membership.suspicion_timeout};
    RequireLonger({"membership.probe_interval_ms", membership.probe_interval}, timeout);
    RequireLonger(suspicion, timeout);
    RequireLonger({"membership.forget_after_ms", membership.forget_after}, suspicion);
  }

  void CheckRecords() {
    RequireLonger({"records.answer_timeout_ms", settings_.core.record_sync.answer_timeout},
                  {"platform.timeout_ms", settings_.platform_timeout});
  }

  void CheckClaims() {
    const ClaimOptions& claim = settings_.core.claim;
    const TimedKey interval = {"claims.interval_ms", claim.interval};
    RequireAtLeast({"claims.ahead_ms", claim.ahead}, interval);
    RequireAtLeast({"claims.remember_ms", claim.remember}, interval);
  }

  void CheckPlacement() {
    const KeeperOptions& keeper = settings_.core.keeper;
    RequireLonger({"keeper.call_timeout_ms", keeper.call_timeout},
                  {"engine.timeout_ms", settings_.engine_timeout});
    RequireAtLeast({"keeper.status_interval_ms", keeper.status_interval},
                   {"keeper.busy_status_interval_ms", keeper.busy_status_interval});
    RequireAtLeast({"keep_warm.longest_idle_ms", keeper.keep_warm.longest_idle},
                   {"keep_warm.shortest_idle_ms", keeper.keep_warm.shortest_idle});
    RequireLonger({"permits.request_timeout_ms", settings_.core.permits.request_timeout},
                  {"keeper.permit_retry_ms", keeper.permit_retry});
    CheckPermits();
    RequireLonger({"placer.load_give_up_ms", settings_.core.placer.load_give_up},
                  {"placer.load_retry_ms", settings_.core.placer.load_retry});
    RequireLonger({"placer.waiter_timeout_ms", settings_.core.placer.waiter_timeout},
                  {"router.wake_interval_ms", settings_.core.router.wake_interval});
  }

  void CheckPermits() {
    const PermitOptions& permits = settings_.core.permits;
    const KeeperOptions& keeper = settings_.core.keeper;
    RequireLonger({"permits.permit_timeout_ms", permits.permit_timeout},
                  {"keeper.permit_use_within_ms", keeper.permit_use_within});
    RequireLonger({"keeper.permit_use_within_ms", keeper.permit_use_within},
                  {"keeper.permit_retry_ms", keeper.permit_retry});
    RequireLonger({"permits.request_timeout_ms", permits.request_timeout},
                  {"permits.renew_interval_ms", permits.renew_interval});
    RequireLonger({"permits.lease_ms", permits.lease},
                  {"permits.renew_interval_ms", permits.renew_interval});
    if (permits.concurrency < settings_.core.zones.size()) {
      Add("permits.concurrency", "leaves a zone without a part",
          "at least the number of node.zones");
    }
  }

  void CheckDirectory() {
    const DirectoryOptions& directory = settings_.core.directory;
    const absl::Duration heartbeats = kMinMissedReports * settings_.core.keeper.heartbeat_interval;
    const TimedKey timeout = {"directory.report_timeout_ms", directory.report_timeout};
    if (timeout.value < heartbeats) {
      Add(timeout.key, "would take workers off that report in time",
          absl::StrCat("at least twice keeper.heartbeat_interval_ms, ",
                       absl::ToInt64Milliseconds(heartbeats)));
    }
    RequireLonger({"directory.forget_after_ms", directory.forget_after}, timeout);
  }

  const NodeSettings& settings_;
  const SettingPlaces& places_;
  const std::string& file_;
  Findings* const findings_;
};

}  // namespace

void CheckSettings(const NodeSettings& settings, const SettingPlaces& places,
                   const std::string& file, Findings* findings) {
  Checker(settings, places, file, findings).CheckAll();
}

}  // namespace hingespan
