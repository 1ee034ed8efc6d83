#include "src/balancing/kv_reservation.hpp"

namespace cicadahatch::balancing {

std::uint32_t kv_reservation_tokens(const stream_size& size) {
    return size.prompt + size.max_output;
}

} // namespace cicadahatch::balancing
