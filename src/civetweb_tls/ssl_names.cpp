#include <openssl/ssl.h>

/// \file
/// \brief A function that Debian 12's CivetWeb looks up by name in libssl.so, and that OpenSSL 3
/// has as a macro only. Without it the first TLS connection calls a null pointer.

#undef SSL_get_peer_certificate

// NOLINTNEXTLINE(readability-identifier-naming): OpenSSL's name
extern "C" X509* SSL_get_peer_certificate(const SSL* connection) {
    return SSL_get1_peer_certificate(connection);
}
