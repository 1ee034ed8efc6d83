#include "src/store/resuming_watch.hpp"

#include "src/store/error.hpp"

#include <algorithm>

namespace cicadahatch::store {

result<watch_update> resuming_watch::list() {
    auto listed = kept_.list(prefix_);
    if (!listed) {
        return tl::unexpected(listed.error());
    }
    next_ = revision{listed->at.value() + 1};
    return watch_update{true, std::move(listed->entries), {}};
}

revision resuming_watch::position() const {
    return next_.empty() ? revision{} : revision{next_.value() - 1};
}

void resuming_watch::skip_through(revision seen) {
    next_ = std::max(next_, revision{seen.value() + 1});
}

result<watch_update> resuming_watch::poll(std::chrono::milliseconds wait) {
    if (next_.empty()) {
        return list();
    }
    auto batch = kept_.watch(prefix_, next_, wait);
    if (!batch && batch.error() == errc::compacted) {
        return list();
    }
    if (!batch) {
        return tl::unexpected(batch.error());
    }
    next_ = batch->next;
    return watch_update{false, {}, std::move(batch->changes)};
}

} // namespace cicadahatch::store
