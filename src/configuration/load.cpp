#include "src/configuration/load.hpp"

#include "src/configuration/constants.hpp"
#include "src/configuration/error.hpp"
#include "src/configuration/internal/layout.hpp"

namespace cicadahatch::configuration {

result<snapshot_ptr> load(store::key_value_store& kept) {
    const auto listed = kept.list(key_prefix);
    if (!listed) {
        return tl::unexpected(listed.error());
    }
    auto found = internal::decode_listing(listed->entries);
    if (!found) {
        return tl::unexpected(found.error());
    }
    if (!found->whole) {
        return failure(errc::not_published);
    }
    return std::move(found->whole);
}

} // namespace cicadahatch::configuration
