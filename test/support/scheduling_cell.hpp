#pragma once

#include "cicadahatch/scheduling"

#include <cstdint>
#include <map>
#include <string>

namespace cicadahatch::test_support {

/// \returns a decode engine of twenty slots
[[nodiscard]] scheduling::engine_spec decode_engine(const std::string& id);

/// \returns a prefill engine of 40,000 tokens a second
[[nodiscard]] scheduling::engine_spec prefill_engine(const std::string& id);

/// \returns a cell of so many engines, with service "notes" and model "pattern"
[[nodiscard]] scheduling::cell_state small_cell(time_point now, int prefills = 1, int decodes = 2);

/// \returns a request of 6,000 prompt and 200 output tokens for the service of small_cell()
[[nodiscard]] scheduling::request_spec request(const std::string& id, rank of, time_point now);

/// \brief Granted requests of a cell on their way to their ends.
struct granted_streams {
    std::multimap<time_point, request_id> prefill_ends;
    std::multimap<time_point, request_id> stream_ends;

    /// \brief Tells the cell of the prefills and streams that have ended. A stream ends a second
    /// after its prefill.
    void end_due(scheduling::cell_state& state, const scheduling::cell_policy& policy,
                 std::uint32_t output_tokens, time_point now);
};

} // namespace cicadahatch::test_support
