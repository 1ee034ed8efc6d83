#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/settings/field_error.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::settings {

/// \brief Whether a service's backend servers are model engines or plain servers.
enum class service_kind : std::uint8_t { model, plain };

/// \brief Targets and share of one rank of a service's work.
struct rank_rule {
    std::chrono::milliseconds first_token{0};    ///< target of the time to the first token
    std::chrono::milliseconds between_tokens{0}; ///< target of the time between tokens
    std::chrono::milliseconds deadline{0};       ///< plain services: longest time to the answer
    double share = 1.0;                          ///< weight among services of the same rank
    double floor = 0.0;      ///< part of the capacity kept for this rank in a flood of the other
    double objective = 0.95; ///< part of the requests that must meet the targets
};

/// \brief Which requests of a service may run at most once.
struct at_most_once_rule {
    std::vector<std::string> methods; ///< HTTP methods it covers; empty: none
    std::vector<std::string> paths;   ///< path prefixes below the service it covers; empty: all
    bool is_key_required = true;      ///< refuse a covered request without an Idempotency-Key
    std::chrono::seconds kept{86400}; ///< how long a claim and its outcome are kept
};

/// \brief One backend server of a service.
struct backend_server {
    backend_id id;
    std::string address; ///< "host:port"
    backend_role role = backend_role::plain;
    domain_id domain;
};

/// \brief A service as its operators describe it in a service file.
struct service {
    service_id name;
    team_id team;
    service_kind kind = service_kind::model;
    model_id model;      ///< model services only
    std::string adapter; ///< optional
    std::string version; ///< version of model or adapter that the engines should hold
    rank_rule urgent;
    rank_rule deferrable;
    rank default_rank = rank::deferrable;
    std::string rank_header; ///< header from which an allowed caller's rank is taken; empty: none
    std::vector<std::string> urgent_callers; ///< caller tokens that may ask for the urgent rank
    at_most_once_rule at_most_once;
    bool checks_fencing = true;      ///< whether its backend servers refuse old fencing numbers
    bool allows_role_change = false; ///< whether load may move its engines between the pools
    std::uint32_t max_prompt_tokens = 65536;
    std::uint32_t max_output_tokens = 4096;
    std::vector<backend_server> backends;
};

/// \brief Parses and checks a service file.
/// \param source name used in the faults
[[nodiscard]] parsed<service> parse_service(std::string_view text, std::string_view source);

/// \returns the canonical JSON of a service, which parse_service() reads back
[[nodiscard]] std::string render_service(const service& described);

} // namespace cicadahatch::settings
