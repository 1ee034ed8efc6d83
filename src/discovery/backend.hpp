#pragma once

#include "src/core/identifiers.hpp"
#include "src/http/endpoint.hpp"

#include <cstdint>

namespace cicadahatch::discovery {

/// \brief A backend server as it has registered itself.
struct backend {
    backend_id id;
    service_id service;
    http::endpoint address;
    domain_id domain;
    backend_role role = backend_role::plain;
    std::uint32_t slots = 0; ///< requests that it runs at once
    bool is_draining = false;
    incarnation started; ///< of this process; the same id may start again

    friend bool operator==(const backend&, const backend&) = default;
};

} // namespace cicadahatch::discovery
