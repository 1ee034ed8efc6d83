#pragma once

#include "src/core/clock.hpp"
#include "src/core/table.hpp"
#include "src/rpc/messages.hpp"

#include <string>

namespace cicadahatch::membership {

using rpc::payload;
using rpc::payload_kind;

using payload_id = name_id<struct payload_tag>;

/// \brief A spread value as this process holds it.
struct payload_row {
    payload_id id;
    payload held;
    time_point learnt_at;
};

/// \returns the identifier of the value of that kind and key
[[nodiscard]] payload_id make_payload_id(payload_kind kind, const std::string& key);

/// \returns whether values of that kind are replaced so often that a lost one is not repaired
[[nodiscard]] constexpr bool is_volatile(payload_kind kind) noexcept {
    return kind == payload_kind::cell_digest || kind == payload_kind::domain_digest;
}

/// \returns whether values of that kind cross failure domains
[[nodiscard]] constexpr bool is_wide(payload_kind kind) noexcept {
    return kind != payload_kind::cell_digest;
}

} // namespace cicadahatch::membership
