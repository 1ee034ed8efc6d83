#include "test/support/certificates.hpp"

#include "test/support/require.hpp"

#include <cstdio>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509v3.h>

namespace cicadahatch::test_support {

namespace {

constexpr long version_3 = 2;
constexpr long an_hour_in_seconds = 3600;
constexpr const char* curve = "P-256";

struct file_closer {
    void operator()(std::FILE* file) const noexcept { static_cast<void>(std::fclose(file)); }
};

void write_pem(const std::string& path, X509* certificate, EVP_PKEY* key) {
    const std::unique_ptr<std::FILE, file_closer> file{std::fopen(path.c_str(), "w")};
    require(file != nullptr, "certificate_file_is_opened");
    require(PEM_write_X509(file.get(), certificate) == 1, "certificate_is_written");
    if (key != nullptr) {
        const int written =
            PEM_write_PrivateKey(file.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
        require(written == 1, "private_key_is_written");
    }
}

void set_name(X509_NAME* name, const std::string& text) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the library asks for it
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.c_str());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, bytes, -1, -1, 0);
}

void set_serial(X509* certificate) {
    long serial = 0;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the library asks for it
    RAND_bytes(reinterpret_cast<unsigned char*>(&serial), sizeof serial / 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
}

void mark_as_authority(X509* certificate) {
    X509_EXTENSION* constraint =
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
    X509_add_ext(certificate, constraint, -1);
    X509_EXTENSION_free(constraint);
}

} // namespace

certificate_authority::certificate_authority(std::string directory, std::string name)
    : directory_(std::move(directory)), name_(std::move(name)),
      file_(directory_ + "/" + name_ + ".ca.pem"), key_(EVP_EC_gen(curve)) {
    write_pem(file_, sign(name_, key_.get(), true).get(), nullptr);
}

std::string certificate_authority::issue(const std::string& subject) const {
    const key_handle key{EVP_EC_gen(curve)};
    std::string path = directory_ + "/" + name_ + "." + subject + ".pem";
    write_pem(path, sign(subject, key.get(), false).get(), key.get());
    return path;
}

certificate_authority::certificate_handle
certificate_authority::sign(const std::string& subject, EVP_PKEY* key, bool is_authority) const {
    certificate_handle made{X509_new()};
    X509_set_version(made.get(), version_3);
    set_serial(made.get());
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -an_hour_in_seconds);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), an_hour_in_seconds);
    X509_set_pubkey(made.get(), key);
    set_name(X509_get_subject_name(made.get()), subject);
    set_name(X509_get_issuer_name(made.get()), name_);
    if (is_authority) {
        mark_as_authority(made.get());
    }
    require(X509_sign(made.get(), key_.get(), EVP_sha256()) != 0, "certificate_is_signed");
    return made;
}

} // namespace cicadahatch::test_support
