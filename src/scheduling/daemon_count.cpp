#include "src/scheduling/daemon_count.hpp"

#include <algorithm>

namespace cicadahatch::scheduling {

void record_daemons(daemon_count& count, std::size_t registered, time_point now) {
    count.registered = registered;
    if (registered >= count.value) {
        count.value = std::max<std::size_t>(1, registered);
        count.smaller_from = {};
    } else if (count.smaller_from == time_point{}) {
        count.smaller_from = now + daemon_loss_delay;
    }
}

bool update_daemon_count(daemon_count& count, time_point now) {
    if (count.smaller_from == time_point{} || now < count.smaller_from) {
        return false;
    }
    count.smaller_from = {};
    const std::size_t before = count.value;
    count.value = std::max<std::size_t>(1, count.registered);
    return count.value != before;
}

} // namespace cicadahatch::scheduling
