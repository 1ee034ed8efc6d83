#pragma once

#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership {

/// \returns this process and the present members of a domain, ordered by name. Suspects are
/// included: they may still be alive. Members of a domain that is cut off are left out.
[[nodiscard]] std::vector<member_record> live_members(const gossip_state& state,
                                                      const domain_id& domain, time_point now);

/// \returns the live members that take new work: neither leaving nor suspected
[[nodiscard]] std::vector<member_record> working_members(const gossip_state& state,
                                                         const domain_id& domain, time_point now);

/// \returns the foreign failure domains that were ever seen
[[nodiscard]] std::vector<domain_id> known_domains(const gossip_state& state);

/// \returns whether a foreign domain has not been reached for domain_cut_limit
[[nodiscard]] bool is_cut_off(const gossip_state& state, const domain_id& domain, time_point now);

/// \returns the value of that kind and key, or null
[[nodiscard]] const payload_row* find_payload(const gossip_state& state, payload_kind kind,
                                              const std::string& key);

/// \returns all values of that kind
[[nodiscard]] std::vector<payload_row> payloads_of(const gossip_state& state, payload_kind kind);

/// \brief Leaving is sticky for an incarnation: it ends only with a later one.
/// \returns whether that incarnation of a backend server was announced as leaving
[[nodiscard]] bool is_leaving_backend(const gossip_state& state, const backend_id& backend,
                                      incarnation started);

} // namespace cicadahatch::membership
