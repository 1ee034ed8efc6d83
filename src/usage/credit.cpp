#include "src/usage/credit.hpp"

#include <utility>

namespace cicadahatch::usage {

bool spend(credit& prepaid, std::uint64_t units, time_point now) {
    if (prepaid.units < units || now >= prepaid.expires_at) {
        return false;
    }
    prepaid.units -= units;
    return true;
}

void record_use(credit& prepaid, std::uint64_t units, time_point now) {
    if (now - prepaid.period_began >= credit_lifetime) {
        const bool is_next = now - prepaid.period_began < 2 * credit_lifetime;
        prepaid.used_before = is_next ? prepaid.used : 0;
        prepaid.used = 0;
        prepaid.period_began = now;
    }
    prepaid.used += units;
}

void add(credit& prepaid, std::uint64_t units, time_point now) {
    prepaid.units += units;
    prepaid.expires_at = now + credit_lifetime;
}

std::uint64_t prepayment(const credit& prepaid, time_point now) {
    const duration elapsed = now - prepaid.period_began;
    if (elapsed < credit_lifetime) {
        return prepaid.used_before;
    }
    return elapsed < 2 * credit_lifetime ? prepaid.used : 0;
}

std::uint64_t take_expired(credit& prepaid, time_point now) {
    return now >= prepaid.expires_at ? std::exchange(prepaid.units, 0) : 0;
}

} // namespace cicadahatch::usage
