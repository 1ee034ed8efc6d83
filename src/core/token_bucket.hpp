#pragma once

#include "src/core/clock.hpp"

namespace cicadahatch {

/// \brief Allows a rate of calls with a bounded burst.
struct token_bucket {
    double per_second = 1.0;
    double burst = 1.0;
    double tokens = 1.0;
    time_point filled_at{};
};

/// \brief Adds the tokens due since the last call, up to the burst.
void refill(token_bucket& bucket, time_point now);

/// \returns whether a token was there and has been taken
[[nodiscard]] bool try_take(token_bucket& bucket, time_point now);

/// \brief Changes the rate; tokens over the new burst are lost.
void set_rate(token_bucket& bucket, double per_second, double burst, time_point now);

/// \brief Empties the bucket, so that what follows comes at the steady rate.
void drain(token_bucket& bucket, time_point now);

} // namespace cicadahatch
