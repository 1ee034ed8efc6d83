#include "bench/replay/trace.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace cicadahatch::replay {

using namespace std::chrono_literals;

namespace {

constexpr double prompt_sigma = 0.6;
constexpr std::uint32_t shortest_prompt = 500;
constexpr duration longest_patience = 8s;

duration seconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

double normal(random_source& random) {
    const double radius = std::sqrt(-2 * std::log1p(-random.unit()));
    return radius * std::cos(2 * std::numbers::pi * random.unit());
}

std::uint32_t draw_prompt(const deployment& of, random_source& random) {
    const double mu = std::log(of.mean_prompt_tokens) - prompt_sigma * prompt_sigma / 2;
    const double drawn = std::exp(mu + prompt_sigma * normal(random));
    const double bounded = std::clamp<double>(drawn, shortest_prompt, of.longest_prompt_tokens);
    return static_cast<std::uint32_t>(bounded);
}

/// Requests a second that the scarcer pool can carry.
double capacity(const deployment& of) {
    const double prefills =
        static_cast<double>(domain_count) /
        std::chrono::duration<double>(prefill_time(of.mean_prompt_tokens)).count();
    const double step = std::chrono::duration<double>(step_time(slot_count)).count();
    const double streams =
        static_cast<double>(decode_engine_count(of)) * slot_count / (of.mean_output_tokens * step);
    return std::min(prefills, streams);
}

double factor_at(const scenario& played, rank of, duration at) {
    double factor = 1;
    for (const flood& part : played.floods) {
        if (part.rank == of && at >= part.begins && at < part.ends) {
            factor *= part.factor;
        }
    }
    return factor;
}

arrival draw(const deployment& of, const scenario& played, rank kind, duration at,
             random_source& random) {
    arrival drawn;
    drawn.at = replay_begin + at;
    drawn.rank = kind;
    drawn.domain = random.below(domain_count);
    drawn.daemon = random.below(daemon_count);
    drawn.team = random.below(team_count);
    drawn.prompt_tokens = draw_prompt(of, random);
    drawn.expected_output_tokens = of.mean_output_tokens;
    drawn.output_tokens = static_cast<std::uint32_t>(of.mean_output_tokens * (0.5 + random.unit()));
    if (random.chance(played.cancelled_part)) {
        drawn.cancelled_at =
            drawn.at +
            seconds(std::chrono::duration<double>(longest_patience).count() * random.unit());
    }
    return drawn;
}

void add_rank(std::vector<arrival>& trace, const deployment& of, const scenario& played, rank kind,
              random_source& random) {
    const double part = kind == rank::urgent ? of.urgent_part : 1 - of.urgent_part;
    const double base = capacity(of) * played.load * part;
    duration at{0};
    while (at < played.length) {
        const double rate = base * factor_at(played, kind, at);
        at += random.exponential(seconds(1 / rate));
        trace.push_back(draw(of, played, kind, at, random));
    }
}

} // namespace

deployment association() {
    deployment built;
    built.name = "association";
    built.mean_prompt_tokens = 6'000;
    built.longest_prompt_tokens = 20'000;
    built.mean_output_tokens = 200;
    built.urgent_part = 0.25;
    built.service.id = service_id{"notes"};
    built.service.urgent = {1'500ms, 45ms, 1, 0};
    built.service.deferrable = {8s, 80ms, 1, 0.25};
    built.decode_engines = {3, 2, 2};
    return built;
}

deployment utility() {
    deployment built;
    built.name = "utility";
    built.mean_prompt_tokens = 4'500;
    built.longest_prompt_tokens = 12'000;
    built.mean_output_tokens = 220;
    built.urgent_part = 0.3;
    built.service.id = service_id{"notes"};
    built.service.urgent = {1s, 45ms, 1, 0};
    built.service.deferrable = {6s, 80ms, 1, 0.3};
    built.decode_engines = {3, 2, 2};
    return built;
}

std::vector<scenario> all_scenarios() {
    const flood least{rank::deferrable, 15s, 35s, 5};
    const flood most{rank::urgent, 15s, 35s, 5};
    const flood later{rank::urgent, 40s, 55s, 5};
    std::vector<scenario> all(9);
    all[0].name = "steady 70%";
    all[1].name = "steady 95%";
    all[1].load = 0.95;
    all[2].name = "flood of least urgent";
    all[2].floods = {least};
    all[3].name = "flood of urgent";
    all[3].floods = {most};
    all[4].name = "both floods in turn";
    all[4].floods = {least, later};
    all[5].name = "decode engine dies in flood";
    all[5].floods = {least};
    all[5].dead_decode_engine = 1;
    all[6].name = "prefill engine dies in flood";
    all[6].floods = {least};
    all[6].dead_prefill_engine = 1;
    all[7].name = "stale reports in flood";
    all[7].floods = {least};
    all[7].report_lag = 3s;
    all[7].reports_lost = 0.3;
    all[8].name = "cancels of 20%";
    all[8].load = 0.95;
    all[8].cancelled_part = 0.2;
    return all;
}

duration prefill_time(std::uint32_t prompt_tokens) {
    return seconds(prompt_tokens / prefill_rate);
}

duration transfer_time(std::uint32_t prompt_tokens) {
    return seconds(static_cast<double>(prompt_tokens) * kv_bytes / link_rate);
}

duration step_time(std::size_t streams) {
    return step_base + step_per_stream * static_cast<duration::rep>(streams);
}

std::size_t decode_engine_count(const deployment& of) {
    return static_cast<std::size_t>(
        std::accumulate(of.decode_engines.begin(), of.decode_engines.end(), 0));
}

const scheduling::rank_spec& targets(const deployment& of, cicadahatch::rank rank) {
    return rank == cicadahatch::rank::urgent ? of.service.urgent : of.service.deferrable;
}

std::vector<arrival> make_trace(const deployment& of, const scenario& played, std::uint64_t seed) {
    random_source random{seed};
    std::vector<arrival> trace;
    add_rank(trace, of, played, rank::urgent, random);
    add_rank(trace, of, played, rank::deferrable, random);
    std::sort(trace.begin(), trace.end(),
              [](const arrival& one, const arrival& other) { return one.at < other.at; });
    for (std::size_t number = 0; number < trace.size(); ++number) {
        trace[number].number = number;
    }
    return trace;
}

} // namespace cicadahatch::replay
