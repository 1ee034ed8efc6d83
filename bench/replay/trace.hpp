#pragma once

#include "cicadahatch/core"
#include "src/scheduling/engine.hpp"
#include "src/scheduling/service.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace cicadahatch::replay {

/// \brief One deployment: its engines in three failure domains and what its callers send.
struct deployment {
    std::string name;
    std::uint32_t mean_prompt_tokens = 0;
    std::uint32_t longest_prompt_tokens = 0;
    std::uint32_t mean_output_tokens = 0;
    double urgent_part = 0; ///< of the requests, outside floods
    scheduling::service_spec service;
    std::vector<int> decode_engines; ///< by failure domain; each has one prefill engine beside
};

/// \returns pattern sheets on ten engines
[[nodiscard]] deployment association();
/// \returns soil and route notes on ten engines
[[nodiscard]] deployment utility();

/// \brief A time during which one rank arrives more often.
struct flood {
    cicadahatch::rank rank = cicadahatch::rank::deferrable;
    duration begins{0};
    duration ends{0};
    double factor = 5;
};

/// \brief One case of the replay.
struct scenario {
    std::string name;
    double load = 0.7; ///< of the bottleneck's capacity, outside floods
    std::vector<flood> floods;
    double cancelled_part = 0;
    duration report_lag = std::chrono::milliseconds{300};
    double reports_lost = 0;
    int dead_decode_engine = -1;  ///< dies at dies_at
    int dead_prefill_engine = -1; ///< dies at dies_at
    duration dies_at = std::chrono::seconds{22};
    duration length = std::chrono::seconds{60};
};

/// \returns the cases of the replay, each with its fixed times
[[nodiscard]] std::vector<scenario> all_scenarios();

/// \brief One request as its caller sends it.
struct arrival {
    std::size_t number = 0;
    time_point at;
    cicadahatch::rank rank = cicadahatch::rank::deferrable;
    std::size_t domain = 0;
    std::size_t daemon = 0; ///< one of daemon_count
    std::size_t team = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t expected_output_tokens = 0;
    std::uint32_t output_tokens = 0;
    time_point cancelled_at; ///< the epoch: never
};

inline constexpr std::size_t domain_count = 3;
inline constexpr std::size_t daemon_count = 7;
inline constexpr std::size_t team_count = 5;
inline constexpr time_point replay_begin{std::chrono::hours{1}};

/// The engines of both deployments.
inline constexpr double prefill_rate = 40'000;     ///< tokens a second
inline constexpr double link_rate = 8e9;           ///< bytes a second
inline constexpr std::uint32_t kv_bytes = 100'000; ///< per token
inline constexpr std::uint32_t slot_count = 20;
inline constexpr std::uint32_t piece_count = 12'000;
inline constexpr std::uint32_t piece_tokens = 16;
inline constexpr std::chrono::milliseconds step_base{10};
inline constexpr std::chrono::milliseconds step_per_stream{1};
inline constexpr std::chrono::milliseconds kv_kept{800};
/// From the order to the first work in the new role, of an engine without streams.
inline constexpr std::chrono::seconds role_change_time{5};

/// \returns the time of one prefill on an idle engine
[[nodiscard]] duration prefill_time(std::uint32_t prompt_tokens);
/// \returns the time of one KV transfer on an idle link
[[nodiscard]] duration transfer_time(std::uint32_t prompt_tokens);
/// \returns the time of one decode step
[[nodiscard]] duration step_time(std::size_t streams);

[[nodiscard]] std::size_t decode_engine_count(const deployment& of);

/// \returns targets of a rank
[[nodiscard]] const scheduling::rank_spec& targets(const deployment& of, cicadahatch::rank rank);

/// \returns the requests of one run in order of time
[[nodiscard]] std::vector<arrival> make_trace(const deployment& of, const scenario& played,
                                              std::uint64_t seed);

} // namespace cicadahatch::replay
