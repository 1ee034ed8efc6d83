#include "bench/replay/summary.hpp"

#include <algorithm>
#include <functional>

namespace cicadahatch::replay {

using namespace std::chrono_literals;

namespace {

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

bool is_good(const world& in, const request_row& request) {
    if (request.state != progress::finished) {
        return false;
    }
    const scheduling::rank_spec& wanted = targets(in.fleet, request.sent.rank);
    const auto gaps = static_cast<duration::rep>(std::max(request.tokens, 2U) - 1);
    const duration between = (request.last_token_at - request.first_token_at) / gaps;
    return request.first_token_at - request.sent.at <= wanted.first_token &&
           between <= wanted.between_tokens;
}

bool is_inside(const flood& part, const arrival& sent) {
    return sent.at >= replay_begin + part.begins && sent.at < replay_begin + part.ends;
}

/// The times in which a rank is judged: floods of the other rank, or all times without such.
struct judged_times {
    std::vector<flood> floods;
    double seconds = 0;
};

judged_times times_for(const scenario& played, rank of) {
    judged_times times;
    for (const flood& part : played.floods) {
        if (part.rank != of) {
            times.floods.push_back(part);
            times.seconds += to_seconds(part.ends - part.begins);
        }
    }
    if (times.floods.empty()) {
        times.floods.push_back({of, duration{0}, played.length, 1});
        times.seconds = to_seconds(played.length);
    }
    return times;
}

bool is_judged(const judged_times& times, const arrival& sent) {
    return std::any_of(times.floods.begin(), times.floods.end(),
                       [&](const flood& part) { return is_inside(part, sent); });
}

double decode_cost(const arrival& sent) {
    return to_seconds(step_time(slot_count)) * sent.output_tokens / slot_count;
}

double cost_of(const arrival& sent) {
    return to_seconds(prefill_time(sent.prompt_tokens)) + decode_cost(sent);
}

/// Engine seconds a second of both pools.
double capacity_of(const deployment& fleet) {
    return static_cast<double>(domain_count + decode_engine_count(fleet));
}

duration minimum_of(const arrival& sent) {
    return prefill_time(sent.prompt_tokens) + transfer_time(sent.prompt_tokens) + step_time(1);
}

/// When the case's engines die; those of either kind alive at a time.
std::size_t alive_prefills(const scenario& played, time_point at) {
    const bool is_dead = played.dead_prefill_engine >= 0 && at >= replay_begin + played.dies_at;
    return domain_count - (is_dead ? 1 : 0);
}

/// Takes a dead decode engine's slots from the pool, the earliest free ones first.
void drop_dead_slots(std::vector<time_point>& slots) {
    std::sort(slots.begin(), slots.end());
    slots.erase(slots.begin(), slots.begin() + static_cast<std::ptrdiff_t>(slot_count));
    std::make_heap(slots.begin(), slots.end(), std::greater<>{});
}

/// All engines as one.
struct ideal_cell {
    time_point now = replay_begin;
    std::vector<time_point> slots; ///< a heap of the times when they become free
    std::vector<const arrival*> waiting;
    bool has_dropped_slots = false;
};

/// Urgent first, then the earlier.
bool is_before(const arrival* one, const arrival* other) {
    return one->rank != other->rank ? one->rank < other->rank : one->at < other->at;
}

/// \returns whether the first waiting request was served well
bool serve_next(ideal_cell& cell, const deployment& fleet, const scenario& played) {
    const auto next = std::min_element(cell.waiting.begin(), cell.waiting.end(), is_before);
    const arrival& sent = **next;
    cell.waiting.erase(next);
    const duration prefill = prefill_time(sent.prompt_tokens) /
                             static_cast<duration::rep>(alive_prefills(played, cell.now));
    std::pop_heap(cell.slots.begin(), cell.slots.end(), std::greater<>{});
    const time_point slot = cell.slots.back();
    const time_point begin = std::max(cell.now, slot - prefill_time(sent.prompt_tokens));
    const time_point first = begin + minimum_of(sent);
    if (first > sent.at + targets(fleet, sent.rank).first_token) {
        std::push_heap(cell.slots.begin(), cell.slots.end(), std::greater<>{});
        return false;
    }
    cell.now = begin + prefill;
    const duration decode = step_time(slot_count) * static_cast<duration::rep>(sent.output_tokens);
    cell.slots.back() = begin + prefill_time(sent.prompt_tokens) + decode;
    std::push_heap(cell.slots.begin(), cell.slots.end(), std::greater<>{});
    return true;
}

std::size_t ideal_count(const deployment& fleet, const scenario& played,
                        const std::vector<arrival>& trace) {
    ideal_cell cell;
    cell.slots.assign(decode_engine_count(fleet) * slot_count, replay_begin);
    std::size_t good = 0;
    std::size_t next = 0;
    while (next < trace.size() || !cell.waiting.empty()) {
        if (cell.waiting.empty()) {
            cell.now = std::max(cell.now, trace[next].at);
        }
        for (; next < trace.size() && trace[next].at <= cell.now; ++next) {
            if (trace[next].cancelled_at == time_point{}) {
                cell.waiting.push_back(&trace[next]);
            }
        }
        const bool has_died =
            played.dead_decode_engine >= 0 && cell.now >= replay_begin + played.dies_at;
        if (has_died && !cell.has_dropped_slots) {
            cell.has_dropped_slots = true;
            drop_dead_slots(cell.slots);
        }
        if (!cell.waiting.empty()) {
            good += serve_next(cell, fleet, played) ? 1 : 0;
        }
    }
    return good;
}

std::size_t fitting(std::vector<double> costs, double supply) {
    std::sort(costs.begin(), costs.end());
    std::size_t count = 0;
    for (const double cost : costs) {
        supply -= cost;
        if (supply < 0) {
            break;
        }
        ++count;
    }
    return count;
}

std::size_t smallest_first_count(const deployment& fleet, const scenario& played,
                                 const std::vector<arrival>& trace) {
    const duration last_start = targets(fleet, rank::deferrable).first_token;
    const double seconds = to_seconds(played.length + last_start);
    const double after_death = seconds - to_seconds(played.dies_at);
    const double lost_prefill = played.dead_prefill_engine >= 0 ? after_death : 0;
    const double lost_decode = played.dead_decode_engine >= 0 ? after_death : 0;
    std::vector<double> prefills;
    std::vector<double> decodes;
    for (const arrival& sent : trace) {
        if (sent.cancelled_at == time_point{}) {
            prefills.push_back(to_seconds(prefill_time(sent.prompt_tokens)));
            decodes.push_back(decode_cost(sent));
        }
    }
    const auto decode_engines = static_cast<double>(decode_engine_count(fleet));
    return std::min(fitting(std::move(prefills), seconds * domain_count - lost_prefill),
                    fitting(std::move(decodes), seconds * decode_engines - lost_decode));
}

duration p99(std::vector<duration> values) {
    if (values.empty()) {
        return duration{0};
    }
    const auto place = static_cast<std::ptrdiff_t>((values.size() - 1) * 99 / 100);
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

} // namespace

summary summarize(const world& after) {
    summary sums;
    std::size_t urgent = 0;
    std::size_t urgent_good = 0;
    double rest_asked = 0;
    double rest_done = 0;
    std::vector<duration> urgent_first;
    const judged_times urgent_times = times_for(after.played, rank::urgent);
    const judged_times rest_times = times_for(after.played, rank::deferrable);
    for (const request_row& request : after.requests) {
        if (request.sent.cancelled_at != time_point{}) {
            continue;
        }
        const bool good = is_good(after, request);
        ++sums.asked;
        sums.good += good ? 1 : 0;
        sums.late += request.state == progress::finished && !good ? 1 : 0;
        if (request.sent.rank == rank::urgent && request.tokens > 0) {
            urgent_first.push_back(request.first_token_at - request.sent.at);
        }
        const bool is_urgent = request.sent.rank == rank::urgent;
        if (!is_judged(is_urgent ? urgent_times : rest_times, request.sent)) {
            continue;
        }
        if (request.sent.rank == rank::urgent) {
            ++urgent;
            urgent_good += good ? 1 : 0;
        } else {
            rest_asked += cost_of(request.sent);
            rest_done += good ? cost_of(request.sent) : 0;
        }
    }
    const double floor = targets(after.fleet, rank::deferrable).floor;
    const double promised = floor * capacity_of(after.fleet) * rest_times.seconds;
    sums.urgent_good =
        static_cast<double>(urgent_good) / static_cast<double>(std::max<std::size_t>(urgent, 1));
    sums.rest_kept = rest_done / std::max(std::min(promised, rest_asked), 1e-9);
    sums.wasted = to_seconds(after.prefill_wasted) / std::max(to_seconds(after.prefill_done), 1e-9);
    sums.urgent_first_p99 = p99(std::move(urgent_first));
    return sums;
}

upper_bound bound_of(const deployment& fleet, const scenario& played,
                     const std::vector<arrival>& trace) {
    return {ideal_count(fleet, played, trace), smallest_first_count(fleet, played, trace)};
}

} // namespace cicadahatch::replay
