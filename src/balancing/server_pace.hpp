#pragma once

#include "src/core/clock.hpp"

namespace cicadahatch::balancing {

/// \brief Slow start of one plain server, as seen from this daemon's own requests.
///
/// Load answered: a server that has just started or recovered, to which all daemons turn at once.
/// They begin at the same event, so that together they follow the same course without messages.
struct server_pace {
    double fraction = 1;   ///< of the usual share of requests; 1: proven
    time_point changed_at; ///< last change of the fraction
};

/// \brief Starts slowly from the given time on.
void begin_slow_start(server_pace& pace, time_point at);

/// \brief Doubles the fraction once for each period without a bad answer.
void advance(server_pace& pace, time_point now);

/// \brief Doubles the fraction after an answer in the usual time.
void record_good_answer(server_pace& pace, time_point now);

/// \brief Halves the fraction after a refusal, a failure or a late answer.
void record_bad_answer(server_pace& pace, time_point now);

} // namespace cicadahatch::balancing
