#include "src/membership/payload_table.hpp"

namespace cicadahatch::membership {

payload_id make_payload_id(payload_kind kind, const std::string& key) {
    return payload_id{std::to_string(static_cast<int>(kind)) + ":" + key};
}

} // namespace cicadahatch::membership
