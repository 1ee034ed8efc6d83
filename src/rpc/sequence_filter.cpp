#include "src/rpc/sequence_filter.hpp"

#include "src/rpc/constants.hpp"

#include <algorithm>

namespace cicadahatch::rpc {

bool sequence_filter::admits(const daemon_id& sender, incarnation started) {
    const std::lock_guard lock{mutex_};
    const auto found = senders_.find(sender);
    return found == senders_.end() || started >= found->second.started;
}

bool sequence_filter::take(const daemon_id& sender, incarnation started, std::uint64_t sequence) {
    const std::lock_guard lock{mutex_};
    const auto [entry, is_new] = senders_.try_emplace(sender);
    last_seen& last = entry->second;
    if (!is_new && started < last.started) {
        return false;
    }
    if (started > last.started) {
        last = {started, 0, 0};
    }
    last.use = ++uses_;
    const bool is_first = sequence > last.sequence;
    last.sequence = std::max(last.sequence, sequence);
    if (senders_.size() > max_remembered_senders) {
        forget_oldest();
    }
    return is_first;
}

std::size_t sequence_filter::size() const {
    const std::lock_guard lock{mutex_};
    return senders_.size();
}

void sequence_filter::forget_oldest() {
    const auto oldest =
        std::min_element(senders_.begin(), senders_.end(), [](const auto& left, const auto& right) {
            return left.second.use < right.second.use;
        });
    senders_.erase(oldest);
}

} // namespace cicadahatch::rpc
