#include "test/support/reserved_port.hpp"

#include "test/support/require.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace cicadahatch::test_support {

std::uint16_t reserve_port() {
    // Not closed: the reservation lasts until the process ends.
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    require(setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) == 0,
            "address_is_reusable");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface asks for it
    require(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0, "port_is_bound");
    require(getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0,
            "port_is_known");
    // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
    return ntohs(address.sin_port);
}

} // namespace cicadahatch::test_support
