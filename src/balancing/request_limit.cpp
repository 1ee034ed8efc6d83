#include "src/balancing/request_limit.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::balancing {

namespace {

/// Fraction of the limit that the daemons use. Random offsets let the slots of many daemons
/// cluster.
constexpr double usable_fraction = 0.9;

/// Lowest rate of all daemons together, in requests per second. A server that accepts fewer still
/// gets these, as only a response can show that the limit has ended.
constexpr double min_requests_per_second = 0.1;

using seconds = std::chrono::duration<double>;

seconds slot_length(const request_limit& limit, std::size_t daemons) {
    const double rate =
        std::max(limit.requests_per_second, min_requests_per_second) * usable_fraction;
    return seconds{static_cast<double>(std::max<std::size_t>(1, daemons)) / rate};
}

void advance(request_limit& limit, std::size_t daemons, time_point now) {
    const seconds elapsed = now - limit.position_at;
    limit.position += elapsed / slot_length(limit, daemons);
    limit.position_at = now;
}

/// \returns the first slot that is neither used nor lapsed; it may start in the future
std::int64_t first_usable_slot(const request_limit& limit, std::size_t daemons) {
    const double valid_slots = seconds{slot_validity} / slot_length(limit, daemons);
    const double first_valid = std::ceil(limit.position - valid_slots);
    return std::max(limit.next_slot, static_cast<std::int64_t>(first_valid));
}

} // namespace

request_limit make_request_limit(double requests_per_second, random_source& random,
                                 time_point now) {
    request_limit limit;
    limit.requests_per_second = requests_per_second;
    limit.stated_at = now;
    limit.position = random.unit();
    limit.position_at = now;
    return limit;
}

void set_rate(request_limit& limit, double requests_per_second, std::size_t daemons,
              time_point now) {
    advance(limit, daemons, now);
    limit.requests_per_second = requests_per_second;
    limit.stated_at = now;
}

bool allows_request(request_limit& limit, std::size_t daemons, time_point now) {
    return time_until_allowed(limit, daemons, now) == duration{0};
}

duration time_until_allowed(request_limit& limit, std::size_t daemons, time_point now) {
    advance(limit, daemons, now);
    const auto start = static_cast<double>(first_usable_slot(limit, daemons));
    const double slots_left = std::max(0.0, start - limit.position);
    return std::chrono::ceil<duration>(slots_left * slot_length(limit, daemons));
}

void charge_request(request_limit& limit, std::size_t daemons, time_point now) {
    advance(limit, daemons, now);
    limit.next_slot = first_usable_slot(limit, daemons) + 1;
}

} // namespace cicadahatch::balancing
