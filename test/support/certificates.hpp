#pragma once

#include <memory>
#include <openssl/x509.h>
#include <string>

namespace cicadahatch::test_support {

/// \brief Issues certificates for tests, valid for an hour.
class certificate_authority {
public:
    /// \param directory where the files are written
    certificate_authority(std::string directory, std::string name);

    /// \returns the PEM file of the authority's own certificate
    [[nodiscard]] const std::string& file() const noexcept { return file_; }
    /// \returns a PEM file with a new certificate and its private key
    [[nodiscard]] std::string issue(const std::string& subject) const;

private:
    struct release {
        void operator()(EVP_PKEY* key) const noexcept { EVP_PKEY_free(key); }
        void operator()(X509* certificate) const noexcept { X509_free(certificate); }
    };
    using key_handle = std::unique_ptr<EVP_PKEY, release>;
    using certificate_handle = std::unique_ptr<X509, release>;

    [[nodiscard]] certificate_handle sign(const std::string& subject, EVP_PKEY* key,
                                          bool is_authority) const;

    std::string directory_;
    std::string name_;
    std::string file_;
    key_handle key_;
};

} // namespace cicadahatch::test_support
