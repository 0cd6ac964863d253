// Tests of TLS on the server and between nodes, with and without client certificates.
#include <doctest/doctest.h>
#include <httplib.h>

#include "absl/time/clock.h"
#include "hingespan/common/clock.h"
#include "hingespan/net/http_exchange.h"
#include "hingespan/net/http_server.h"
#include "tests/net/raw_client.h"
#include "tests/net/test_certificates.h"

namespace hingespan {
namespace {

constexpr absl::Duration kLimit = absl::Seconds(20);

HttpServerOptions TlsOptions(const TestCertificate& certificate) {
  HttpServerOptions options;
  options.certificate_file = certificate.certificate_file();
  options.key_file = certificate.key_file();
  return options;
}

HttpExchange Hello(const std::string& address) {
  HttpExchange exchange;
  exchange.address = address;
  exchange.path = "/hello";
  exchange.deadline = SystemClock().Now() + kLimit;
  return exchange;
}

std::string Serve(HttpServer* server) {
  server->routes().Get("/hello", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("hello", "text/plain");
  });
  const std::string address = *server->Bind("127.0.0.1:0");
  server->Start();
  return address;
}

TEST_CASE("nodes communicate over TLS and reuse the connection") {
  const TestCertificate certificate;
  HttpServerOptions options = TlsOptions(certificate);
  options.client_ca_file = certificate.certificate_file();
  HttpServer server(options);
  const std::string address = Serve(&server);
  HttpClientOptions client_options;
  client_options.tls = true;
  client_options.ca_file = certificate.certificate_file();
  client_options.certificate_file = certificate.certificate_file();
  client_options.key_file = certificate.key_file();
  client_options.maximum_idle = kLimit;
  HttpClientPool pool(client_options);
  CHECK(pool.Exchange(Hello(address)).body == "hello");
  CHECK(pool.Exchange(Hello(address)).body == "hello");
  CHECK(pool.connections_made() == 1);
}

TEST_CASE("a client without the required certificate is not served") {
  const TestCertificate certificate;
  HttpServerOptions options = TlsOptions(certificate);
  options.client_ca_file = certificate.certificate_file();
  HttpServer server(options);
  const std::string address = Serve(&server);
  HttpClientOptions client_options;
  client_options.tls = true;
  client_options.ca_file = certificate.certificate_file();
  HttpClientPool pool(client_options);
  CHECK(pool.Exchange(Hello(address)).status == 0);
}

TEST_CASE("a client sends nothing to a server with an unknown certificate") {
  const TestCertificate certificate;
  const TestCertificate other;
  HttpServer server(TlsOptions(certificate));
  const std::string address = Serve(&server);
  HttpClientOptions client_options;
  client_options.tls = true;
  client_options.ca_file = other.certificate_file();
  HttpClientPool pool(client_options);
  CHECK(pool.Exchange(Hello(address)).end == ExchangeEnd::kNotSent);
}

TEST_CASE("a connection without a TLS handshake is closed at the timeout") {
  const TestCertificate certificate;
  HttpServerOptions options = TlsOptions(certificate);
  options.receive_timeout = absl::Milliseconds(200);
  HttpServer server(options);
  RawClient client(Serve(&server));
  CHECK(client.ReadAll().empty());
}

}  // namespace
}  // namespace hingespan
