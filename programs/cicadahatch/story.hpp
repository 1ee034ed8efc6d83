#pragma once

#include <chrono>
#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::tool {

/// \brief One structured log line of a gateway.
struct log_record {
    std::chrono::milliseconds at{0}; ///< the daemon's calendar time
    std::string daemon;
    std::string event;
    nlohmann::ordered_json fields; ///< without time, daemon and event
};

/// \brief Reads the structured lines of a log; what stands before a line's object, and lines
/// without one, are left out.
[[nodiscard]] std::vector<log_record> read_records(std::istream& log);

/// \brief What logs tell of one request.
struct request_story {
    std::string daemon; ///< that served the request
    std::vector<log_record> lines;
    /// What that daemon came to believe shortly before the request and while it ran.
    std::vector<log_record> beliefs;
    /// What other daemons wrote of the backend servers and homes that the request met. Their clocks
    /// may differ from that of its daemon.
    std::vector<log_record> elsewhere;
};

/// \param before how long before the request a belief still matters
/// \returns the story, or nothing if no line names the request
[[nodiscard]] std::optional<request_story> tell_story(const std::vector<log_record>& records,
                                                      const std::string& request,
                                                      std::chrono::milliseconds before);

/// \returns one sentence: how the request ended, and what failed last before that
[[nodiscard]] std::string conclusion_of(const request_story& story);

} // namespace cicadahatch::tool
