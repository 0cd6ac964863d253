// Settings of a node (hingespand), read from a TOML file and from flags that override its keys.
#ifndef HINGESPAN_SETTINGS_NODE_SETTINGS_H_
#define HINGESPAN_SETTINGS_NODE_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hingespan/common/finding.h"
#include "hingespan/node/core_options.h"
#include "hingespan/settings/log_settings.h"

namespace hingespan {

struct TlsSettings {
  // Server certificate and its key, as PEM files; both empty for plain HTTP.
  std::string certificate_file;
  std::string key_file;
  // PEM file of the authority that must have signed the certificates of callers and operators;
  // empty if no client certificate is required.
  std::string client_ca_file;
  // PEM file of the authority that must have signed the certificates of nodes to which requests are
  // forwarded. Empty to use client_ca_file; if both are empty, no certificate is checked.
  std::string node_ca_file;
  bool enabled() const { return !certificate_file.empty(); }
};

struct HttpSettings {
  // Listen address, "ip:port"; port 0 lets the kernel choose a port.
  std::string listen = "127.0.0.1:0";
  // Maximum number of connections served at once, each by its own thread.
  int maximum_connections = 256;
  // Maximum number of excess connections that are answered with 503 in parallel.
  int maximum_refusals = 16;
  std::size_t maximum_body_bytes = 1 << 20;
  // Time within which the whole request must have arrived.
  absl::Duration receive_timeout = absl::Seconds(5);
  absl::Duration keep_alive_timeout = absl::Seconds(2);
  // Time after which a write that the caller doesn't accept ends the connection.
  absl::Duration send_timeout = absl::Seconds(10);
  TlsSettings tls;
};

// Files that contain one secret each; empty for none. White space around a secret is ignored.
struct SecretFiles {
  std::string caller_key_file;
  std::string operator_key_file;
  std::string cluster_key_file;
};

struct NodeSettings {
  // Core options, except addresses and incarnation, which are known only once sockets are bound.
  CoreOptions core;
  HttpSettings http;
  // Listen address for control datagrams, "ip:port".
  std::string control_listen = "127.0.0.1:0";
  // Address of the platform's services, "ip:port".
  std::string platform_address;
  absl::Duration platform_timeout = absl::Seconds(2);
  absl::Duration engine_timeout = absl::Seconds(2);
  // Maximum time that a planned stop waits for requests in flight.
  absl::Duration stop_timeout = absl::Minutes(2);
  SecretFiles secret_files;
  // Secrets, read from the files named in the settings; never logged. Empty if not required.
  std::string caller_key;    // Callers send it as "Authorization: Bearer ...".
  std::string operator_key;  // Operators send it likewise, on /admin paths.
  std::string cluster_key;   // It signs control datagrams and forwarded requests.
  // For tests only: a planned stop doesn't wait for requests in flight.
  bool disable_drain_for_test = false;
  // Allows a node without TLS or without a cluster key to listen on other than loopback addresses.
  bool allow_insecure = false;
  LogSettings log;
};

// Settings with all problems found in them. `settings` must not be used unless `findings` is empty.
struct LoadedNodeSettings {
  NodeSettings settings;
  Findings findings;
};

// A "key=value" flag that overrides the file's value for the key.
struct SettingOverride {
  std::string key;
  std::string value;
};

// Reads and checks the file and the flags; unknown keys are findings. If `file` is empty, only the
// flags are used.
LoadedNodeSettings LoadNodeSettings(const std::string& file,
                                    const std::vector<SettingOverride>& overrides);

// Key with its allowed values, default and meaning, for --help and the operators' page.
struct SettingDescription {
  std::string key;
  std::string type;
  std::string default_value;
  std::string meaning;
};
// Returns the descriptions of all settings.
std::vector<SettingDescription> DescribeNodeSettings();

}  // namespace hingespan

#endif  // HINGESPAN_SETTINGS_NODE_SETTINGS_H_
