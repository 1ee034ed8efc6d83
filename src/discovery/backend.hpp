#pragma once

#include "src/core/identifiers.hpp"
#include "src/http/endpoint.hpp"

#include <cstdint>

namespace cicadahatch::discovery {

/// \brief The registration of a backend server.
struct backend {
    backend_id id;
    service_id service;
    http::endpoint address;
    domain_id domain;
    backend_role role = backend_role::plain;
    std::uint32_t slots = 0; ///< maximum number of concurrent requests
    bool is_draining = false;
    incarnation started; ///< changes when a process restarts under the same id

    friend bool operator==(const backend&, const backend&) = default;
};

} // namespace cicadahatch::discovery
