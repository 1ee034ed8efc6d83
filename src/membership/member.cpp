#include "src/membership/member.hpp"

#include <tuple>

namespace cicadahatch::membership {

bool is_newer(const member_record& left, const member_record& right) noexcept {
    return std::tuple{left.started, left.heartbeat, left.status} >
           std::tuple{right.started, right.heartbeat, right.status};
}

} // namespace cicadahatch::membership
