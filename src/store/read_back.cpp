#include "src/store/read_back.hpp"

#include "src/store/error.hpp"

namespace cicadahatch::store {

namespace {

bool is_ours(const std::optional<entry>& current, const std::string& value) {
    return current && current->value == value;
}

revision modified_of(const std::optional<entry>& current) {
    return current ? current->modified : revision{};
}

} // namespace

result<swap_outcome> swap_with_read_back(key_value_store& kept, const std::string& key,
                                         revision expected, const std::string& value,
                                         lease_id lease, int reads) {
    auto outcome = kept.swap(key, expected, value, lease);
    for (int read = 0; read < reads && !outcome && outcome.error() == errc::outcome_unknown;
         ++read) {
        const auto current = kept.get(key);
        if (!current) {
            continue;
        }
        if (is_ours(*current, value)) {
            return swap_outcome{true, (*current)->modified, std::nullopt};
        }
        if (modified_of(*current) != expected) {
            return failure(errc::outcome_unknown);
        }
        outcome = kept.swap(key, expected, value, lease);
        if (!outcome && is_surely_not_applied(outcome.error())) {
            // The second was surely not applied; the first may still be.
            return failure(errc::outcome_unknown);
        }
        if (outcome && is_ours(outcome->current, value)) {
            return swap_outcome{true, outcome->current->modified, std::nullopt};
        }
        if (outcome && !outcome->is_swapped) {
            return failure(errc::outcome_unknown);
        }
    }
    return outcome;
}

} // namespace cicadahatch::store
