#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"

#include <vector>

namespace path_bench {

/// \brief When the tokens of one stream arrived, as seen by its caller.
struct stream_times {
    bool is_whole = false; ///< the end mark came
    cicadahatch::duration first_token{0};
    std::vector<cicadahatch::duration> gaps; ///< between one token and the next
};

/// \brief Sends a request and reads server-sent events from the socket as they come, so that the
/// client's own cost is small and the same for the daemon and for an engine.
/// \param began when the caller's request began
[[nodiscard]] stream_times read_events(const cicadahatch::http::endpoint& place,
                                       const cicadahatch::http::request& sent,
                                       std::chrono::steady_clock::time_point began);

} // namespace path_bench
