#include <openssl/ssl.h>

// OpenSSL 3 renamed this function; its header keeps the former name as a macro only.
#undef SSL_get_peer_certificate

// NOLINTNEXTLINE(readability-identifier-naming): the name that CivetWeb asks for.
extern "C" X509* SSL_get_peer_certificate(const SSL* connection) {
    return SSL_get1_peer_certificate(connection);
}
