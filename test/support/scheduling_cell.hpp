#pragma once

#include "cicadahatch/scheduling"

#include <cstdint>
#include <map>
#include <string>

namespace cicadahatch::test_support {

/// \returns a decode engine with twenty slots
[[nodiscard]] scheduling::engine_spec decode_engine(const std::string& id);

/// \returns a prefill engine with 40,000 tokens per second
[[nodiscard]] scheduling::engine_spec prefill_engine(const std::string& id);

/// \returns a cell with the given number of engines, service "notes" and model "pattern"
[[nodiscard]] scheduling::cell_state small_cell(time_point now, int prefills = 1, int decodes = 2);

/// \returns a request with 6,000 prompt and 200 output tokens for the service of small_cell()
[[nodiscard]] scheduling::request_spec request(const std::string& id, rank work_rank,
                                               time_point now);

/// \brief Simulates the prefills and streams of granted requests.
struct granted_streams {
    std::multimap<time_point, request_id> prefill_ends;
    std::multimap<time_point, request_id> stream_ends;

    /// \brief Reports the prefills and streams that have ended to the cell. A stream ends one
    /// second after its prefill.
    void end_due(scheduling::cell_state& state, const scheduling::cell_policy& policy,
                 std::uint32_t output_tokens, time_point now);
};

} // namespace cicadahatch::test_support
