#include "src/core/token_bucket.hpp"

#include <algorithm>

namespace cicadahatch {

void refill(token_bucket& bucket, time_point now) {
    const std::chrono::duration<double> passed = now - bucket.filled_at;
    bucket.tokens = std::min(bucket.burst, bucket.tokens + passed.count() * bucket.per_second);
    bucket.filled_at = now;
}

bool try_take(token_bucket& bucket, time_point now) {
    refill(bucket, now);
    if (bucket.tokens < 1.0) {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

void set_rate(token_bucket& bucket, double per_second, double burst, time_point now) {
    refill(bucket, now);
    bucket.per_second = per_second;
    bucket.burst = burst;
    bucket.tokens = std::min(bucket.tokens, burst);
}

void drain(token_bucket& bucket, time_point now) {
    bucket.tokens = 0.0;
    bucket.filled_at = now;
}

} // namespace cicadahatch
