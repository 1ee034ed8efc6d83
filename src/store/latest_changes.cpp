#include "src/store/latest_changes.hpp"

#include "src/store/error.hpp"

#include <algorithm>
#include <chrono>

namespace cicadahatch::store {

namespace {

constexpr std::chrono::milliseconds no_wait{0};

bool is_before(const change& left, const change& right) {
    return left.changed.modified < right.changed.modified;
}

} // namespace

result<change_batch> read_latest_changes(key_value_store& kept, const split_keys& keys,
                                         revision from) {
    auto listed = kept.list(keys.large_key);
    if (!listed) {
        return tl::unexpected(listed.error());
    }
    change_batch latest;
    latest.next = revision{listed->at.value() + 1};
    for (entry& row : listed->entries) {
        if (row.key == keys.large_key && row.modified >= from) {
            latest.changes.push_back({std::move(row), false});
        }
    }
    for (const std::string& prefix : keys.prefixes) {
        auto batch = kept.watch(prefix, from, no_wait);
        if (!batch) {
            const bool is_too_large = batch.error() == errc::reply_too_large;
            return tl::unexpected(is_too_large ? make_error_code(errc::compacted) : batch.error());
        }
        for (change& row : batch->changes) {
            // Later changes are read again by the watch that goes on from the listing.
            if (row.changed.modified < latest.next) {
                latest.changes.push_back(std::move(row));
            }
        }
    }
    std::sort(latest.changes.begin(), latest.changes.end(), is_before);
    return latest;
}

} // namespace cicadahatch::store
