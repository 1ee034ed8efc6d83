#pragma once

#include "src/core/identifiers.hpp"
#include "src/core/result.hpp"
#include "src/http/client_pool.hpp"
#include "src/http/endpoint.hpp"
#include "src/store/constants.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::store {

enum class vm_state : std::uint8_t { live, leaving };

/// \brief One VM as the platform lists it. The list lags behind what is true.
struct virtual_machine {
    std::string id;
    std::string address; ///< "host:port", or a numeric address alone
    domain_id domain;
    vm_state state = vm_state::live;
};

using vm_list = std::vector<virtual_machine>;

/// \returns the list, or errc::protocol if any VM can't be understood
[[nodiscard]] result<vm_list> parse_vm_list(std::string_view body);

/// \brief Reads the platform's list of VMs. Safe for use by threads.
class vm_list_client {
public:
    /// \param endpoints tried in turn; at least one
    explicit vm_list_client(std::vector<http::endpoint> endpoints,
                            std::chrono::milliseconds timeout = default_call_timeout);

    /// \returns the list, errc::unavailable or errc::protocol
    [[nodiscard]] result<vm_list> fetch();

private:
    std::vector<http::endpoint> endpoints_;
    std::chrono::milliseconds timeout_;
    http::client_pool pool_;
};

} // namespace cicadahatch::store
