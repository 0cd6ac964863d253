// Certificates for tests, generated at run time in a temporary directory that is removed
// afterwards.
#ifndef HINGESPAN_TESTS_NET_TEST_CERTIFICATES_H_
#define HINGESPAN_TESTS_NET_TEST_CERTIFICATES_H_

#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

namespace hingespan {

// Self-signed certificate for 127.0.0.1, which is its own authority.
class TestCertificate {
 public:
  TestCertificate() {
    std::string pattern = (std::filesystem::temp_directory_path() / "hingespan-XXXXXX").string();
    directory_ = mkdtemp(pattern.data());
    EVP_PKEY* const key = EVP_RSA_gen(2048);
    X509* const certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    X509_NAME* const name = X509_get_subject_name(certificate);
    const auto* const common_name = reinterpret_cast<const unsigned char*>("127.0.0.1");
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, common_name, -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    AddExtension(certificate, NID_subject_alt_name, "IP:127.0.0.1");
    AddExtension(certificate, NID_basic_constraints, "CA:TRUE");
    X509_sign(certificate, key, EVP_sha256());
    WriteKey(key);
    WriteCertificate(certificate);
    X509_free(certificate);
    EVP_PKEY_free(key);
  }
  ~TestCertificate() { std::filesystem::remove_all(directory_); }
  TestCertificate(const TestCertificate&) = delete;
  TestCertificate& operator=(const TestCertificate&) = delete;

  std::string certificate_file() const { return directory_ + "/certificate.pem"; }
  std::string key_file() const { return directory_ + "/key.pem"; }

 private:
  static void AddExtension(X509* certificate, int kind, const char* value) {
    X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
  }

  void WriteKey(EVP_PKEY* key) const {
    std::FILE* const file = std::fopen(key_file().c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
  }

  void WriteCertificate(X509* certificate) const {
    std::FILE* const file = std::fopen(certificate_file().c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
  }

  std::string directory_;
};

}  // namespace hingespan

#endif  // HINGESPAN_TESTS_NET_TEST_CERTIFICATES_H_
