#include "src/http/idle_connection.hpp"

#include <cerrno>
#include <sys/socket.h>

namespace cicadahatch::http {

bool is_idle_alive(int descriptor) noexcept {
    char byte = 0;
    const ssize_t received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace cicadahatch::http
