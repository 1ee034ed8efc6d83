#pragma once

#include "src/scheduling/engine.hpp"

namespace cicadahatch::scheduling::internal {

/// \brief Limits how many streams may be starting at an engine that is new or has recovered.
///
/// Load answered: a queue that all turns to an engine whose first answers have not shown its speed
/// yet. Streams past their first token are not limited.
void begin_slow_start(engine& instance) noexcept;

/// \returns whether one more stream may start
[[nodiscard]] bool may_start_stream(const engine& instance) noexcept;

/// \brief Doubles the limit after a first token; from the number of slots on there is none.
void record_first_token(engine& instance) noexcept;

/// \brief Halves the limit after a failure.
void record_failed_start(engine& instance) noexcept;

} // namespace cicadahatch::scheduling::internal
